// Package socket sets up TCP connections whose other side may go silent.
package socket

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay unacknowledged until a
	// connection counts as broken: a few hundred round trips within a region.
	userTimeout = 1200 * time.Millisecond
	// keepIdle and keepInterval find a connection that went silent while nothing
	// is under way. A second is the least that the kernel takes.
	keepIdle     = 2 * time.Second
	keepInterval = time.Second
	keepCount    = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}

// boundSilence makes the kernel give up a connection whose other side went
// silent: without it a call would hang for minutes behind a partition.
func boundSilence(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return set
}

// Dialer returns a dialer that connects from the local address, if that is valid.
func Dialer(local netip.Addr) *net.Dialer {
	d := &net.Dialer{KeepAliveConfig: keepAlive, Control: boundSilence}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d
}

// Listen listens on the address. Connections that are accepted are bounded as those
// that are dialled.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: boundSilence}
	lis, err := c.Listen(ctx, "tcp", addr.String())
	return lis, errors.Wrapf(err, "listen on %s", addr)
}
