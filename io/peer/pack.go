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
	// minCompressSize is the size in bytes from which a value is compressed for other hosts. A configuration of 1,400 routes
	// has 300 KB, which takes a network link of 10 Mbit/s a quarter of a second for each host, and the statements behind it wait.
	minCompressSize = 2 << 10
	// maxInflatedSize bounds the decompressed size of a value, in bytes.
	maxInflatedSize = 16 << 20
)

// compressor compresses values and snapshots of the store for other hosts, and caches the results. The zero value is ready
// for use. It is safe for concurrent use.
type compressor struct {
	mu sync.Mutex
	// values holds the latest compressed value of each key.
	values map[string]compressedValue
	// list is the latest compressed snapshot.
	list compressedValue
}

// compressedValue is the compressed form of a value or a snapshot at a revision.
type compressedValue struct {
	revision kv.Revision
	bytes    []byte
}

// compress returns the compressed value of the item, or nil if the value is smaller than minCompressSize.
func (c *compressor) compress(item kv.Item) ([]byte, error) {
	if len(item.Value) < minCompressSize {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.values[item.Key]; ok && cached.revision == item.Revision {
		return cached.bytes, nil
	}
	out, err := deflate(item.Value)
	if err != nil {
		return nil, errors.Wrapf(err, "compress %s", item.Key)
	}
	if c.values == nil {
		c.values = map[string]compressedValue{}
	}
	c.values[item.Key] = compressedValue{item.Revision, out}
	return out, nil
}

// compressSnapshot returns the compressed items of the snapshot. Hosts that ask for the same revision share one result.
func (c *compressor) compressSnapshot(s kv.Snapshot) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list.bytes != nil && c.list.revision == s.Revision {
		return c.list.bytes, nil
	}
	plain, err := encoding{}.Marshal(&listMessage{s.Items})
	if err != nil {
		return nil, err
	}
	if len(plain) > maxInflatedSize {
		return nil, errors.Errorf("the list of revision %v has %d bytes, and hosts read %d at most", s.Revision, len(plain), maxInflatedSize)
	}
	out, err := deflate(plain)
	if err != nil {
		return nil, errors.Wrapf(err, "compress the list of revision %v", s.Revision)
	}
	c.list = compressedValue{s.Revision, out}
	return out, nil
}

// decompressItems returns the items of a list that compressSnapshot compressed.
func decompressItems(compressed []byte) ([]kv.Item, error) {
	plain, err := inflate(compressed)
	if err != nil {
		return nil, err
	}
	var m listMessage
	err = encoding{}.Unmarshal(plain, &m)
	return m.items, err
}

// deflate compresses a value with DEFLATE.
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

// inflate decompresses a value. It fails if the result exceeds maxInflatedSize.
func inflate(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	out, err := io.ReadAll(io.LimitReader(r, maxInflatedSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a value")
	}
	if len(out) > maxInflatedSize {
		return nil, errors.Errorf("a compressed value exceeds %d bytes", maxInflatedSize)
	}
	return out, nil
}
