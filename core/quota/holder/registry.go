package holder

import (
	"maps"
	"slices"
	"time"
)

// Registry holds the hosts to which a granter may offer reserves: those that the record for its successor names. Use
// NewRegistry.
type Registry struct {
	// listed is true if the record names the hosts, or may do so after a write of unknown outcome. Otherwise a successor
	// assumes that any host may hold a reserve, and the granter may offer one to any.
	listed bool
	// allowed holds the hosts that the record certainly names, if listed.
	allowed map[string]bool
	// until holds the time at which a host's reserves have certainly expired.
	until map[string]time.Time
	// wanted holds the hosts that requested reserves and are not allowed them.
	wanted map[string]bool
	// limitedSince is when the granter began to limit other portions, or zero while it does not: with the first request for
	// a reserve after it knows what all hosts hold.
	limitedSince time.Time
	// ttl is the time after which a portion has certainly expired.
	ttl time.Duration
}

// NewRegistry returns the registry of a granter that starts now. The record names the hosts in recorded, or any host may
// hold reserves if recorded is nil. Portions from earlier granters expire within ttl.
func NewRegistry(recorded []string, ttl time.Duration, now time.Time) *Registry {
	r := &Registry{listed: recorded != nil, allowed: map[string]bool{}, until: map[string]time.Time{}, wanted: map[string]bool{}, ttl: ttl}
	for _, id := range recorded {
		r.allowed[id], r.until[id] = true, now.Add(ttl)
	}
	if r.listed {
		r.limitedSince = now
	}
	return r
}

// Allows reports whether the host may be offered a reserve.
func (r *Registry) Allows(id string) bool { return !r.listed || r.allowed[id] }

// Request returns how much of a requested reserve the host may be offered: none before it is recorded for a successor.
// known is true if the granter knows what all hosts hold.
func (r *Registry) Request(id string, reserve float64, known bool, now time.Time) float64 {
	switch {
	case reserve <= 0:
		return 0
	case !r.Allows(id):
		r.wanted[id] = true
		return 0
	case known && r.limitedSince.IsZero():
		r.limitedSince = now
	}
	return reserve
}

// Offer records that the host was offered a reserve that expires at the given time.
func (r *Registry) Offer(id string, expiresAt time.Time) {
	if expiresAt.After(r.until[id]) {
		r.until[id] = expiresAt
	}
}

// Limited reports whether the granter must limit other portions. A record that names the hosts relies on it.
func (r *Registry) Limited() bool { return !r.limitedSince.IsZero() }

// Due reports whether the hosts should be recorded: one requests a reserve that is not recorded, or the record names none
// and larger portions of other hosts have expired.
func (r *Registry) Due(now time.Time) bool { return r.listed && len(r.wanted) > 0 || r.listable(now) }

func (r *Registry) listable(now time.Time) bool {
	return !r.listed && r.Limited() && !now.Before(r.limitedSince.Add(r.ttl))
}

// Prepare returns the hosts to record, or nil if the record is to remain without them. Hosts whose reserves have expired
// are left out, and must not be offered any from now on: it may remain unknown whether the record was written.
func (r *Registry) Prepare(now time.Time) []string {
	if !r.listed && !r.listable(now) {
		return nil
	}
	names := maps.Clone(r.wanted)
	for id, until := range r.until {
		if until.After(now) {
			names[id] = true
		} else {
			delete(r.until, id)
		}
	}
	if r.listed {
		maps.DeleteFunc(r.allowed, func(id string, _ bool) bool { return !names[id] })
	} else {
		r.listed, r.allowed = true, maps.Clone(names) // the record names them, or no host and so allows any
	}
	return append([]string{}, slices.Sorted(maps.Keys(names))...)
}

// Recorded records that the record names the hosts which Prepare returned.
func (r *Registry) Recorded(ids []string) {
	for _, id := range ids {
		r.allowed[id] = true
		delete(r.wanted, id)
	}
}
