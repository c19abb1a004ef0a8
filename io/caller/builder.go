package caller

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"io"

	"github.com/cespare/xxhash/v2"

	"pearlatch/core/statement"
	"pearlatch/io/postgres"
)

// protocolError is a violation of the protocol by the caller. It closes the
// caller's connection.
type protocolError struct{ reason string }

func (e *protocolError) Error() string { return "protocol violation: " + e.reason }

// maxPreparedStatements is the limit of named statements per caller.
const maxPreparedStatements = 10000

// sharedNamePrefix is the prefix of the names of shared prepared statements.
const sharedNamePrefix = "pearlatch_"

// unusedName is a name under which no statement is ever prepared.
const unusedName = sharedNamePrefix + "none"

// unitBuilder groups a caller's messages into units. It replaces the names of
// prepared statements by names derived from their text, so that any pooled
// connection can hold them.
type unitBuilder struct {
	// named holds the caller's named statements by the caller's name.
	named map[string]*preparedStatement
	// unnamed is the caller's unnamed statement, or nil.
	unnamed *preparedStatement
	// unnamedParsed is true while the connection's unnamed statement is the
	// caller's: after an unnamed Parse in the current unit, until a named Parse
	// replaces it.
	unnamedParsed bool
	// copying is true between CopyInResponse and the end of the COPY.
	copying bool
	// extended is true if the current or last unit uses the extended query
	// protocol.
	extended bool

	unit  statement.Unit
	data  []byte
	frame []byte // last message read
}

// preparedStatement is a statement that a caller has parsed.
type preparedStatement struct {
	shared statement.Prepared
	traits statement.Traits
}

// readUnit reads messages up to the end of a unit. It calls arrived after the
// first message. It returns io.EOF when the caller ends the connection. The unit
// is valid until the next call.
func (b *unitBuilder) readUnit(r *bufio.Reader, arrived func()) (*statement.Unit, error) {
	b.reset()
	for first := true; ; first = false {
		var err error
		if b.frame, err = postgres.ReadFrame(r, b.frame[:0]); err != nil {
			return nil, err
		}
		if first {
			arrived()
		}
		done, err := b.addMessage(b.frame)
		if err != nil {
			return nil, err
		}
		if done {
			b.unit.Data = b.data
			return &b.unit, nil
		}
	}
}

// maxKeptBufferSize is the largest buffer that a session keeps between units, in
// bytes.
const maxKeptBufferSize = 4 << 10

func (b *unitBuilder) reset() {
	if cap(b.frame) > maxKeptBufferSize {
		b.frame = nil
	}
	if cap(b.data) > maxKeptBufferSize {
		b.data = nil
	}
	b.data = b.data[:0]
	b.unnamedParsed = false
	b.unit = statement.Unit{Kind: statement.Read, Prepared: b.unit.Prepared[:0]}
}

// addMessage adds a message and reports whether it ends the unit.
func (b *unitBuilder) addMessage(f postgres.Frame) (done bool, err error) {
	if b.copying {
		return b.addCopyMessage(f)
	}
	switch f.Type() {
	case postgres.TypeTerminate:
		return false, io.EOF
	case postgres.TypeQuery:
		return true, b.addQuery(f)
	case postgres.TypeSync:
		b.data = append(b.data, f...)
		b.unit.ReplyEnd = statement.EndsWithReady
		return true, nil
	case postgres.TypeFlush:
		b.data = append(b.data, f...)
		b.unit.ReplyEnd = statement.EndsAfterReplies
		return b.unit.Replies > 0, nil
	case postgres.TypeParse:
		return false, b.addParse(f)
	case postgres.TypeBind:
		return false, b.addBind(f)
	case postgres.TypeDescribe, postgres.TypeClose:
		return false, b.addDescribeOrClose(f)
	case postgres.TypeExecute:
		b.data = append(b.data, f...)
		b.unit.Replies++
		return false, nil
	case postgres.TypeCopyData, postgres.TypeCopyDone, postgres.TypeCopyFail:
		return false, nil // remaining data of a failed COPY
	}
	return false, &protocolError{reason: "message type " + string(rune(f.Type())) + " is not supported"}
}

// addCopyMessage adds a message while the member waits for COPY data. Each
// CopyData message is a unit, so that a large COPY is not buffered in memory.
func (b *unitBuilder) addCopyMessage(f postgres.Frame) (done bool, err error) {
	b.unit.Kind = statement.Write
	switch f.Type() {
	case postgres.TypeCopyData:
		b.data = append(b.data, f...)
		b.unit.ReplyEnd = statement.EndsWithoutReply
		return true, nil
	case postgres.TypeCopyDone, postgres.TypeCopyFail:
		b.data = append(b.data, f...)
		b.copying = false
		b.unit.ReplyEnd = statement.EndsWithReady
		// In the extended query protocol, the reply to a COPY ends only after Sync.
		return !b.extended, nil
	case postgres.TypeFlush, postgres.TypeSync:
		return false, nil // the member ignores them during COPY
	case postgres.TypeTerminate:
		return false, io.EOF
	}
	return false, &protocolError{reason: "message type " + string(rune(f.Type())) + " during COPY"}
}

func (b *unitBuilder) addQuery(f postgres.Frame) error {
	sql, rest, ok := cutString(f.Body())
	if !ok {
		return &protocolError{reason: "Query without its end"}
	}
	if len(rest) > 0 {
		// A member that reads on would run a text that was not classified.
		return &protocolError{reason: "Query with a zero byte in its text"}
	}
	b.extended = false
	b.applyTraits(statement.Classify(sql))
	b.data = append(b.data, f...)
	b.unit.ReplyEnd = statement.EndsWithReady
	return nil
}

// applyTraits adds a statement's traits to the unit.
func (b *unitBuilder) applyTraits(t statement.Traits) {
	if t.Kind == statement.Write {
		b.unit.Kind = statement.Write
	}
	b.unit.Pins = b.unit.Pins || t.Pins
	b.unit.ControlsTransaction = b.unit.ControlsTransaction || t.ControlsTransaction
	if t.RequestID != "" {
		b.unit.RequestID = t.RequestID
	}
}

func (b *unitBuilder) addParse(f postgres.Frame) error {
	name, rest, ok := cutString(f.Body())
	if !ok {
		return &protocolError{reason: "Parse without a name"}
	}
	sql, _, ok := cutString(rest)
	if !ok {
		return &protocolError{reason: "Parse without a text"}
	}
	b.extended = true
	p := newPrepared(sql, rest)
	b.unit.Replies++
	if name == "" {
		b.unnamed, b.unnamedParsed = p, true
		b.data = append(b.data, f...)
		return nil
	}
	if len(b.named) >= maxPreparedStatements {
		return &protocolError{reason: "too many prepared statements"}
	}
	if b.named == nil {
		b.named = map[string]*preparedStatement{}
	}
	b.named[name] = p
	// The text is parsed as the unnamed statement, so that the member checks it
	// now. The shared statement is prepared when a connection first uses it.
	b.unnamedParsed = false
	start := len(b.data)
	b.data = append(postgres.BeginFrame(b.data, postgres.TypeParse), 0)
	b.data = postgres.EndFrame(append(b.data, rest...), start)
	return nil
}

// newPrepared returns the statement of a Parse message. rest is the body of the
// message after the name, that is the text and the parameter types. The shared
// name is a hash of it.
func newPrepared(sql string, rest []byte) *preparedStatement {
	sum := xxhash.Sum64(rest)
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(sum >> (8 * i))
	}
	name := sharedNamePrefix + hex.EncodeToString(raw[:])
	msg := append(postgres.BeginFrame(nil, postgres.TypeParse), name...)
	msg = append(msg, 0)
	msg = postgres.EndFrame(append(msg, rest...), 0)
	return &preparedStatement{shared: statement.Prepared{Name: name, Parse: msg}, traits: statement.Classify(sql)}
}

// resolve returns the statement that the caller knows by name, or nil, and the
// name of that statement on the connection. It adds a shared statement to those
// that the unit requires.
func (b *unitBuilder) resolve(name string) (p *preparedStatement, shared string) {
	p = b.named[name]
	if name == "" {
		if b.unnamedParsed {
			return b.unnamed, ""
		}
		p = b.unnamed
	}
	if p == nil {
		// The connection may hold another caller's unnamed statement, so the
		// empty name must not be passed on either.
		return nil, unusedName
	}
	b.requirePrepared(p.shared)
	return p, p.shared.Name
}

// requirePrepared adds s to the statements that the connection must have
// prepared before the unit runs.
func (b *unitBuilder) requirePrepared(s statement.Prepared) {
	for _, each := range b.unit.Prepared {
		if each.Name == s.Name {
			return
		}
	}
	b.unit.Prepared = append(b.unit.Prepared, s)
}

func (b *unitBuilder) addBind(f postgres.Frame) error {
	portal, rest, ok := cutString(f.Body())
	if !ok {
		return &protocolError{reason: "Bind without a portal"}
	}
	name, rest, ok := cutString(rest)
	if !ok {
		return &protocolError{reason: "Bind without a statement"}
	}
	b.extended = true
	b.unit.Replies++
	p, shared := b.resolve(name)
	if p != nil {
		b.applyTraits(p.traits)
	}
	start := len(b.data)
	b.data = append(postgres.BeginFrame(b.data, postgres.TypeBind), portal...)
	b.data = append(append(append(b.data, 0), shared...), 0)
	b.data = postgres.EndFrame(append(b.data, rest...), start)
	return nil
}

// addDescribeOrClose adds a Describe or Close message, which names a statement or
// a portal.
func (b *unitBuilder) addDescribeOrClose(f postgres.Frame) error {
	body := f.Body()
	if len(body) < 2 {
		return &protocolError{reason: "Describe or Close without a name"}
	}
	kind := body[0]
	name, _, ok := cutString(body[1:])
	if !ok {
		return &protocolError{reason: "Describe or Close without a name"}
	}
	b.extended = true
	b.unit.Replies++
	if kind != 'S' {
		b.data = append(b.data, f...)
		return nil
	}
	shared := unusedName
	if f.Type() == postgres.TypeDescribe {
		b.unit.Replies++
		_, shared = b.resolve(name)
	} else {
		// Other callers may use the shared statement, so only this caller's name
		// is deleted.
		delete(b.named, name)
	}
	start := len(b.data)
	b.data = append(append(postgres.BeginFrame(b.data, f.Type()), kind), shared...)
	b.data = postgres.EndFrame(append(b.data, 0), start)
	return nil
}

// cutString returns the zero-terminated string at the start of body.
func cutString(body []byte) (s string, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return "", nil, false
	}
	return string(body[:i]), body[i+1:], true
}

// appendRollbackReply appends the replies, without ReadyForQuery, to a unit that
// ends a lost transaction. Each statement is answered with ROLLBACK.
func appendRollbackReply(out []byte, u *statement.Unit) []byte {
	for rest := u.Data; len(rest) >= postgres.HeaderSize; {
		f := postgres.Frame(rest)
		switch f.Type() {
		case postgres.TypeParse:
			out = append(out, postgres.TypeParseComplete, 0, 0, 0, 4)
		case postgres.TypeBind:
			out = append(out, postgres.TypeBindComplete, 0, 0, 0, 4)
		case postgres.TypeDescribe:
			out = append(out, postgres.TypeNoData, 0, 0, 0, 4)
		case postgres.TypeExecute, postgres.TypeQuery:
			start := len(out)
			out = append(postgres.BeginFrame(out, postgres.TypeCommandComplete), "ROLLBACK\x00"...)
			out = postgres.EndFrame(out, start)
		}
		rest = rest[min(f.Size(), len(rest)):]
	}
	return out
}
