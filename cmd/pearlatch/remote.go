package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"

	"pearlatch/core/config"
	"pearlatch/io/operator"
	"pearlatch/io/peer"
)

// addrArgs is the operator address of a running host.
type addrArgs struct {
	Addr string `positional-arg-name:"HOST:PORT" required:"true"`
}

// dumpCommand prints a host's state.
type dumpCommand struct {
	tlsOptions
	Args addrArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	secured, err := c.tlsConfig()
	if err != nil {
		return err
	}
	raw, err := operator.Client{Addr: c.Args.Addr, TLS: secured}.Dump(context.Background())
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return errors.Wrap(err, "dump")
	}
	out.WriteByte('\n')
	_, err = out.WriteTo(os.Stdout)
	return err
}

// drainCommand drains a host.
type drainCommand struct {
	loginOptions
	Args addrArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	client, err := c.client(c.Args.Addr)
	if err != nil {
		return err
	}
	return client.Drain(context.Background())
}

// versionCommand prints versions.
type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Printf("pearlatch %s, inner protocol %d, configuration schema %d\n", version, peer.Version, config.SchemaVersion)
	return nil
}
