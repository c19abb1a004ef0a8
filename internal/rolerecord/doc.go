// Package rolerecord encodes what the coordinators of a database group leave to each other in the store as JSON.
package rolerecord
