package upstream

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"pearlatch/core/group"
)

// Guards against acknowledging an unconfirmed write. If another member is promoted
// right after an exchange acquired a connection to the primary, and the exchange
// determined the member's role only then, it would take the old primary for a
// replica and skip the confirmation. The write would be lost with the old primary.
func TestConnKeepsRoleAtAcquisition(t *testing.T) {
	oldView := &view{phase: Serving, primary: 0, term: 3}
	c := &conn{member: 0}
	c.markAcquired(oldView, time.Now())
	newView := &view{phase: Serving, primary: 1, term: 4}
	if c.replica || c.term != 3 {
		t.Errorf("replica %v, term %d; want the primary of term 3, regardless of the later view %+v", c.replica, c.term, *newView)
	}
	c.markAcquired(newView, time.Now())
	if !c.replica || c.term != 4 {
		t.Errorf("replica %v, term %d; want a replica in term 4", c.replica, c.term)
	}
}

// Guards against a connection that passes to another session although the member
// has refused to reset the state of the session before.
func TestRefusedResetIsAnError(t *testing.T) {
	for name, answer := range map[string][]pgproto3.BackendMessage{
		"error":   {&pgproto3.ErrorResponse{Severity: "ERROR", Code: "57P03", Message: "starting up"}, &pgproto3.ReadyForQuery{TxStatus: 'I'}},
		"success": {&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			go func() {
				backend := pgproto3.NewBackend(far, far)
				if _, err := backend.Receive(); err != nil {
					return
				}
				for _, m := range answer {
					backend.Send(m)
				}
				_ = backend.Flush()
			}()
			c := &conn{net: near, r: bufio.NewReader(near), dirty: true, prepared: map[string]bool{"p": true}}
			err := c.reset()
			if (err != nil) != (name == "error") || c.dirty != (err != nil) {
				t.Errorf("reset returned %v, the connection counts as dirty: %v", err, c.dirty)
			}
		})
	}
}

func TestParseStatus(t *testing.T) {
	row := []string{"t", "7:host-2", "t", "5", "6", "0/2000", "0/1000"}
	got, err := parseStatus(row)
	want := group.Status{
		InRecovery: true, Streaming: true, Fence: group.Fence{Term: 7, Host: "host-2"},
		Timeline: 5, LogTerm: 6, Received: 0x2000, Replayed: 0x1000,
	}
	if err != nil || got != want {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
	for i, broken := range map[int]string{colReceived: "x", colReplayed: "1"} {
		row := append([]string(nil), row...)
		row[i] = broken
		if _, err := parseStatus(row); err == nil {
			t.Errorf("column %d = %q was accepted", i, broken)
		}
	}
	if _, err := parseStatus(row[1:]); err == nil {
		t.Error("a row with a missing column was accepted")
	}
}

func TestHostFromAppName(t *testing.T) {
	o := Options{Host: "host-1", Serial: 3}
	if got := hostFromAppName(appName(o)); got != "host-1" {
		t.Errorf("hostOfApp(%q) = %q", appName(o), got)
	}
}
