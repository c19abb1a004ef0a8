package upstream

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"pearlatch/core/group"
)

// Guards against a fence's result that is read while the command still writes it, which the race detector reports: a command may
// outlast the wait for it.
func TestFenceResultIsNotReadWhileTheCommandRuns(t *testing.T) {
	cfg, err := pgconn.ParseConfig("host=127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	conn, err := pgconn.Construct(&pgconn.HijackedConn{Conn: here, Config: cfg, TxStatus: 'I'})
	if err != nil {
		t.Fatal(err)
	}
	p := &prober{jobs: make(chan job)}
	o := &Owner{probers: []*prober{p}}
	o.options.Unsafe.SkipFence = true
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		j := <-p.jobs
		cancel()
		_ = j.run(ctx, conn, 0)
	}()
	if _, err := o.fence(ctx, 0, group.Fence{}); err == nil {
		t.Error("a fence whose command goes on has no error")
	}
	<-ended
}
