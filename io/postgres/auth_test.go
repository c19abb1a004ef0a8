package postgres

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against memory that a caller without a password takes: the length in a message must not be allocated before
// its bytes have arrived.
func TestLongMessageBeforeAuthenticationIsRefused(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		_, _ = far.Write([]byte{'p', 0x20, 0, 0, 0}) // 512 MiB
		_ = far.Close()
	}()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	err := Authenticate(pgproto3.NewBackend(near, near), nil)
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if !errors.As(err, &tooLong) {
		t.Errorf("got %v, want a refusal of the length", err)
	}
}
