// Package recordcodec encodes and decodes the record that the coordinator of a group keeps in the store for its
// successor. Field names keep their earlier spelling, since hosts of the previous version read and write the same record.
package recordcodec
