// Package socket sets up TCP connections that detect an unresponsive peer.
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
	// userTimeout is how long sent data may stay unacknowledged before the connection is closed: a few hundred round
	// trips within a region.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdleTimeout, keepAliveInterval and keepAliveCount detect an unresponsive peer while no data is in
	// transit. One second is the minimum that the kernel accepts.
	keepAliveIdleTimeout = 2 * time.Second
	keepAliveInterval    = time.Second
	keepAliveCount       = 2
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdleTimeout, Interval: keepAliveInterval, Count: keepAliveCount}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose peer has become unresponsive.
// Without it a call would hang for minutes behind a network partition.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Dialer returns a dialer that connects from the local address, if that is valid.
func Dialer(local netip.Addr) *net.Dialer {
	d := &net.Dialer{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	if local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d
}

// Listen listens on the address. Accepted connections detect an unresponsive peer in the same way as dialed ones.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	lis, err := c.Listen(ctx, "tcp", addr.String())
	return lis, errors.Wrapf(err, "listen on %s", addr)
}
