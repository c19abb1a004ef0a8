// Package upstream implements the owner of a database group. An owner probes the
// group's members, pools connections to them, runs callers' statements, confirms
// writes, and promotes members.
package upstream
