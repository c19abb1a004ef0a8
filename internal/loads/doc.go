// Package loads keeps, for a database group, to which hosts this host forwards statements and what their load is, and
// measures this host's own load. core/load decides.
package loads
