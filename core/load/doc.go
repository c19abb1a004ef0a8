// Package load decides to which of the hosts that serve a database group another
// host forwards a statement.
//
// A connection to a member belongs to one client account, opening one occupies a
// slot of the member for 12 ms or more, and a serving host keeps only a few tens of
// connections to a member. If each entry host forwards the statements of all
// accounts to its nearest serving host, each serving host needs connections of every
// account and replaces them constantly: with 80 accounts, 75 hosts and three serving
// hosts, 23,566 connections were opened for 56,348 statements. Where a zone has
// several serving hosts, its entry hosts therefore send the statements of an account to
// the same one, its home. core/pool keeps unused connections of accounts for longer.
//
// Demand and servers are uneven, and one server's queue may be long while another
// has none. Serving hosts therefore report their queue with their replies, while they
// have one (Meter, Report), and entry hosts move a part of their statements to
// another server when that is expected to answer sooner (Table). Reports are hundreds
// of milliseconds old when they are used.
package load
