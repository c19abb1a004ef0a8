package gateway

import (
	"context"
	"testing"
	"time"

	"pearlatch/core/freshness"
)

// brokenStateDialer opens connections on which the first write is refused in the state of a failed transaction, which then refuses
// all else.
type brokenStateDialer struct {
	Dialer
	refused bool
}

func (d *brokenStateDialer) Dial(ctx context.Context, m Member, account string) (Conn, error) {
	c, err := d.Dialer.Dial(ctx, m, account)
	return &brokenStateConn{Conn: c, dialer: d}, err
}

type brokenStateConn struct {
	Conn
	dialer *brokenStateDialer
	broken bool
}

func (c *brokenStateConn) Do(timeout time.Duration, commands ...Command) ([]Reply, error) {
	run, runs := commands[len(commands)-1].(RunStatement)
	if runs && !c.dialer.refused && run.Request.Statement == (Write{}) {
		c.broken, c.dialer.refused = true, true
		return []Reply{{Failure: &Failure{Failed, "no room"}, State: InFailedTransaction}}, nil
	}
	if !c.broken {
		return c.Conn.Do(timeout, commands...)
	}
	out := make([]Reply, len(commands))
	for i := range out {
		out[i] = Reply{Failure: &Failure{Malformed, "the transaction has failed"}, State: InFailedTransaction}
	}
	return out, nil
}

// Guards against statements of other callers on a connection that a member has left in a failed transaction.
func TestConnectionInFailedTransactionIsClosed(t *testing.T) {
	d := &brokenStateDialer{}
	withHostDialing(t, freshness.Latest{}, func(s *fakeSite) Dialer { d.Dialer = s; return d }, func(_ *fakeSite, h *Host) {
		if r := exec(h, Write{}); r.Failure == nil || r.Failure.Code != Failed {
			t.Errorf("the first write: %+v", r)
		}
		for range 3 {
			if r := exec(h, Write{}); r.Failure != nil {
				t.Errorf("a later write: %v", r.Failure)
			}
		}
	})
}
