package lab

import (
	"bytes"
	"context"
	"database/sql"
	"encoding/binary"

	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/lib/pq" // the second driver under test

	"pearlatch/core/config"
	"pearlatch/io/postgres"
)

func TestReadsOwnWriteThroughAnotherHost(t *testing.T) {
	topology := small()
	topology.ApplyLag = 300 * time.Millisecond
	c := start(t, topology)
	a, b := dial(t, c, 0, DeskRoute, "chef"), dial(t, c, 1, BrowseRoute, "chef")
	for i := range 20 {
		want := strconv.Itoa(i)
		mustExec(t, a, upsertSQL, "recipe", want)
		if got := mustRead(t, b, selectSQL, "recipe"); got != want {
			t.Fatalf("read %q after writing %q", got, want)
		}
	}
}

func TestDriverModes(t *testing.T) {
	c := start(t, small())
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			conn := dial(t, c, 0, DeskRoute, "")
			mustExec(t, conn, upsertSQL, mode, "mode", "v1")
			for range 3 {
				if got := mustRead(t, conn, selectSQL, mode, "mode"); got != "v1" {
					t.Fatalf("read %q", got)
				}
			}
		})
	}
}

func TestLibPQ(t *testing.T) {
	c := start(t, small())
	db, err := sql.Open("postgres", c.URL(1, c.Topology.RouteName(DeskRoute, 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	db.SetMaxOpenConns(1)
	if _, err := db.Exec(upsertSQL, "pq", "v"); err != nil {
		t.Fatal(err)
	}
	stmt, err := db.Prepare(selectSQL)
	if err != nil {
		t.Fatal(err)
	}
	defer stmt.Close()
	for range 3 {
		var got string
		if err := stmt.QueryRow("pq").Scan(&got); err != nil || got != "v" {
			t.Fatalf("read %q, %v", got, err)
		}
	}
}

func TestTransaction(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 1, DeskRoute, "")
	ctx := testContext(t)
	for _, commit := range []bool{false, true} {
		tx, err := conn.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, upsertSQL, "tx", strconv.FormatBool(commit)); err != nil {
			t.Fatal(err)
		}
		if !commit {
			err = tx.Rollback(ctx)
		} else {
			err = tx.Commit(ctx)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if got := mustRead(t, conn, selectSQL, "tx"); got != "true" {
		t.Errorf("read %q", got)
	}
}

func TestPipelining(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 1, DeskRoute, "")
	batch := &pgx.Batch{}
	for i := range 10 {
		batch.Queue(upsertSQL, "k"+strconv.Itoa(i), strconv.Itoa(i))
	}
	if err := conn.SendBatch(testContext(t), batch).Close(); err != nil {
		t.Fatal(err)
	}
	reads := &pgx.Batch{}
	for i := range 10 {
		reads.Queue(selectSQL, "k"+strconv.Itoa(i)).QueryRow(func(row pgx.Row) error {
			var v string
			if err := row.Scan(&v); err != nil || v != strconv.Itoa(i) {
				return fmt.Errorf("key %d holds %q: %v", i, v, err)
			}
			return nil
		})
	}
	if err := conn.SendBatch(testContext(t), reads).Close(); err != nil {
		t.Fatal(err)
	}
}

func TestCopy(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 1, DeskRoute, "")
	ctx := testContext(t)
	var in strings.Builder
	for i := range 5000 {
		fmt.Fprintf(&in, "row%d\t%d\n", i, i)
	}
	tag, err := conn.PgConn().CopyFrom(ctx, strings.NewReader(in.String()), "COPY items FROM STDIN")
	if err != nil || tag.RowsAffected() != 5000 {
		t.Fatalf("copied in %d rows, %v", tag.RowsAffected(), err)
	}
	if got := mustRead(t, conn, selectSQL, "row4999"); got != "4999" {
		t.Errorf("read %q", got)
	}
	var out bytes.Buffer
	if _, err := conn.PgConn().CopyTo(ctx, &out, "COPY items TO STDOUT"); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "row"); n != 5000 {
		t.Errorf("copied out %d rows", n)
	}
}

func TestLargeResult(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 1, DeskRoute, "")
	const rows = 200_000
	result, err := conn.Query(testContext(t), "SELECT generate_series(1, 200000)", pgx.QueryExecModeExec)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for result.Next() {
		n++
		var v string
		if err := result.Scan(&v); err != nil || v != strconv.Itoa(n) {
			t.Fatalf("row %d holds %q, %v", n, v, err)
		}
	}
	if result.Err() != nil || n != rows {
		t.Fatalf("%d rows, %v", n, result.Err())
	}
}

func TestErrorsPassUnchanged(t *testing.T) {
	c := start(t, small())
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol} {
		conn := dial(t, c, 1, DeskRoute, "")
		_, err := conn.Exec(testContext(t), "SELECT nonsense", mode)
		wantCode(t, err, "42601")
		if got := mustRead(t, conn, "SELECT 1"); got != "1" {
			t.Errorf("after an error: %q", got)
		}
	}
}

// A SELECT whose function writes looks like a read. The replica refuses it with
// 25006 before it runs, and the caller must see it run on the primary.
func TestSelectForUpdateRunsOnPrimary(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 0, BrowseRoute, "")
	mustExec(t, conn, upsertSQL, "w", "v")
	tag, err := conn.Exec(testContext(t), `/* looks odd */ UPDATE items SET value = value || '!' WHERE key = 'w' RETURNING value`)
	if err != nil || tag.RowsAffected() != 1 {
		t.Fatalf("%s, %v", tag, err)
	}
}

func TestCancelThroughAnotherHost(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 0, DeskRoute, "")
	done := make(chan error, 1)
	ctx := testContext(t)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(20)", pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	msg, err := (&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for {
		other, err := net.Dial("tcp", c.Topology.hostAddr(1, callerPort).String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = other.Write(msg)
		_ = other.Close()
		select {
		case err := <-done:
			wantCode(t, err, postgres.CodeQueryCanceled)
			if got := mustRead(t, conn, "SELECT 1"); got != "1" {
				t.Errorf("after the cancellation: %q", got)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestStatementDeadline(t *testing.T) {
	topology := small()
	c := startWith(t, topology, func(d *config.Document) {
		for i := range d.Routes {
			d.Routes[i].Deadline = 300 * time.Millisecond
		}
	})
	conn := dial(t, c, 1, DeskRoute, "")
	_, err := conn.Exec(testContext(t), "SELECT pg_sleep(20)", pgx.QueryExecModeSimpleProtocol)
	wantCode(t, err, postgres.CodeQueryCanceled)
}

func TestIdleInTransaction(t *testing.T) {
	c := startWith(t, small(), func(d *config.Document) {
		for i := range d.Routes {
			d.Routes[i].IdleInTransaction = 100 * time.Millisecond
		}
	})
	conn := dial(t, c, 1, DeskRoute, "")
	mustExec(t, conn, "BEGIN")
	mustExec(t, conn, upsertSQL, "idle", "v")
	wantCode(t, conn.PgConn().WaitForNotification(testContext(t)), postgres.CodeIdleInTransaction)
	other := dial(t, c, 1, DeskRoute, "")
	mustExec(t, other, upsertSQL, "idle", "w") // the row's lock is free again
}

func TestRefusalsAtStartup(t *testing.T) {
	c := startWith(t, small(), func(d *config.Document) {
		for i := range d.Routes {
			d.Routes[i].MaxCallers = 1
		}
	})
	ctx := testContext(t)
	url := c.URL(0, c.Topology.RouteName(DeskRoute, 0))
	_, err := connect(ctx, strings.Replace(url, Password, "wrong", 1), "")
	wantCode(t, err, postgres.CodeInvalidPassword)
	_, err = connect(ctx, c.URL(0, "nowhere"), "")
	wantCode(t, err, postgres.CodeInvalidPassword)
	_, err = connect(ctx, url+"&search_path=elsewhere", "")
	wantCode(t, err, postgres.CodeFeatureNotSupported)
	dial(t, c, 0, DeskRoute, "")
	_, err = connect(ctx, url, "")
	wantCode(t, err, postgres.CodeTooManyConnections)
}

func TestMalformedMessageClosesOnlyItsConnection(t *testing.T) {
	c := start(t, small())
	bad, good := dial(t, c, 0, DeskRoute, ""), dial(t, c, 0, DeskRoute, "")
	h, err := bad.PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer h.Conn.Close()
	if _, err := h.Conn.Write(binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<31)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1024)
	for err == nil {
		_, err = h.Conn.Read(buf)
	}
	if got := mustRead(t, good, "SELECT 1"); got != "1" {
		t.Errorf("the other caller read %q", got)
	}
}

// A caller's connection is idle when its host shuts down: it gets 57P01 at once.
// Another one is in the middle of a transaction: that goes on to its end, and
// only then is the connection closed.
func TestDrainCutsNoTransaction(t *testing.T) {
	c := start(t, small())
	idle, busy := dial(t, c, 0, DeskRoute, ""), dial(t, c, 0, DeskRoute, "")
	ctx := testContext(t)
	mustExec(t, busy, "BEGIN")
	mustExec(t, busy, upsertSQL, "drain", "v")
	down := make(chan struct{})
	host := c.Hosts[0]
	c.Hosts[0] = nil
	go func() {
		host.Shutdown(ctx)
		close(down)
	}()
	wantCode(t, idle.PgConn().WaitForNotification(ctx), postgres.CodeAdminShutdown)
	mustExec(t, busy, upsertSQL, "drain", "w")
	mustExec(t, busy, "COMMIT")
	<-down
	other := dial(t, c, 1, DeskRoute, "")
	if got := mustRead(t, other, selectSQL, "drain"); got != "w" {
		t.Errorf("read %q", got)
	}
}

// A caller sets a parameter of its session. Were the connection handed to the
// next caller as it is, that one would run with it.
func TestSessionStateIsPinnedAndReset(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 1, DeskRoute, "")
	mustExec(t, conn, "SET work_mem = '1MB'")
	pid := mustRead(t, conn, "SELECT pg_backend_pid()")
	for range 5 {
		if got := mustRead(t, conn, "SELECT pg_backend_pid()"); got != pid {
			t.Fatalf("the pinned session moved from %s to %s", pid, got)
		}
	}
	_ = conn.Close(context.Background())
	other := dial(t, c, 1, DeskRoute, "")
	mustExec(t, other, upsertSQL, "after", "pin")
}

func TestUnnamedStatementIsNeverAnothers(t *testing.T) {
	c := start(t, small())
	first := dial(t, c, 0, DeskRoute, "")
	mustExec(t, first, upsertSQL, pgx.QueryExecModeExec, "secret", "v")
	conn := dial(t, c, 0, DeskRoute, "").PgConn()
	fe := conn.Frontend()
	fe.Send(&pgproto3.Bind{})
	fe.Send(&pgproto3.Execute{})
	fe.Send(&pgproto3.Sync{})
	if err := fe.Flush(); err != nil {
		t.Fatal(err)
	}
	msg, err := fe.Receive()
	if err != nil {
		t.Fatal(err)
	}
	if e, ok := msg.(*pgproto3.ErrorResponse); !ok || e.Code != "26000" {
		t.Errorf("got %#v, want SQLSTATE 26000", msg)
	}
}

func TestFlushIsAnsweredBeforeSync(t *testing.T) {
	c := start(t, small())
	fe := dial(t, c, 1, DeskRoute, "").PgConn().Frontend()
	fe.Send(&pgproto3.Parse{Name: "s", Query: "SELECT 1"})
	fe.Send(&pgproto3.Describe{ObjectType: 'S', Name: "s"})
	fe.Send(&pgproto3.Flush{})
	if err := fe.Flush(); err != nil {
		t.Fatal(err)
	}
	receive(t, fe, "*pgproto3.ParseComplete", "*pgproto3.ParameterDescription", "*pgproto3.RowDescription")
	fe.Send(&pgproto3.Bind{PreparedStatement: "s"})
	fe.Send(&pgproto3.Execute{})
	fe.Send(&pgproto3.Sync{})
	if err := fe.Flush(); err != nil {
		t.Fatal(err)
	}
	receive(t, fe, "*pgproto3.BindComplete", "*pgproto3.DataRow", "*pgproto3.CommandComplete", "*pgproto3.ReadyForQuery")
}

func receive(t *testing.T, fe *pgproto3.Frontend, want ...string) {
	t.Helper()
	for _, w := range want {
		msg, err := fe.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprintf("%T", msg); got != w {
			t.Fatalf("got %s, want %s: %+v", got, w, msg)
		}
	}
}

// startWith runs a cluster whose document was changed.
func startWith(t *testing.T, topology Topology, change func(*config.Document)) *Cluster {
	t.Helper()
	topology.Change = change
	return start(t, topology)
}

// brokenReader gives some COPY data, breaks the upstream connection, and gives
// more.
type brokenReader struct {
	rest  int
	crash func()
}

func (b *brokenReader) Read(p []byte) (int, error) {
	if b.rest == 0 {
		return 0, io.EOF
	}
	if b.rest--; b.rest == 50 {
		b.crash()
	}
	return copy(p, strings.Repeat("k\tv\n", len(p)/4)), nil
}

// The primary crashes in the middle of a COPY. The caller is still sending: it
// must get its error and a connection that goes on, not wait for ever.
func TestCopyThatBreaksOffIsAnswered(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 1, DeskRoute, "")
	// The crash comes after 32 MB. A socket that isn't read holds less, so the host has read some of it, which it does only
	// once the COPY has begun on the member.
	data := &brokenReader{rest: 550, crash: c.Groups[0].Primary().Crash}
	if _, err := conn.PgConn().CopyFrom(testContext(t), data, "COPY items FROM STDIN"); err == nil {
		t.Fatal("a COPY into a crashed primary succeeded")
	}
	if got := mustRead(t, conn, "SELECT 1"); got != "1" {
		t.Errorf("after the COPY: %q", got)
	}
}

func TestDrainEndsPinnedSessions(t *testing.T) {
	c := start(t, small())
	conn := dial(t, c, 0, DeskRoute, "")
	mustExec(t, conn, "SET work_mem = '1MB'")
	down := make(chan struct{})
	go func() {
		c.DrainHost(0)
		close(down)
	}()
	wantCode(t, conn.PgConn().WaitForNotification(testContext(t)), postgres.CodeAdminShutdown)
	<-down
}
