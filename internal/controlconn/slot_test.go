package controlconn

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

type fakeConn struct{ alive bool }

func (c *fakeConn) Alive() bool  { return c.alive }
func (c *fakeConn) Close() error { return nil }

var errRefused, errBroken = errors.New("refused"), errors.New("broken")

// dialer counts the connections that it opens.
type dialer struct{ dials int }

func (d *dialer) dial(context.Context) (*fakeConn, error) {
	d.dials++
	return &fakeConn{alive: true}, nil
}

func newSlot() *Slot[*fakeConn] {
	return NewSlot[*fakeConn](Ports{Keep: func(err error) bool { return errors.Is(err, errRefused) }, Now: time.Now})
}

// A connection that failed or was closed by the member must not be used again, and one that works must be kept.
func TestFailedConnIsReplaced(t *testing.T) {
	s, d := newSlot(), &dialer{}
	use := func(err error) error { return s.Use(t.Context(), d.dial, func(*fakeConn) error { return err }) }
	for i, c := range []struct {
		err  error
		want int
	}{{nil, 1}, {errRefused, 1}, {errBroken, 1}, {nil, 2}, {nil, 2}} {
		if got := use(c.err); got != c.err || d.dials != c.want {
			t.Errorf("command %d: %v after %d dials, want %v after %d", i, got, d.dials, c.err, c.want)
		}
	}
	s.conn.alive = false
	if err := use(nil); err != nil || d.dials != 3 {
		t.Errorf("%v after %d dials, want a new connection", err, d.dials)
	}
}

// A command that hangs must not hold up another one beyond its timeout, nor lose its connection as an idle one.
func TestCommandsWaitForAtMostTheirTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newSlot(), &dialer{}
		go func() {
			_ = s.Use(t.Context(), d.dial, func(*fakeConn) error { time.Sleep(time.Hour); return nil })
		}()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		if err := s.Use(ctx, d.dial, func(*fakeConn) error { return nil }); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a second command returned %v", err)
		}
		if s.CloseIdle(time.Second) {
			t.Error("the slot was closed while in use")
		}
		time.Sleep(2 * time.Hour)
		if !s.CloseIdle(time.Second) {
			t.Error("the idle slot was kept")
		}
	})
}
