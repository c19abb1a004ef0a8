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

// MaxValueSize is the most that the platform's service holds in one value, in bytes.
const MaxValueSize = 1 << 20

// maxRevisionSize bounds a decoded revision, in bytes, so that a few hostile bytes
// cannot stand for gigabytes.
const maxRevisionSize = 64 << 20

// maxHistory is how many revisions the store keeps.
const maxHistory = 100

// revisionRecord is a revision in the store, before compression.
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

// EncodeRevision returns the stored form of a revision: a JSON object,
// compressed with zstd.
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

// DecodeRevision reads the stored form of a revision.
func DecodeRevision(b []byte) (config.Revision, error) {
	plain, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return config.Revision{}, errors.Wrap(err, "decode revision")
	}
	return unmarshalRevision(plain)
}

func unmarshalRevision(plain []byte) (config.Revision, error) {
	var r revisionRecord
	if err := json.Unmarshal(plain, &r); err != nil {
		return config.Revision{}, errors.Wrap(err, "decode revision")
	}
	if r.Number == 0 {
		return config.Revision{}, errors.New("decode revision: number is missing")
	}
	return config.Revision{
		Number: r.Number, Author: r.Author, At: r.At, Submission: r.Submission, Text: []byte(r.Document),
	}, nil
}

// deltaRecord is the difference between two revisions: the documents' common
// beginning and end are left out. An operator changes one section at a time.
type deltaRecord struct {
	Number     uint64    `json:"number"`
	Author     string    `json:"author"`
	At         time.Time `json:"at"`
	Submission string    `json:"submission"`
	Prefix     int       `json:"prefix"`
	Suffix     int       `json:"suffix"`
	Middle     []byte    `json:"middle"`
}

// EncodeDelta returns a form of r that can be read by whoever has base.
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

// DecodeDelta reads what EncodeDelta returned for the same base.
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

// historyKey returns the key of an earlier revision.
func historyKey(number uint64) string { return fmt.Sprintf("%s%020d", HistoryPrefix, number) }
