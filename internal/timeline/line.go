package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

const maxLineSize = 1 << 20

// Line is a log line of a host, with the fields that the summary uses.
type Line struct {
	At          time.Time
	Host, Event string
	// Group is the group that the line is about, or empty.
	Group string
	// Code is the code of a failure that a caller got, and Cause the reason of a refusal. Both may be empty.
	Code, Cause string
}

// Read calls add for each log line of r, and returns the number of other lines. It ignores text before the first brace
// of a line, such as a prefix with the host's name.
func Read(r io.Reader, add func(Line)) (skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		if l, ok := parseLine(lines.Bytes()); ok {
			add(l)
		} else {
			skipped++
		}
	}
	return skipped, errors.Wrap(lines.Err(), "read log lines")
}

// wireLine is the JSON form of a Line.
type wireLine struct {
	At    time.Time `json:"ts"`
	Host  string    `json:"host"`
	Event string    `json:"event"`
	Group string    `json:"group"`
	Code  string    `json:"code"`
	Cause string    `json:"cause"`
}

// parseLine parses a log line. It returns false if the text is none, or names no host: the first line of a process, from
// before it has read its settings.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var w wireLine
	if json.Unmarshal(text[start:], &w) != nil || w.At.IsZero() || w.Host == "" || w.Event == "" {
		return Line{}, false
	}
	return Line(w), true
}
