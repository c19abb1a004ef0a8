package etcd

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"pearlatch/core/config"
)

// MaxValueSize is the size limit of a value in the platform's service, in bytes.
const MaxValueSize = 1 << 20

// maxRevisionSize is the size limit of a decompressed revision, in bytes. It keeps
// a few bytes of malicious input from expanding to gigabytes.
const maxRevisionSize = 64 << 20

// maxHistory is the number of revisions that the store keeps.
const maxHistory = 100

// revisionRecord is the JSON form of a revision in the store, before compression.
type revisionRecord struct {
	Number     uint64    `json:"number"`
	Author     string    `json:"author"`
	At         time.Time `json:"at"`
	Submission string    `json:"submission"`
	Document   string    `json:"document"`
}

var (
	encoder, _ = zstd.NewWriter(nil)
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxRevisionSize))
)

// EncodeRevision returns the stored form of a revision: a JSON object compressed
// with zstd. It returns an error if the result exceeds MaxValueSize.
func EncodeRevision(r config.Revision) ([]byte, error) {
	plain, err := marshalRevision(r)
	if err != nil {
		return nil, err
	}
	out := encoder.EncodeAll(plain, nil)
	if len(out) > MaxValueSize {
		return nil, errors.Errorf("the document takes %d bytes in the platform's store, which holds at most %d", len(out), MaxValueSize)
	}
	return out, nil
}

func marshalRevision(r config.Revision) ([]byte, error) {
	out, err := json.Marshal(revisionRecord{
		Number: r.Number, Author: r.Author, At: r.At, Submission: r.Submission, Document: string(r.Text),
	})
	return out, errors.Wrap(err, "encode revision")
}

// DecodeRevision decodes what EncodeRevision returned.
func DecodeRevision(b []byte) (config.Revision, error) {
	plain, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return config.Revision{}, errors.Wrapf(errUnreadable, "decode revision: %v", err)
	}
	return unmarshalRevision(plain)
}

// errUnreadable means that a stored revision can't be decoded, now or later.
var errUnreadable = errors.New("the stored revision can't be read")

func unmarshalRevision(plain []byte) (config.Revision, error) {
	var r revisionRecord
	if err := json.Unmarshal(plain, &r); err != nil {
		return config.Revision{}, errors.Wrapf(errUnreadable, "decode revision: %v", err)
	}
	if r.Number == 0 {
		return config.Revision{}, errors.Wrap(errUnreadable, "decode revision: number is missing")
	}
	return config.Revision{
		Number: r.Number, Author: r.Author, At: r.At, Submission: r.Submission, Text: []byte(r.Document),
	}, nil
}

// deltaRecord is the difference between two revisions. The common prefix and
// suffix of the documents are left out. That suffices because an operator usually
// changes one section at a time.
type deltaRecord struct {
	Number     uint64    `json:"number"`
	Author     string    `json:"author"`
	At         time.Time `json:"at"`
	Submission string    `json:"submission"`
	Prefix     int       `json:"prefix"` // in bytes
	Suffix     int       `json:"suffix"` // in bytes
	Middle     []byte    `json:"middle"`
}

// EncodeDelta returns the difference of r from base. DecodeDelta restores r from
// it and base.
func EncodeDelta(base, r config.Revision) ([]byte, error) {
	prefix := commonPrefix(base.Text, r.Text)
	suffix := commonSuffix(base.Text[prefix:], r.Text[prefix:])
	plain, err := json.Marshal(deltaRecord{
		Number: r.Number, Author: r.Author, At: r.At, Submission: r.Submission,
		Prefix: prefix, Suffix: suffix, Middle: r.Text[prefix : len(r.Text)-suffix],
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode delta")
	}
	return encoder.EncodeAll(plain, nil), nil
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// DecodeDelta decodes what EncodeDelta returned for the same base.
func DecodeDelta(base config.Revision, delta []byte) (config.Revision, error) {
	plain, err := decoder.DecodeAll(delta, nil)
	if err != nil {
		return config.Revision{}, errors.Wrap(err, "decode delta")
	}
	var d deltaRecord
	if err := json.Unmarshal(plain, &d); err != nil {
		return config.Revision{}, errors.Wrap(err, "decode delta")
	}
	if d.Number == 0 || d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(base.Text) {
		return config.Revision{}, errors.New("decode delta: it does not fit its base")
	}
	text := slices.Concat(base.Text[:d.Prefix], d.Middle, base.Text[len(base.Text)-d.Suffix:])
	return config.Revision{Number: d.Number, Author: d.Author, At: d.At, Submission: d.Submission, Text: text}, nil
}

// historyKey returns the key of a revision in the history. The number is padded
// with zeros, so that keys sort by number.
func historyKey(number uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, number) }
