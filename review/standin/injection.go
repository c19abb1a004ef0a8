//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["injection"] = runInjection }

// runInjection: a client writes a value that holds a line feed. A message ends with CR LF, and its last field extends to
// the end of the line, so the value is part of the WRITE. Nothing inside it may be run as a statement of its own.
func runInjection(e *env) error {
	sent := map[string]string{} // the texts of the messages that clients sent, by id
	for i := range 20 {
		c, err := dialClient(e.rec, fmt.Sprintf("client-%d", i), e.hosts[i%len(e.hosts)].callers, ownWritesDB)
		if err != nil {
			return err
		}
		id, inner := newID(), newID()
		text := fmt.Sprintf("WRITE 1a%d sesame, nuts", i)
		if e.trouble {
			text += "\nQUERY " + inner + " WRITE 2b" + fmt.Sprint(i) + " none"
		} else {
			text += " QUERY " + inner + " WRITE 2b" + fmt.Sprint(i) + " none"
		}
		sent[id] = text
		c.do(id, text, 3*time.Second)
		drain(e, c)
		c.close()
	}
	time.Sleep(time.Second)
	for _, r := range e.rec.runs {
		text, known := sent[r.id]
		switch {
		case !known:
			e.rec.breaks("%s ran %q under the id %s, which no client sent as a message", r.member, r.text, r.id)
		case text != strings.TrimSpace(r.text):
			e.rec.breaks("%s ran %q under the id %s, and the client sent %q", r.member, r.text, r.id, text)
		}
	}
	e.rec.note("%s run", plural(len(e.rec.runs), "statements"))
	return nil
}

// drain records what else arrives within half a second.
func drain(e *env, c *client) {
	_ = c.nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	for {
		line, err := readStrictLine(c.r)
		if err != nil {
			return
		}
		e.rec.note("further  %s %q", c.name, line)
	}
}
