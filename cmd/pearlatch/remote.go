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

// addrArgs holds the operator address of a running host.
type addrArgs struct {
	Addr string `positional-arg-name:"HOST:PORT" required:"true"`
}

// dumpCommand prints the state of a host as JSON, or its load as a table.
type dumpCommand struct {
	tlsOptions
	Load bool     `long:"load" description:"only what waits and what was refused, as a table (hosts that run pearlatch gateway)"`
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
	if c.Load {
		table, err := operator.FormatLoad(raw)
		fmt.Print(table)
		return err
	}
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return errors.Wrap(err, "dump")
	}
	out.WriteByte('\n')
	_, err = out.WriteTo(os.Stdout)
	return err
}

// drainCommand requests a graceful shutdown of a host.
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

// versionCommand prints the versions of the program, the protocol between hosts
// and the configuration schema.
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
