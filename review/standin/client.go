//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// client is a session of a client with a host.
type client struct {
	rec  *recorder
	name string
	nc   net.Conn
	r    *bufio.Reader
}

// reply is what a client got for a request.
type reply struct {
	rows      []string
	signature string
	code      string // of ERR, or empty
	state     string
	// broken is why the connection ended without a complete answer, or nil.
	broken error
}

func (r reply) String() string {
	if r.broken != nil {
		return "no complete answer: " + r.broken.Error()
	}
	if r.code != "" {
		return "ERR " + r.code + " READY " + r.state
	}
	return fmt.Sprintf("ROWS %q DONE %s READY %s", r.rows, r.signature, r.state)
}

var lastID atomic.Int64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1)) }

// dialClient opens a session.
func dialClient(rec *recorder, name, host, database string) (*client, error) {
	nc, err := net.DialTimeout("tcp", host, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, name: name, nc: nc, r: bufio.NewReader(nc)}
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(nc, "START "+database+" u3f1\r\n"); err != nil {
		_ = nc.Close()
		return nil, err
	}
	line, err := readStrictLine(c.r)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("START was answered with %q", line)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// do sends a request and waits for the reply.
func (c *client) do(id, text string, timeout time.Duration) reply {
	c.rec.note("sent     %s id %s %q", c.name, id, text)
	out := c.exchange(id, text, timeout)
	c.rec.note("answered %s id %s %v", c.name, id, out)
	return out
}

func (c *client) exchange(id, text string, timeout time.Duration) (out reply) {
	_ = c.nc.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c.nc, "QUERY "+id+" "+text+"\r\n"); err != nil {
		return reply{broken: err}
	}
	for {
		line, err := readStrictLine(c.r)
		if err != nil {
			return reply{broken: err}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			out.rows = append(out.rows, rest)
		case "DONE":
			out.signature = rest
		case "ERR":
			out.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			out.state, _, _ = strings.Cut(rest, " ")
			return out
		}
	}
}

func (c *client) close() { _ = c.nc.Close() }
