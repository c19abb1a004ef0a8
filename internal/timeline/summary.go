package timeline

import (
	"slices"
	"time"
)

// Row summarizes an interval. The numbers of hosts, roles and leases are those at its end; all others count lines within it.
type Row struct {
	// Start is the start of the interval, from the first line of all.
	Start time.Duration
	// Running is the number of hosts that have started and not stopped. A killed host writes no line, and counts as running
	// until it starts again. Joined is the number of those that know the contents of the store.
	Running, Joined int
	// Roles is the number of coordinator roles held.
	Roles int
	// Leases is the number of leases on primaries held. A lease that no statement needs ends without a line and counts
	// until the host starts again.
	Leases int
	// Starts and Stops count starts and orderly ends of processes.
	Starts, Stops int
	// SourcesLost counts failures of update sources.
	SourcesLost int
	// StoreFailures counts failed attempts to acquire or renew coordinator roles.
	StoreFailures int
	// TokensRefused counts fencing tokens that the platform did not accept.
	TokensRefused int
	// PrimariesLost counts primaries that a coordinator found failed or cut off.
	PrimariesLost int
	// Requests counts promotion requests that had no effect yet, and Promoted promotions that took effect.
	Requests, Promoted int
	// Failed counts failed statements by the cause of the refusal, or by the code if there is no cause.
	Failed map[string]int
}

// Summarize returns the rows of the intervals from the first line to the last one. It sorts the lines by time.
func Summarize(lines []Line, interval time.Duration) []Row {
	if len(lines) == 0 {
		return nil
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	first, state := lines[0].At, fleetState{}
	var rows []Row
	for _, l := range lines {
		for len(rows) == 0 || l.At.Sub(first) >= rows[len(rows)-1].Start+interval {
			rows = append(rows, state.newRow(time.Duration(len(rows))*interval))
		}
		row := &rows[len(rows)-1]
		state.apply(l)
		row.count(l)
		state.describe(row)
	}
	return rows
}

// hostState is what a host's lines tell of it.
type hostState struct {
	running, joined bool
	// roles and leases hold the groups whose coordinator the host is, and on whose primary it has a lease.
	roles, leases map[string]bool
}

// fleetState holds the state of each host by its name.
type fleetState map[string]*hostState

// newRow returns an empty row that starts with the state.
func (f fleetState) newRow(start time.Duration) Row {
	r := Row{Start: start, Failed: map[string]int{}}
	f.describe(&r)
	return r
}

// describe sets the numbers of hosts, roles and leases of the row.
func (f fleetState) describe(r *Row) {
	r.Running, r.Joined, r.Roles, r.Leases = 0, 0, 0, 0
	for _, h := range f {
		if !h.running {
			continue
		}
		r.Running++
		if h.joined {
			r.Joined++
		}
		r.Roles += len(h.roles)
		r.Leases += len(h.leases)
	}
}

// apply changes the state by a line. A start ends what an earlier process of the host held.
func (f fleetState) apply(l Line) {
	h := f[l.Host]
	if h == nil || l.Event == "start" {
		h = &hostState{running: true, roles: map[string]bool{}, leases: map[string]bool{}}
		f[l.Host] = h
	}
	switch l.Event {
	case "joined":
		h.joined = true
	case "stop":
		h.running = false
	case "duty_taken":
		h.roles[l.Group] = true
	case "duty_lost":
		delete(h.roles, l.Group)
	case "lease":
		h.leases[l.Group] = true
	case "lease_ended", "lease_recalled":
		delete(h.leases, l.Group)
	}
}

// count counts a line.
func (r *Row) count(l Line) {
	switch l.Event {
	case "start":
		r.Starts++
	case "stop":
		r.Stops++
	case "source_lost", "source_failing":
		r.SourcesLost++
	case "duty_not_taken", "duty_not_renewed", "duties_not_renewed":
		r.StoreFailures++
	case "token_not_raised":
		r.TokensRefused++
	case "primary_lost", "primary_cut_off":
		r.PrimariesLost++
	case "promotion_open", "promotion_unanswered", "promotion_refused", "promotion_held_back":
		r.Requests++
	case "promoted":
		r.Promoted++
	case "statement_failed", "caller_refused":
		r.Failed[l.failure()]++
	}
}

// failure returns the cause of a refusal, or else the code of the failure.
func (l Line) failure() string {
	if l.Cause != "" {
		return l.Cause
	}
	return l.Code
}
