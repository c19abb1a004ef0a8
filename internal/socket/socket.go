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
	// keepAliveIdleTimeout and keepInterval find a connection that went silent while nothing
	// is under way. A second is the least that the kernel takes.
	keepAliveIdleTimeout = 2 * time.Second
	keepAliveInterval    = time.Second
	keepAliveCount       = 2
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdleTimeout, Interval: keepAliveInterval, Count: keepAliveCount}

// setUserTimeout makes the kernel give up a connection whose other side went
// silent: without it a call would hang for minutes behind a partition.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
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
	d := &net.Dialer{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d
}

// Listen listens on the address. Connections that are accepted are bounded as those
// that are dialled.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	lis, err := c.Listen(ctx, "tcp", addr.String())
	return lis, errors.Wrapf(err, "listen on %s", addr)
}
