package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

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
		if _, err := connTo(t, ready).skipToReady(); err == nil {
			t.Errorf("status %q: accepted as the end of a reset", body)
		}
		if _, err := connTo(t, ready).exec(time.Second, "SELECT 1", "SELECT"); err == nil {
			t.Errorf("status %q: accepted as the end of a query", body)
		}
	}
}

// Guards against an answer of before, which a member sends again, that is taken for the answer to a statement that
// pearlatch sends itself: the answers that follow would all be passed on to the wrong requests.
func TestOwnStatementsTakeOnlyTheirAnswers(t *testing.T) {
	done := func(tag string, status string) string {
		return message(postgres.TypeCommandComplete, tag+"\x00") + message(postgres.TypeReadyForQuery, status)
	}
	repeated := message(postgres.TypeDataRow, "\x00\x00") + done("SELECT 1", "I")
	read := &statement.Unit{ReplyEnd: statement.EndsWithReady}
	for name, c := range map[string]struct {
		run           func(*conn) error
		right, others string
	}{
		"reset":  {(*conn).reset, done("DISCARD ALL", "I"), done("DISCARD", "I")},
		"reset ": {(*conn).reset, done("DISCARD ALL", "I"), message(postgres.TypeReadyForQuery, "I")},
		"wrapped read": {func(c *conn) error {
			x := &Exchange{conn: c, replica: true}
			_, err := x.readAnswer(t.Context(), &answer{unit: read, heldFrom: -1, stage: stageBegin})
			return err
		}, done("BEGIN", "T") + done("SELECT 1", "T") + done("COMMIT", "I"), done("BEGIN", "T") + done("BEGIN", "T") + done("SELECT 1", "T")},
		"ledger": {func(c *conn) error {
			_, err := c.exec(time.Second, "BEGIN; INSERT", "BEGIN", "INSERT 0 1")
			return err
		}, message(postgres.TypeCommandComplete, "BEGIN\x00") + done("INSERT 0 1", "T"), done("BEGIN", "T")},
	} {
		for sent, want := range map[string]bool{c.right: true, repeated + c.right: false, c.others: false} {
			if err := c.run(connTo(t, sent)); (err == nil) != want {
				t.Errorf("%s: answers %q: error %v", name, sent, err)
			}
		}
	}
}
