// Package process runs a host as a process on the users' platform: it opens its listeners, handles signals and drains
// it at shutdown.
package process

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"pearlatch/internal/boottime"
	"pearlatch/internal/eventlog"
	"pearlatch/internal/gateway"
	"pearlatch/internal/socket"
	"pearlatch/io/operator"
	"pearlatch/io/peer"
	"pearlatch/platform"
)

// SettingsError means that the settings can't be read or are invalid.
type SettingsError struct{ Err error }

// Error implements error.
func (e *SettingsError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *SettingsError) Unwrap() error { return e.Err }

// Run runs a host with the settings in the file at path until the process receives SIGTERM or SIGINT and has drained.
// The settings are reloaded on SIGHUP and when the file changes. Log lines are written to out. A *SettingsError is
// returned if the host can't start with the settings.
func Run(path string, out io.Writer) error {
	return RunWithPorts(path, out, func(*gateway.Ports) {})
}

// RunWithPorts is like Run, and calls change with the host's external dependencies before the host is created. Tests
// use it to inject faults.
func RunWithPorts(path string, out io.Writer, change func(*gateway.Ports)) error {
	// A signal that arrives before its handler is installed ends the process.
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	lines := eventlog.New(out, boottime.Now)
	defer lines.Close()
	logger := log.With(lines, "ts", log.DefaultTimestampUTC)
	defer eventlog.CaptureLibraries(logger)()
	_ = level.Info(logger).Log("event", "starting", "settings", path)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return &SettingsError{err}
	}
	g := &gatewayProcess{settings: s, logger: logger, registry: metrics.NewRegistry(), lines: lines, traffic: &peer.Traffic{}}
	ports := g.ports()
	change(&ports)
	h := gateway.NewHost(s.Gateway, ports, logger, boottime.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	accept := &platform.CallerServer{Host: h}
	if err := g.listen(ctx, h, accept); err != nil {
		return err
	}
	go reloadSettings(hup, path, h, logger)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	_ = level.Info(logger).Log("event", "start", "metrics", s.Metrics, "host", s.Gateway.Host, "zone", s.Gateway.Zone)
	<-stopped.Done()
	drain := newDrain(h, accept, s.Gateway.ShutdownGrace, logger)
	drain.run()
	cancel()
	select {
	case <-done:
	case <-time.After(min(finishTimeout, drain.remaining())):
	}
	_ = level.Info(logger).Log("event", "stop", "host", s.Gateway.Host)
	return nil
}

// gatewayProcess holds what the ports and listeners of a host share.
type gatewayProcess struct {
	settings *platform.Settings
	logger   log.Logger
	registry metrics.Registry
	lines    *eventlog.Logger
	traffic  *peer.Traffic
}

// ports returns the external dependencies of the host.
func (g *gatewayProcess) ports() gateway.Ports {
	s := g.settings
	dialer := platform.Dialer{Local: s.Callers.Addr(), DefaultUser: s.Gateway.Host}
	p := gateway.Ports{
		Dialer: dialer, Store: platform.NewStore(s.Store, dialer), Promoter: platform.NewPromoter(s.Promotions, dialer),
		Decode: platform.Decoder{}, Keys: platform.Keys, Metrics: g.registry,
	}
	if s.Peers.IsValid() {
		p.Peers = peer.NewGatewayClient(s.Peers.Addr(), g.traffic)
	}
	return p
}

// listen opens the host's listeners and starts to serve them.
func (g *gatewayProcess) listen(ctx context.Context, h *gateway.Host, accept *platform.CallerServer) error {
	s := g.settings
	refresh := func() { updateDroppedMetrics(g.registry, g.lines) }
	listeners := []struct {
		name  string
		addr  netip.AddrPort
		serve func(net.Listener) error
	}{
		{"callers", s.Callers, accept.Serve},
		{"ready", s.Ready, func(lis net.Listener) error { return serveHTTP(lis, platform.ReadyHandler(h.Ready)) }},
		{"metrics", s.Metrics, func(lis net.Listener) error {
			return serveHTTP(lis, operator.GatewayHandler(g.registry, refresh, h.Snapshot))
		}},
		{"peers", s.Peers, func(lis net.Listener) error { return peer.ServeGateway(ctx, lis, h, g.traffic) }},
	}
	for _, l := range listeners {
		if !l.addr.IsValid() {
			continue
		}
		lis, err := socket.Listen(ctx, l.addr)
		if err != nil {
			return errors.Wrapf(err, "for %s", l.name)
		}
		go serveUntilClosed(g.logger, l.name, func() error { return l.serve(lis) })
	}
	return nil
}

// updateDroppedMetrics updates the metrics that count dropped log lines.
func updateDroppedMetrics(r metrics.Registry, lines *eventlog.Logger) {
	for event, n := range lines.Dropped() {
		metrics.GetOrRegisterGauge(fmt.Sprintf("log_lines_dropped_total{event=%q}", event), r).Update(n)
	}
}

// reloadPollInterval is the time between two checks of the settings file, which may change without a signal.
const reloadPollInterval = 2 * time.Second

// reloadSettings reloads the settings at each signal and whenever the file has changed. A file with mistakes is
// ignored. Changes of addresses and names take no effect until the process restarts.
func reloadSettings(signals <-chan os.Signal, path string, h *gateway.Host, logger log.Logger) {
	read := modTime(path)
	for {
		select {
		case <-signals:
		case <-time.After(reloadPollInterval):
			if modTime(path).Equal(read) {
				continue
			}
		}
		read = modTime(path)
		s, err := platform.LoadSettings(path)
		if err == nil {
			h.Reload(s.Gateway)
		}
		_ = level.Info(logger).Log("event", "reload", "settings", path, "err", err)
	}
}

// modTime returns the modification time of a file, or the zero time if the file can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// headerTimeout bounds how long a client may take to send its request headers.
const headerTimeout = 5 * time.Second

func serveHTTP(lis net.Listener, handler http.Handler) error {
	return (&http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}).Serve(lis)
}

func serveUntilClosed(logger log.Logger, name string, serve func() error) {
	if err := serve(); err != nil {
		_ = level.Error(logger).Log("event", "listener_ended", "what", name, "err", err)
	}
}
