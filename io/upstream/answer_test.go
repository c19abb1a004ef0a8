package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"

	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// connTo returns a connection to a member that sends the bytes, whatever it receives, and then ends the connection.
func connTo(t *testing.T, sent string) *conn {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		_, _ = io.WriteString(far, sent)
		_ = far.Close()
	}()
	return &conn{net: near, r: bufio.NewReader(near), prepared: map[string]bool{}}
}

// message returns an encoded message.
func message(kind byte, body string) string {
	return string(postgres.EndFrame(append(postgres.BeginFrame(nil, kind), body...), 0))
}

// Guards against a process that ends because a member's ReadyForQuery holds no status.
func TestReadyWithoutStatusIsAnError(t *testing.T) {
	for _, body := range []string{"", "X", "II"} {
		ready := message(postgres.TypeReadyForQuery, body)
		x := &Exchange{conn: connTo(t, ready)}
		if _, err := x.readAnswer(t.Context(), &answer{unit: &statement.Unit{}, heldFrom: -1}); err == nil {
			t.Errorf("status %q: accepted as the end of an answer", body)
		}
		if _, _, err := connTo(t, ready).skipToReady(); err == nil {
			t.Errorf("status %q: accepted as the end of a reset", body)
		}
		if _, err := connTo(t, ready).exec("SELECT 1"); err == nil {
			t.Errorf("status %q: accepted as the end of a query", body)
		}
	}
}
