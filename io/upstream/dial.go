package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	pkgerrors "github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/core/group"
)

// AppPrefix starts the application_name of every connection of pearlatch.
const AppPrefix = "pearlatch/"

// dialer opens connections to members.
type dialer struct {
	app, user, password, database string
	local                         netip.Addr
	bytes                         *atomic.Int64 // counts what connections carry; may be nil
}

// metered returns a dialer that counts what its connections carry.
func (d dialer) metered(bytes *atomic.Int64) dialer {
	d.bytes = bytes
	return d
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (d dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.net().DialContext(ctx, network, addr)
	if err != nil || d.bytes == nil {
		return conn, err
	}
	return meteredConn{conn, d.bytes}, nil
}

func newDialer(o Options) dialer {
	return dialer{
		app: appName(o), user: o.User, password: o.Password,
		database: o.Group.Database, local: o.Local,
	}
}

// connect opens a connection to the member. ctx bounds it.
func (d dialer) connect(ctx context.Context, member config.Member) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("")
	if err != nil {
		return nil, pkgerrors.Wrapf(err, "connect to member %s", member.Name)
	}
	cfg.Host, cfg.Port = member.Addr.Addr().String(), member.Addr.Port()
	cfg.User, cfg.Password, cfg.Database = d.user, d.password, d.database
	cfg.TLSConfig, cfg.Fallbacks = nil, nil
	cfg.RuntimeParams = map[string]string{"application_name": d.app}
	cfg.DialFunc = d.dial
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	return conn, pkgerrors.Wrapf(err, "connect to member %s", member.Name)
}

// appName returns the application_name of an owner's connections.
func appName(o Options) string {
	return fmt.Sprintf("%s%s/%d", AppPrefix, o.Host, o.Serial)
}

// hostFromAppName returns the host in an application_name, or the empty string.
func hostFromAppName(app string) string {
	host, _, _ := strings.Cut(strings.TrimPrefix(app, AppPrefix), "/")
	return host
}

func (d dialer) net() *net.Dialer {
	nd := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: 3}}
	if d.local.IsValid() {
		nd.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.local, 0))
	}
	return nd
}

// keepAliveIdle is how long a connection is silent before the kernel probes it.
const keepAliveIdle = 5 * time.Second

// isConnRefused reports whether err shows that no process listens at the member. A
// reset connection does not show that, since an operator may end any session,
// and neither does silence.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// queryRow runs a statement that returns at most queryRow row and returns its columns.
func queryRow(ctx context.Context, conn *pgconn.PgConn, sql string) ([]string, error) {
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) == 0 || len(results[0].Rows) == 0 {
		return nil, nil
	}
	return textRow(results[0].Rows[0]), nil
}

// execBatch runs statements, each in a transaction of its own, in one round trip. It
// returns the first row of each, or the first error; the statements after a
// failed one run all the same.
func execBatch(ctx context.Context, conn *pgconn.PgConn, statements ...string) ([][]string, error) {
	pipeline := conn.StartPipeline(ctx)
	for _, sql := range statements {
		pipeline.SendQueryParams(sql, nil, nil, nil, nil)
		if err := pipeline.Sync(); err != nil {
			_ = pipeline.Close()
			return nil, err
		}
	}
	rows, err := readBatch(pipeline, statements)
	if closeErr := pipeline.Close(); err == nil {
		err = closeErr
	}
	return rows, err
}

func readBatch(pipeline *pgconn.Pipeline, statements []string) ([][]string, error) {
	rows := make([][]string, len(statements))
	for i := 0; i < len(statements); {
		result, err := pipeline.GetResults()
		if err != nil {
			return rows, pkgerrors.Wrap(err, statements[i])
		}
		switch r := result.(type) {
		case *pgconn.ResultReader:
			got := r.Read()
			if got.Err != nil {
				return rows, pkgerrors.Wrap(got.Err, statements[i])
			}
			if len(got.Rows) > 0 {
				rows[i] = textRow(got.Rows[0])
			}
		case *pgconn.PipelineSync:
			i++
		}
	}
	return rows, nil
}

func textRow(row [][]byte) []string {
	out := make([]string, len(row))
	for i, v := range row {
		out[i] = string(v)
	}
	return out
}

// queryColumn runs a statement and returns the first queryColumn of its rows.
func queryColumn(ctx context.Context, conn *pgconn.PgConn, sql string) ([]string, error) {
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil || len(results) == 0 {
		return nil, err
	}
	var out []string
	for _, row := range results[0].Rows {
		out = append(out, string(row[0]))
	}
	return out, nil
}

// queryStatus probes a member.
func queryStatus(ctx context.Context, conn *pgconn.PgConn) (group.Status, error) {
	row, err := queryRow(ctx, conn, StatusSQL)
	if err != nil {
		return group.Status{}, err
	}
	return parseStatus(row)
}

// statusStatement names the prepared form of StatusSQL: probes would otherwise
// consist of its text for the most part.
const statusStatement = "pearlatch_status"

func prepareStatus(ctx context.Context, conn *pgconn.PgConn) error {
	_, err := conn.Prepare(ctx, statusStatement, StatusSQL, nil)
	return pkgerrors.Wrap(err, "prepare the probe")
}

// queryStatusPrepared probes a member over a connection on which prepareStatus ran.
func queryStatusPrepared(ctx context.Context, conn *pgconn.PgConn) (group.Status, error) {
	got := conn.ExecPrepared(ctx, statusStatement, nil, nil, nil).Read()
	if got.Err != nil {
		return group.Status{}, got.Err
	}
	if len(got.Rows) == 0 {
		return group.Status{}, pkgerrors.New("the probe returned no row")
	}
	return parseStatus(textRow(got.Rows[0]))
}

// Columns of StatusSQL.
const (
	colInRecovery = iota
	colFence
	colStreaming
	colTimeline
	colLogTerm
	colReceived
	colReplayed
	statusColumns
)

func parseStatus(row []string) (group.Status, error) {
	if len(row) != statusColumns {
		return group.Status{}, pkgerrors.Errorf("status has %d columns", len(row))
	}
	s := group.Status{
		InRecovery: row[colInRecovery] == "t",
		Streaming:  row[colStreaming] == "t",
		Fence:      parseFence(row[colFence]),
	}
	timeline, _ := strconv.ParseUint(row[colTimeline], 10, 32) // NULL: no receiver
	s.Timeline = uint32(timeline)
	logTerm, _ := strconv.ParseUint(row[colLogTerm], 10, 64) // NULL: no term yet
	s.LogTerm = group.Term(logTerm)
	var err error
	if s.Received, err = group.ParseLSN(row[colReceived]); err != nil {
		return s, err
	}
	s.Replayed, err = group.ParseLSN(row[colReplayed])
	return s, err
}

// parseFence reads the stored form "term:host"; the empty string is no fence.
func parseFence(v string) group.Fence {
	term, host, _ := strings.Cut(v, ":")
	n, _ := strconv.ParseUint(term, 10, 64)
	return group.Fence{Term: group.Term(n), Host: host}
}

// cancel sends a cancel request for what runs on c.
func (d dialer) cancel(ctx context.Context, member config.Member, c *conn) error {
	nc, err := d.net().DialContext(ctx, "tcp", member.Addr.String())
	if err != nil {
		return pkgerrors.Wrapf(err, "cancel on member %s", member.Name)
	}
	defer nc.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = nc.SetDeadline(deadline)
	}
	msg, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return pkgerrors.Wrapf(err, "cancel on member %s", member.Name)
	}
	_, err = nc.Write(msg)
	return pkgerrors.Wrapf(err, "cancel on member %s", member.Name)
}

// Reachable reports whether the member answers a probe over a new connection.
func Reachable(ctx context.Context, o Options, member config.Member) bool {
	d := newDialer(o)
	d.app = probePrefix + o.Host
	conn, err := d.connect(ctx, member)
	if err != nil {
		return false
	}
	defer closeNow(conn)
	_, err = queryStatus(ctx, conn)
	return err == nil
}

// probePrefix marks the connections of Reach, which no owner ends.
const probePrefix = "reach/"
