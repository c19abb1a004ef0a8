package controlconn

import (
	"context"
	"time"
)

// Conn is a connection to a member.
type Conn interface {
	Alive() bool
	Close() error
}

// Slot holds up to one connection. Use NewSlot. It may be used from several goroutines.
type Slot[C Conn] struct {
	// free holds a token while the connection is not in use. Unlike the wait for a mutex, the wait for the token ends with
	// the caller's timeout.
	free chan struct{}
	conn C
	open bool
	// lastUsed is when the last command ended.
	lastUsed time.Time
	ports    Ports
}

// Ports are the functions that a Slot calls.
type Ports struct {
	// Keep reports whether the connection still works after a command failed with the error.
	Keep func(error) bool
	// Failed is called with the error of a connection that could not be closed.
	Failed func(error)
	Now    func() time.Time
}

// NewSlot returns a slot without a connection.
func NewSlot[C Conn](p Ports) *Slot[C] {
	s := &Slot[C]{free: make(chan struct{}, 1), lastUsed: p.Now(), ports: p}
	s.free <- struct{}{}
	return s
}

// Use calls do with the connection, which dial opens if there is none. It waits until ctx ends for commands that use the
// connection.
func (s *Slot[C]) Use(ctx context.Context, dial func(context.Context) (C, error), do func(C) error) error {
	select {
	case <-s.free:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() {
		s.lastUsed = s.ports.Now()
		s.free <- struct{}{}
	}()
	if s.open && !s.conn.Alive() {
		s.close()
	}
	if !s.open {
		conn, err := dial(ctx)
		if err != nil {
			return err
		}
		s.conn, s.open = conn, true
	}
	err := do(s.conn)
	if err != nil && !s.ports.Keep(err) {
		s.close()
	}
	return err
}

// CloseIdle closes the slot, which must not be used afterwards, if no command has used it for the timeout. It returns false
// if it is in use or was used since. The connection is closed in the background.
func (s *Slot[C]) CloseIdle(timeout time.Duration) bool {
	select {
	case <-s.free:
	default:
		return false
	}
	if s.ports.Now().Sub(s.lastUsed) < timeout {
		s.free <- struct{}{}
		return false
	}
	if s.open {
		go s.close()
	}
	return true
}

func (s *Slot[C]) close() {
	if err := s.conn.Close(); err != nil {
		s.ports.Failed(err)
	}
	s.open = false
}
