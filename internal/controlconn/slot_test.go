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

// A connection that failed or was closed by the member must not be used again, and one that works must be kept. A command
// that hangs must not hold up another one beyond its timeout, nor lose its connection as an idle one.
func TestSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errRefused, errBroken, dials := errors.New("refused"), errors.New("broken"), 0
		s := NewSlot[*fakeConn](Ports{Keep: func(err error) bool { return errors.Is(err, errRefused) }, Now: time.Now})
		dial := func(context.Context) (*fakeConn, error) { dials++; return &fakeConn{alive: true}, nil }
		use := func(err error, wantDials int) {
			t.Helper()
			if got := s.Use(t.Context(), dial, func(*fakeConn) error { return err }); got != err || dials != wantDials {
				t.Errorf("%v after %d dials, want %v after %d", got, dials, err, wantDials)
			}
		}
		use(nil, 1)
		use(errRefused, 1)
		use(errBroken, 1)
		use(nil, 2)
		s.conn.alive = false
		use(nil, 3)
		go func() {
			_ = s.Use(t.Context(), dial, func(*fakeConn) error { time.Sleep(time.Hour); return nil })
		}()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		if err := s.Use(ctx, dial, func(*fakeConn) error { return nil }); !errors.Is(err, context.DeadlineExceeded) || s.CloseIdle(time.Second) {
			t.Errorf("a second command returned %v, or the slot was closed while in use", err)
		}
		time.Sleep(2 * time.Hour)
		if !s.CloseIdle(time.Second) {
			t.Error("the idle slot was kept")
		}
	})
}
