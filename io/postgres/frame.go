package postgres

import (
	"bufio"
	"encoding/binary"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Message types on the wire, as defined in the chapter "Message Formats" of the
// PostgreSQL documentation.
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

// Transaction status bytes of ReadyForQuery.
const (
	StatusIdle          = 'I'
	StatusInTransaction = 'T'
	StatusFailed        = 'E'
)

// HeaderSize is the size of a message header, that is the type and the length, in
// bytes.
const HeaderSize = 5

// MaxFrameSize is the size limit of a message from a caller, in bytes. A larger
// message closes the connection: otherwise a forged length field of a few bytes
// could make the process allocate a gigabyte.
const MaxFrameSize = 64 << 20

// A Frame is a message with its header. Its bytes are valid until the next call
// on the reader that returned it.
type Frame []byte

// Type returns the message type.
func (f Frame) Type() byte { return f[0] }

// Size returns the size of the message at the start of f, including the header,
// in bytes.
func (f Frame) Size() int { return 1 + int(binary.BigEndian.Uint32(f[1:])) }

// Body returns the message without its header.
func (f Frame) Body() []byte { return f[HeaderSize:] }

// ReadyStatus returns the transaction status in a ReadyForQuery message.
func (f Frame) ReadyStatus() (byte, error) {
	if body := f.Body(); len(body) == 1 {
		switch status := body[0]; status {
		case StatusIdle, StatusInTransaction, StatusFailed:
			return status, nil
		}
	}
	return 0, errors.Errorf("ReadyForQuery with status %q", f.Body())
}

// CommandTag returns the tag in a CommandComplete message.
func (f Frame) CommandTag() string { return strings.TrimSuffix(string(f.Body()), "\x00") }

// ReadFrame reads a message and appends it to buf. In the returned buffer, the
// message starts at len(buf). On error, it returns buf unchanged.
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
	for end := start + size; len(buf) < end; {
		read := len(buf)
		buf = grow(buf, min(end-read, max(minReadSize, read-start)))
		if _, err := io.ReadFull(r, buf[read:]); err != nil {
			return buf[:start], err
		}
	}
	return buf, nil
}

// minReadSize is the size in bytes up to which a message is read at once. The space for
// the rest of a longer one is allocated as it arrives.
const minReadSize = 64 << 10

// grow extends buf by n bytes.
func grow(buf []byte, n int) []byte {
	if cap(buf)-len(buf) >= n {
		return buf[:len(buf)+n]
	}
	return append(buf, make([]byte, n)...)
}

// BeginFrame appends the header of a message of the given type. EndFrame sets
// its length.
func BeginFrame(buf []byte, kind byte) []byte {
	return append(buf, kind, 0, 0, 0, 0)
}

// EndFrame sets the length of the message that starts at buf[start] and ends at
// the end of buf.
func EndFrame(buf []byte, start int) []byte {
	binary.BigEndian.PutUint32(buf[start+1:], uint32(len(buf)-start-1))
	return buf
}
