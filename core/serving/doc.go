// Package serving decides which hosts serve a database group whose members
// acknowledge writes themselves, to which of them a host forwards, and from whom a
// host learns the store's news.
package serving
