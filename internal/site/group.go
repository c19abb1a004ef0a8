package site

import (
	"context"
	"sync"
	"time"

	"pearlatch/core/group"
	"pearlatch/internal/gateway"
)

// Group is a database group of the model. Its members replicate among themselves: a commit is
// acknowledged once one replica has received it.
type Group struct {
	name    string
	site    *Site
	members []*Member

	mu sync.Mutex
	// token is the highest fencing token seen, where tokens are checked.
	token int64
	// late is how long an order takes until it is carried out, without an answer.
	late time.Duration
	// dropped holds the requests of acknowledged records that a promoted member did not hold.
	dropped []string
	// orders counts the promotions that took effect.
	orders int
}

// record is an entry of a member's log.
type record struct {
	position group.Position
	// commit is the request that committed, and writes those that wrote.
	commit string
	writes []string
	at     time.Time
	// acknowledged is true once a replica had received the record and the primary said so.
	acknowledged bool
}

// Name returns the group's name.
func (g *Group) Name() string { return g.name }

// Members returns the group's members, the first primary first.
func (g *Group) Members() []*Member { return g.members }

// SetLate makes orders from now on take so long, without an answer.
func (g *Group) SetLate(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = d
}

// Promotions returns how many promotions took effect.
func (g *Group) Promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.orders
}

// primary returns the member that leads in the highest term, or nil. g.mu is held.
func (g *Group) primary() *Member {
	var out *Member
	for _, m := range g.members {
		if m.leads && (out == nil || m.term > out.term) {
			out = m
		}
	}
	return out
}

// Primary returns the member that leads in the highest term, or nil.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary()
}

// Leader returns the instance that leads in the highest term, or the empty string.
func (g *Group) Leader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.primary(); p != nil {
		return p.id
	}
	return ""
}

// Whole reports whether all members run, reach each other and hold what the primary does.
func (g *Group) Whole() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.primary()
	if p == nil {
		return false
	}
	for _, m := range g.members {
		if !m.running() || m.leaving || m != p && !m.receive(p) {
			return false
		}
	}
	return true
}

// Committed returns how often each writing request stands in the primary's log, or false while nobody
// leads.
func (g *Group) Committed() (map[string]int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.primary()
	if p == nil {
		return nil, false
	}
	out := map[string]int{}
	for _, r := range p.log {
		for _, id := range r.writes {
			out[id]++
		}
	}
	return out, true
}

// promote takes an order for a member.
func (g *Group) promote(ctx context.Context, token int64, id string) error {
	g.mu.Lock()
	late := g.late
	g.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { _ = g.order(token, id) })
		<-ctx.Done()
		return ctx.Err()
	}
	return g.order(token, id)
}

// order carries an order out.
func (g *Group) order(token int64, id string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.site.options.ChecksTokens && token < g.token {
		return gateway.ErrPromotionRefused
	}
	g.token = max(g.token, token)
	m := g.member(id)
	if m == nil || !m.running() {
		return gateway.ErrPromotionRefused
	}
	if !m.leads {
		run := m.run
		time.AfterFunc(g.site.options.PromoteTime, func() { g.lead(m, run) })
	}
	return nil
}

func (g *Group) member(id string) *Member {
	for _, m := range g.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// lead makes a member the primary of the next term with what it has received.
func (g *Group) lead(m *Member, run int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.leads || m.run != run || !m.running() {
		return
	}
	g.orders++
	var term group.Term
	for _, o := range g.members {
		term = max(term, o.term)
	}
	for _, o := range g.members {
		if o.leads {
			g.drop(o.log[commonLength(o.log, m.log):])
		}
	}
	m.leads, m.term, m.fenced = true, term+1, 0
	m.applied = len(m.log)
	for _, o := range g.members {
		if o != m {
			o.follow(m)
		}
	}
}

// drop notes acknowledged records that the next primary lacks.
func (g *Group) drop(lost []record) {
	for _, r := range lost {
		if r.acknowledged {
			g.dropped = append(g.dropped, r.writes...)
		}
	}
}

// commonLength returns how many records two logs share at their beginning.
func commonLength(a, b []record) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].position == b[n].position {
		n++
	}
	return n
}

// reunite lets replaced primaries hear of the present one once they reach it, and replicas receive what
// they lack. It runs with each step of the model.
func (g *Group) reunite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.primary()
	if p == nil {
		return
	}
	for _, o := range g.members {
		if o != p && o.running() {
			o.follow(p)
		}
	}
}

// replicate passes the primary's log on and reports whether any replica has it. g.mu is held.
func (g *Group) replicate(p *Member) bool {
	received := false
	for _, o := range g.members {
		received = o != p && o.receive(p) || received
	}
	return received
}
