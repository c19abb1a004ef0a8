package peer

import (
	"bytes"
	"io"
	"math"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
	"storj.io/drpc"
)

// Version is the version of the inner protocol. A host refuses a unit of another version as not run, so that a fleet can be
// upgraded host by host.
const Version = 1

// message is a message of the inner protocol.
type message interface {
	// fields writes the message's fields.
	fields(w *fieldWriter)
	// field reads the value of the field with the given name. It returns false for a field that it does not know, which is
	// then skipped: newer hosts may send more fields.
	field(name string, r *fieldReader) bool
}

// encoding implements drpc.Encoding for messages.
type encoding struct{}

var _ drpc.Encoding = encoding{}

// Marshal implements drpc.Encoding.
func (e encoding) Marshal(msg drpc.Message) ([]byte, error) { return e.MarshalAppend(nil, msg) }

// MarshalAppend appends the encoded message to buf. drpc calls it in place of Marshal where it can reuse a buffer.
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
	if n := len(out) - start; n > maxMessageSize {
		w.setErr(errors.Errorf("%d bytes, and hosts read %d at most", n, maxMessageSize))
	}
	if w.err != nil {
		return out, encodeError{errors.Wrapf(w.err, "encode %T", msg)}
	}
	return out, nil
}

// encodeError means that a message can't be encoded, so that nothing of it was sent. The stream can still be used.
type encodeError struct{ error }

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

// mapHeader is the code of MessagePack's map 16. The number of fields follows in two bytes, which are filled in after the
// fields are written.
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

// fieldWriter encodes the fields of a message. It omits fields that have their zero value, except for nested messages.
type fieldWriter struct {
	e   *msgpack.Encoder
	buf []byte
	// count is the number of fields written to the present message.
	count int
	// err is the first error.
	err error
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

// duration writes a duration in microseconds, and a negative one as zero.
func (w *fieldWriter) duration(name string, v time.Duration) {
	w.uint(name, uint64(max(0, v.Microseconds())))
}

// writeList writes a field that is a list of messages. An empty list is omitted.
func writeList[M any, P interface {
	*M
	message
}](w *fieldWriter, name string, list []M) {
	if len(list) == 0 {
		return
	}
	w.setErr(checkListLen[M](len(list)))
	w.writeName(name)
	w.setErr(w.e.EncodeArrayLen(len(list)))
	for i := range list {
		w.nested(P(&list[i]))
	}
}

// nested writes a message as a value, without a field name.
func (w *fieldWriter) nested(m message) {
	start, outer := len(w.buf), w.count
	w.buf = append(w.buf, mapHeader, 0, 0)
	w.count = 0
	m.fields(w)
	w.buf[start+1], w.buf[start+2] = byte(w.count>>8), byte(w.count)
	w.count = outer
}

// message writes a field that is a nested message.
func (w *fieldWriter) message(name string, m message) {
	w.writeName(name)
	w.nested(m)
}

// fieldReader decodes the fields of a message. After an error, the values that it reads are undefined. Its methods for
// single fields return true, so that a message's field method can return their result.
type fieldReader struct {
	in bytes.Reader
	d  *msgpack.Decoder
	// err is the first error.
	err error
}

// message reads a message, including the header of its map.
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

// maxSkipDepth bounds the nesting of a field of a newer version. The fields of this version nest at most four levels deep.
const maxSkipDepth = 32

// skip skips a value that nests at most depth levels deep. The library's Skip is not used for values with a length, since it
// allocates that length before it reads the bytes: a message of five bytes could make it allocate four gigabytes.
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

// skipAll skips n elements of a value that skip was called for with depth.
func (r *fieldReader) skipAll(n, depth int) {
	for i := 0; i < n && r.err == nil; i++ {
		r.skip(depth - 1)
	}
}

// isStringOrBin reports whether the code starts a string or a byte slice.
func isStringOrBin(code byte) bool { return msgpcode.IsString(code) || msgpcode.IsBin(code) }

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// byteLen reads the length of a string or byte slice. A length above the number of bytes that are left is an error.
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

// discard skips n bytes.
func (r *fieldReader) discard(n int) {
	if n > r.in.Len() {
		r.setErr(errors.Errorf("%d bytes are announced, and %d left", n, r.in.Len()))
		return
	}
	_, err := r.in.Seek(int64(n), io.SeekCurrent)
	r.setErr(err)
}

// readBytes reads a string or a byte slice.
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
	if n > uint64(math.MaxInt64/time.Microsecond) {
		r.setErr(errors.Errorf("a duration of %d microseconds is too long", n))
	}
	*v = time.Duration(n) * time.Microsecond
	return true
}

// maxListSize bounds the memory that the elements of a list take when they are decoded, in bytes, without what they refer to.
// An element takes one byte of a message at least.
const maxListSize = 64 << 20

// checkListLen returns an error if a list of n elements exceeds maxListSize. The sender and the reader check it, so that no
// host sends a list that the others refuse.
func checkListLen[M any](n int) error {
	if most := maxListSize / int(reflect.TypeFor[M]().Size()); n > most {
		return errors.Errorf("list of %d elements, and hosts read %d at most", n, most)
	}
	return nil
}

// readList reads a list of messages and appends them to list.
func readList[M any, P interface {
	*M
	message
}](r *fieldReader, list *[]M) bool {
	n, err := r.d.DecodeArrayLen()
	r.setErr(err)
	if n > r.in.Len() {
		r.setErr(errors.Errorf("list of %d elements in %d bytes", n, r.in.Len()))
	}
	r.setErr(checkListLen[M](n))
	for i := 0; i < n && r.err == nil; i++ {
		var m M
		r.message(P(&m))
		*list = append(*list, m)
	}
	return true
}

// readUint reads an unsigned number into a variable of any integer type. A number that the type can't hold is an error.
func readUint[N ~int | ~int64 | ~uint8 | ~uint32 | ~uint64](r *fieldReader, v *N) bool {
	var n uint64
	r.uint(&n)
	*v = N(n)
	if *v < 0 || uint64(*v) != n {
		r.setErr(errors.Errorf("the number %d does not fit %T", n, *v))
	}
	return true
}
