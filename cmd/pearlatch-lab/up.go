package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"pearlatch/internal/lab"
)

// upCommand runs a site until it is interrupted.
type upCommand struct {
	outputOptions
}

// Execute implements flags.Commander.
func (c *upCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return lab.Up(ctx, os.Stdout, c.logger())
}
