// Package peer implements the protocol between hosts, the inner protocol: drpc calls and streams whose messages are
// MessagePack maps. The keys are in snake case, and each message type encodes and decodes its fields itself. A field's key
// on the wire may differ from the name of the Go field.
package peer
