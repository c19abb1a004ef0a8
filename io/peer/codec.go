package peer

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
	"storj.io/drpc"
)

// Version is the version of the inner protocol. A host refuses a unit of
// another major version politely, so that a fleet can be upgraded host by host.
const Version = 1

// message is a wire message.
type message interface {
	// fields writes the message's fields.
	fields(w *fieldWriter)
	// field reads the field of the given name, or returns false to skip it:
	// newer hosts may send fields that this one does not know.
	field(name string, r *fieldReader) bool
}

// encoding is the drpc encoding of messages.
type encoding struct{}

var _ drpc.Encoding = encoding{}

// Marshal implements drpc.Encoding.
func (e encoding) Marshal(msg drpc.Message) ([]byte, error) { return e.MarshalAppend(nil, msg) }

// MarshalAppend appends the encoded message to buf. drpc uses it where it can,
// to encode into a buffer that it keeps.
func (encoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	m, ok := msg.(message)
	if !ok {
		return nil, errors.Errorf("encode %T: not a message of the inner protocol", msg)
	}
	w := writers.Get().(*fieldWriter)
	defer writers.Put(w)
	w.buf, w.count, w.err = buf, 0, nil
	start := len(buf)
	w.buf = append(w.buf, mapHeader, 0, 0)
	m.fields(w)
	out := w.buf
	out[start+1], out[start+2] = byte(w.count>>8), byte(w.count)
	w.buf = nil
	return out, errors.Wrapf(w.err, "encode %T", msg)
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	m, ok := msg.(message)
	if !ok {
		return errors.Errorf("decode %T: not a message of the inner protocol", msg)
	}
	r := readers.Get().(*fieldReader)
	defer readers.Put(r)
	r.in.Reset(buf)
	r.d.Reset(&r.in)
	r.err = nil
	r.message(m)
	return errors.Wrapf(r.err, "decode %T", msg)
}

// mapHeader is MessagePack's map 16: the count of fields follows in two bytes,
// so that it can be filled in at the end.
const mapHeader = 0xde

var writers = sync.Pool{New: func() any {
	w := &fieldWriter{}
	w.e = msgpack.NewEncoder(w)
	return w
}}

var readers = sync.Pool{New: func() any {
	r := &fieldReader{}
	r.d = msgpack.NewDecoder(&r.in)
	return r
}}

// fieldWriter writes the fields of a message. Fields that have their zero value
// are left out.
type fieldWriter struct {
	e     *msgpack.Encoder
	buf   []byte
	count int
	err   error
}

// Write implements io.Writer for the encoder.
func (w *fieldWriter) Write(p []byte) (int, error) {
	w.buf = append(w.buf, p...)
	return len(p), nil
}

func (w *fieldWriter) writeName(name string) {
	w.count++
	w.setErr(w.e.EncodeString(name))
}

func (w *fieldWriter) setErr(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *fieldWriter) str(name, v string) {
	if v != "" {
		w.writeName(name)
		w.setErr(w.e.EncodeString(v))
	}
}

func (w *fieldWriter) bytes(name string, v []byte) {
	if len(v) > 0 {
		w.writeName(name)
		w.setErr(w.e.EncodeBytes(v))
	}
}

func (w *fieldWriter) uint(name string, v uint64) {
	if v != 0 {
		w.writeName(name)
		w.setErr(w.e.EncodeUint(v))
	}
}

func (w *fieldWriter) bool(name string, v bool) {
	if v {
		w.writeName(name)
		w.setErr(w.e.EncodeBool(v))
	}
}

// duration writes a duration in microseconds. A negative one counts as zero.
func (w *fieldWriter) duration(name string, v time.Duration) {
	w.uint(name, uint64(max(0, v.Microseconds())))
}

// writeList writes a list of messages.
func writeList[M any, P interface {
	*M
	message
}](w *fieldWriter, name string, list []M) {
	if len(list) == 0 {
		return
	}
	w.writeName(name)
	w.setErr(w.e.EncodeArrayLen(len(list)))
	for i := range list {
		w.nested(P(&list[i]))
	}
}

// nested writes a message as a value.
func (w *fieldWriter) nested(m message) {
	start, outer := len(w.buf), w.count
	w.buf = append(w.buf, mapHeader, 0, 0)
	w.count = 0
	m.fields(w)
	w.buf[start+1], w.buf[start+2] = byte(w.count>>8), byte(w.count)
	w.count = outer
}

// message writes a field that is a message itself.
func (w *fieldWriter) message(name string, m message) {
	w.writeName(name)
	w.nested(m)
}

// fieldReader reads the fields of a message.
type fieldReader struct {
	in  bytes.Reader
	d   *msgpack.Decoder
	err error
}

func (r *fieldReader) message(m message) {
	n, err := r.d.DecodeMapLen()
	r.setErr(err)
	for range n {
		if r.err != nil {
			return
		}
		var name string
		r.str(&name)
		if r.err == nil && !m.field(name, r) {
			r.skip(maxSkipDepth)
		}
	}
}

// maxSkipDepth bounds the nesting of a field of a newer version. Ours nest four deep.
const maxSkipDepth = 32

// skip passes over a value. The library's own Skip believes a length before it has read
// so many bytes: five bytes would make it allocate four gigabytes.
func (r *fieldReader) skip(depth int) {
	code, err := r.d.PeekCode()
	r.setErr(err)
	switch {
	case r.err != nil:
	case depth == 0:
		r.setErr(errors.New("nested too deep"))
	case isStringOrBin(code):
		r.discard(r.byteLen())
	case msgpcode.IsExt(code):
		_, n, err := r.d.DecodeExtHeader()
		r.setErr(err)
		r.discard(n)
	case isArray(code):
		n, err := r.d.DecodeArrayLen()
		r.setErr(err)
		r.skipAll(n, depth)
	case isMap(code):
		n, err := r.d.DecodeMapLen()
		r.setErr(err)
		r.skipAll(2*n, depth)
	default:
		r.setErr(r.d.Skip())
	}
}

func (r *fieldReader) skipAll(n, depth int) {
	for i := 0; i < n && r.err == nil; i++ {
		r.skip(depth - 1)
	}
}

func isStringOrBin(code byte) bool { return msgpcode.IsString(code) || msgpcode.IsBin(code) }

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// byteLen reads the length of a string or of bytes, which is bounded by what the message
// still holds.
func (r *fieldReader) byteLen() int {
	n, err := r.d.DecodeBytesLen()
	r.setErr(err)
	if n > r.in.Len() {
		r.setErr(errors.Errorf("%d bytes are announced, and %d left", n, r.in.Len()))
	}
	if r.err != nil {
		return 0
	}
	return max(n, 0)
}

// discard passes over bytes.
func (r *fieldReader) discard(n int) {
	if n > r.in.Len() {
		r.setErr(errors.Errorf("%d bytes are announced, and %d left", n, r.in.Len()))
		return
	}
	_, err := r.in.Seek(int64(n), io.SeekCurrent)
	r.setErr(err)
}

// readBytes reads a string or bytes.
func (r *fieldReader) readBytes() []byte {
	out := make([]byte, r.byteLen())
	_, err := io.ReadFull(&r.in, out)
	r.setErr(err)
	return out
}

func (r *fieldReader) setErr(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *fieldReader) str(v *string) bool {
	*v = string(r.readBytes())
	return true
}

func (r *fieldReader) bytes(v *[]byte) bool {
	*v = r.readBytes()
	return true
}

func (r *fieldReader) uint(v *uint64) bool {
	n, err := r.d.DecodeUint64()
	r.setErr(err)
	*v = n
	return true
}

func (r *fieldReader) bool(v *bool) bool {
	b, err := r.d.DecodeBool()
	r.setErr(err)
	*v = b
	return true
}

func (r *fieldReader) duration(v *time.Duration) bool {
	var n uint64
	r.uint(&n)
	*v = time.Duration(n) * time.Microsecond
	return true
}

// maxListLen bounds the length of a list in a message: a length field must not
// make the process allocate more than the message itself can hold.
const maxListLen = 1 << 16

// readList reads a list of messages.
func readList[M any, P interface {
	*M
	message
}](r *fieldReader, list *[]M) bool {
	n, err := r.d.DecodeArrayLen()
	r.setErr(err)
	if n > maxListLen {
		r.setErr(errors.Errorf("list of %d elements", n))
		return true
	}
	for i := 0; i < n && r.err == nil; i++ {
		var m M
		r.message(P(&m))
		*list = append(*list, m)
	}
	return true
}

// readUint reads a number into a type of its own.
func readUint[N ~int | ~int64 | ~uint8 | ~uint32 | ~uint64](r *fieldReader, v *N) bool {
	var n uint64
	r.uint(&n)
	*v = N(n)
	return true
}
