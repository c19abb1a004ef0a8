package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"

	"pearlatch/core/config"
	"pearlatch/io/operator"
)

// loginOptions is how commands that change something identify themselves.
type loginOptions struct {
	User         string `long:"user" env:"PEARLATCH_OPERATOR" description:"operator's user"`
	PasswordFile string `long:"password-file" env:"PEARLATCH_PASSWORD_FILE" description:"file with the operator's password"`
	tlsOptions
}

// tlsOptions says how commands reach a host's operator address.
type tlsOptions struct {
	Authority string `long:"authority" env:"PEARLATCH_AUTHORITY" description:"PEM file with the authority of the host's certificate; plain HTTP without it"`
}

func (s tlsOptions) tlsConfig() (*tls.Config, error) {
	if s.Authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, &exitError{exitUsage, errors.Wrap(err, "authority")}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &exitError{exitUsage, errors.Errorf("authority: %s holds no certificate", s.Authority)}
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func (l loginOptions) client(addr string) (operator.Client, error) {
	secured, err := l.tlsConfig()
	if err != nil {
		return operator.Client{}, err
	}
	out := operator.Client{Addr: addr, Login: operator.Login{User: l.User}, TLS: secured}
	if l.PasswordFile != "" {
		text, err := os.ReadFile(l.PasswordFile)
		if err != nil {
			return out, &exitError{exitUsage, errors.Wrap(err, "password file")}
		}
		out.Login.Password = strings.TrimRight(string(text), "\r\n")
	}
	return out, nil
}

// addConfigCommands adds the command config with its subcommands.
func addConfigCommands(p *flags.Parser) {
	c, err := p.AddCommand("config", "Read and change the configuration", "Reads and changes the configuration by way of a running host.", &struct{}{})
	if err != nil {
		panic(err) // only a name used twice
	}
	for _, each := range []struct {
		name, short, long string
		command           any
	}{
		{"get", "Print the document in force", "Prints the document in force, its revision on standard error.", &getCommand{}},
		{"diff", "Compare a document with the one in force", "Prints the difference. Exit code 1 if there is one.", &diffCommand{}},
		{"submit", "Submit a document", "Submits a document on a base revision. Exit code 2 if it is invalid, 3 if the configuration has changed since the base.", &submitCommand{}},
		{"history", "List the revisions", "Lists the revisions that the store keeps, newest first.", &historyCommand{}},
	} {
		if _, err := c.AddCommand(each.name, each.short, each.long, each.command); err != nil {
			panic(err)
		}
	}
}

// getCommand prints the document in force.
type getCommand struct {
	loginOptions
	Args addrArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	r, err := c.currentRevision(c.Args.Addr)
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "revision %d by %s at %s\n", r.Revision, r.Author, r.At.Format(time.RFC3339))
	fmt.Print(r.Document)
	return nil
}

func (l loginOptions) currentRevision(addr string) (operator.RevisionBody, error) {
	client, err := l.client(addr)
	if err != nil {
		return operator.RevisionBody{}, err
	}
	return client.Get(context.Background())
}

// fileArgs are a host and a document.
type fileArgs struct {
	Addr string `positional-arg-name:"HOST:PORT" required:"true"`
	File string `positional-arg-name:"FILE" required:"true"`
}

// diffCommand compares a document with the one in force.
type diffCommand struct {
	loginOptions
	Args fileArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	doc, err := config.Parse(text)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	r, err := c.currentRevision(c.Args.Addr)
	if err != nil {
		return err
	}
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(r.Document), B: difflib.SplitLines(string(config.Encode(doc))),
		FromFile: fmt.Sprintf("revision %d", r.Revision), ToFile: c.Args.File, Context: 3,
	})
	if err != nil || diff == "" {
		return err
	}
	fmt.Print(diff)
	return &exitError{exitFailed, errors.New("the documents differ")}
}

// submitCommand submits a document.
type submitCommand struct {
	loginOptions
	Base   uint64   `long:"base" required:"true" description:"revision that the document is based on, as printed by get"`
	Author string   `long:"author" description:"name to record; the system's user if empty"`
	Args   fileArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	client, err := c.client(c.Args.Addr)
	if err != nil {
		return err
	}
	author := c.Author
	if u, err := user.Current(); author == "" && err == nil {
		author = u.Username
	}
	r, err := client.Submit(context.Background(), operator.SubmitBody{Base: c.Base, Author: author, Document: string(text)})
	switch {
	case errors.Is(err, operator.ErrConflict):
		return &exitError{exitConflict, err}
	case errors.Is(err, operator.ErrInvalidDocument):
		return &exitError{exitUsage, err}
	case err != nil:
		return err
	}
	fmt.Printf("accepted as revision %d\n", r.Revision)
	return nil
}

// historyCommand lists revisions.
type historyCommand struct {
	loginOptions
	Args addrArgs `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	client, err := c.client(c.Args.Addr)
	if err != nil {
		return err
	}
	list, err := client.History(context.Background())
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range list {
		fmt.Fprintf(t, "%d\t%s\t%s\n", r.Revision, r.At.Format(time.RFC3339), r.Author)
	}
	return t.Flush()
}
