package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"pearlatch/internal/eventlog"
	"pearlatch/internal/host"
)

// serveCommand runs a host until a signal or an operator requests its shutdown.
type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file (YAML)"`
	Debug    bool   `long:"debug" description:"log more"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := host.LoadSettings(c.Settings)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	logger := log.With(log.NewJSONLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	defer eventlog.CaptureLibraries(logger)()
	allowed := level.AllowInfo()
	if c.Debug {
		allowed = level.AllowDebug()
	}
	h, err := host.Start(host.Options{Settings: *s, Logger: level.NewFilter(logger, allowed)})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	select {
	case <-ctx.Done():
	case <-h.DrainRequested():
	}
	drain, cancel := context.WithTimeout(context.Background(), s.Drain)
	defer cancel()
	h.Shutdown(drain)
	return nil
}
