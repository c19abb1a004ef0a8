package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// frame returns an encoded message.
func frame(kind byte, body string) string {
	return string(postgres.EndFrame(append(postgres.BeginFrame(nil, kind), body...), 0))
}

// FuzzReadUnit guards against a caller's bytes that end the process, or that reach a member as other messages than those
// that were classified: what is passed on consists of whole messages of the caller's types, besides Parse for names.
func FuzzReadUnit(f *testing.F) {
	for _, seed := range []string{
		frame('Q', "SELECT 1\x00"), frame('Q', "SELECT 1\x00DROP TABLE t\x00"), frame('Q', "SELECT '\r\nQ'\x00"), frame('Q', "no end"),
		frame('P', "s\x00SELECT $1\x00\x00\x00") + frame('B', "\x00s\x00\x00\x00\x00\x01\x00\x00\x00\x02\x00\r\x00\x00") + frame('D', "Ss\x00") + frame('E', "\x00\x00\x00\x00\x00") + frame('S', ""),
		frame('P', "s\x00SELECT 1\x00\x00\x00") + frame('C', "Ss\x00") + frame('H', ""), frame('D', "S"), frame('C', ""), frame('B', "\x00"),
		"Q\x00\x00\x00\x03", "Q\xff\xff\xff\xff", "Q\x00\x00\x00\x09SEL", frame('X', ""), frame('F', "\x00\x00\x00\x01"), frame('S', "body"),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var b unitBuilder
		r := bufio.NewReader(bytes.NewReader(in))
		for {
			u, err := b.readUnit(r, func() {})
			if err != nil {
				return
			}
			if !wholeMessages(u.Data) {
				t.Fatalf("%q became %q", in, u.Data)
			}
		}
	})
}

// wholeMessages reports whether data consists of whole messages of types that callers send.
func wholeMessages(data []byte) bool {
	r := bufio.NewReader(bytes.NewReader(data))
	for {
		m, err := postgres.ReadFrame(r, nil)
		if err != nil {
			return errors.Is(err, io.EOF) && r.Buffered() == 0
		}
		if !bytes.ContainsRune([]byte("QPBDCEHS"), rune(m[0])) {
			return false
		}
	}
}

// Guards against a text that is classified as a read while the member reads another one.
func TestClassifiedTextIsTheOneSent(t *testing.T) {
	var b unitBuilder
	for text, want := range map[string]statement.Kind{"SELECT 1": statement.Read, "SELECT 1;\r\nDELETE FROM t": statement.Write, "DELETE FROM t": statement.Write} {
		u, err := b.readUnit(bufio.NewReader(bytes.NewReader([]byte(frame('Q', text+"\x00")))), func() {})
		if err != nil || u.Kind != want {
			t.Errorf("%q: %+v, %v", text, u, err)
			continue
		}
		var q pgproto3.Query
		if err := q.Decode(postgres.Frame(u.Data).Body()); err != nil || q.String != text {
			t.Errorf("%q is sent as %q, %v", text, q.String, err)
		}
	}
	if u, err := b.readUnit(bufio.NewReader(bytes.NewReader([]byte(frame('Q', "SELECT 1\x00DELETE FROM t\x00")))), func() {}); err == nil {
		t.Errorf("a text with a zero byte is passed on as %q, a %v", u.Data, u.Kind)
	}
}
