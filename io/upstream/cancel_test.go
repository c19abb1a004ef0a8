package upstream

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pearlatch/core/config"
	"pearlatch/core/statement"
)

// limitedConn records that an I/O deadline was set.
type limitedConn struct {
	net.Conn
	limited atomic.Bool
}

func (c *limitedConn) SetDeadline(t time.Time) error {
	c.limited.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// Guards against the cancellation of another caller's statement: a cancel request or a deadline that comes while the
// exchange ends must not reach a connection that goes back to the pool.
func TestCanceledConnIsNotUsedAgain(t *testing.T) {
	options := Options{Group: config.Group{Members: []config.Member{{Addr: netip.MustParseAddrPort("127.0.0.1:1")}}, Connections: 10, Timing: config.DefaultTiming()}}
	for name, use := range map[string]func(x *Exchange) (canceled bool){
		"request": func(x *Exchange) bool {
			sent := make(chan bool)
			x.owner.pool.mu.Lock()                                        // as other exchanges do
			go func() { sent <- x.Cancel(context.Background()) != nil }() // nobody listens at the address
			time.Sleep(20 * time.Microsecond)
			x.owner.pool.mu.Unlock()
			x.releaseConn(true)
			return <-sent
		},
		"deadline": func(x *Exchange) bool {
			stop := x.enforceDeadline(context.Background(), &statement.Unit{Deadline: time.Now().Add(20 * time.Microsecond)})
			time.Sleep(20 * time.Microsecond)
			stop()
			x.releaseConn(true)
			time.Sleep(50 * time.Microsecond)
			return false
		},
	} {
		for range 500 {
			o := &Owner{options: options}
			o.currentView.Store(&view{members: make([]memberView, 1)})
			o.pool = newPool(o)
			c := connTo(t, "")
			guarded := &limitedConn{Conn: c.net}
			c.net = guarded
			canceled := use(&Exchange{owner: o, conn: c})
			o.pool.mu.Lock()
			reusable := slices.Contains(o.pool.members[0].idle, c)
			o.pool.mu.Unlock()
			if reusable && (canceled || guarded.limited.Load()) {
				t.Errorf("%s: a connection in the pool is canceled, or has a deadline", name)
				break
			}
		}
	}
}
