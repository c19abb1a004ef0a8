package postgres

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// Message types as they stand on the wire, from PostgreSQL's documentation,
// chapter "Message Formats".
const (
	TypeBind      = 'B'
	TypeClose     = 'C'
	TypeCopyData  = 'd'
	TypeCopyDone  = 'c'
	TypeCopyFail  = 'f'
	TypeDescribe  = 'D'
	TypeExecute   = 'E'
	TypeFlush     = 'H'
	TypeParse     = 'P'
	TypeQuery     = 'Q'
	TypeSync      = 'S'
	TypeTerminate = 'X'

	TypeCommandComplete      = 'C'
	TypeDataRow              = 'D'
	TypeCopyInResponse       = 'G'
	TypeErrorResponse        = 'E'
	TypeNotice               = 'N'
	TypeNotification         = 'A'
	TypeParameterStatus      = 'S'
	TypeParseComplete        = '1'
	TypeBindComplete         = '2'
	TypeCloseComplete        = '3'
	TypeReadyForQuery        = 'Z'
	TypeEmptyQuery           = 'I'
	TypePortalSuspended      = 's'
	TypeNoData               = 'n'
	TypeRowDescription       = 'T'
	TypeParameterDescription = 't'
)

// Status bytes of ReadyForQuery.
const (
	StatusIdle          = 'I'
	StatusInTransaction = 'T'
	StatusFailed        = 'E'
)

// HeaderSize is the size of a message's type and length, in bytes.
const HeaderSize = 5

// MaxFrameSize bounds one message from a caller, in bytes. A larger one closes the
// connection: a length field is the one place where a few hostile bytes could
// make the process allocate a gigabyte.
const MaxFrameSize = 64 << 20

// A Frame is one message with its header. Its bytes are valid until the next
// call on the reader that returned it.
type Frame []byte

// Type returns the message type.
func (f Frame) Type() byte { return f[0] }

// Size returns the size of the message that starts f, its header included.
func (f Frame) Size() int { return 1 + int(binary.BigEndian.Uint32(f[1:])) }

// Body returns the message without its header.
func (f Frame) Body() []byte { return f[HeaderSize:] }

// ReadFrame reads one message. It appends the message to buf and returns the
// longer buffer; the message starts at len(buf).
func ReadFrame(r *bufio.Reader, buf []byte) ([]byte, error) {
	header, err := r.Peek(HeaderSize)
	if err != nil {
		return buf, err
	}
	size := int(binary.BigEndian.Uint32(header[1:])) + 1
	if size < HeaderSize || size > MaxFrameSize {
		return buf, errors.Errorf("message of type %q has length %d", header[0], size-1)
	}
	start := len(buf)
	buf = grow(buf, size)
	if _, err := io.ReadFull(r, buf[start:]); err != nil {
		return buf[:start], err
	}
	return buf, nil
}

// grow extends buf by n bytes.
func grow(buf []byte, n int) []byte {
	if cap(buf)-len(buf) >= n {
		return buf[:len(buf)+n]
	}
	return append(buf, make([]byte, n)...)
}

// BeginFrame appends the header of a message whose length EndFrame fills in.
func BeginFrame(buf []byte, kind byte) []byte {
	return append(buf, kind, 0, 0, 0, 0)
}

// EndFrame sets the length of the message that starts at start and ends with buf.
func EndFrame(buf []byte, start int) []byte {
	binary.BigEndian.PutUint32(buf[start+1:], uint32(len(buf)-start-1))
	return buf
}
