package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"pearlatch/core/kv"
)

const (
	// minCompressSize is the size in bytes from which a value is compressed for other hosts. A
	// configuration of 1,400 routes has 300 KB, which a link of 10 Mbit/s carries to
	// one host in a quarter of a second, and the statements behind it wait.
	minCompressSize = 2 << 10
	// maxInflatedSize bounds what a compressed value may expand to.
	maxInflatedSize = 16 << 20
)

// compressor compresses large values of the store, each revision of a key once, and whole lists, the same one once. The zero
// value is ready for use.
type compressor struct {
	mu     sync.Mutex
	values map[string]compressedValue
	// list is the last list that was compressed.
	list compressedValue
}

type compressedValue struct {
	revision kv.Revision
	bytes    []byte
}

// compress returns the item's value compressed, or nil if it is small.
func (p *compressor) compress(i kv.Item) ([]byte, error) {
	if len(i.Value) < minCompressSize {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.values[i.Key]; known.revision == i.Revision {
		return known.bytes, nil
	}
	out, err := deflate(i.Value)
	if err != nil {
		return nil, errors.Wrapf(err, "compress %s", i.Key)
	}
	if p.values == nil {
		p.values = map[string]compressedValue{}
	}
	p.values[i.Key] = compressedValue{i.Revision, out}
	return out, nil
}

// compressSnapshot returns the list compressed. Hosts that need one at the same time are sent the same.
func (p *compressor) compressSnapshot(s kv.Snapshot) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.list.revision == s.Revision {
		return p.list.bytes, nil
	}
	plain, err := encoding{}.Marshal(&listMessage{s.Items})
	if err != nil {
		return nil, err
	}
	out, err := deflate(plain)
	if err != nil {
		return nil, errors.Wrapf(err, "compress the list of revision %v", s.Revision)
	}
	p.list = compressedValue{s.Revision, out}
	return out, nil
}

// decompressItems is the inverse of packList.
func decompressItems(packed []byte) ([]kv.Item, error) {
	plain, err := inflate(packed)
	if err != nil {
		return nil, err
	}
	var m listMessage
	err = encoding{}.Unmarshal(plain, &m)
	return m.items, err
}

func deflate(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func inflate(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	out, err := io.ReadAll(io.LimitReader(r, maxInflatedSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a value")
	}
	if len(out) > maxInflatedSize {
		return nil, errors.Errorf("a compressed value exceeds %d bytes", maxInflatedSize)
	}
	return out, nil
}
