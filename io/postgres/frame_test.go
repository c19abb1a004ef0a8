package postgres

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against memory taken for bytes that have not arrived, and against a length that is taken for another one.
func TestFramesWithWrongLengths(t *testing.T) {
	for name, in := range map[string]string{
		"negative":           "Q\xff\xff\xff\xff",
		"zero":               "Q\x00\x00\x00\x00",
		"below its own size": "Q\x00\x00\x00\x03",
		"above the limit":    "Q\x04\x00\x00\x00",
		"at the limit":       "Q\x03\xff\xff\xff",
		"cut off":            "Q\x00\x00\x00\x08abc",
		"header cut off":     "Q\x00\x00",
		"nothing":            "",
	} {
		kept := []byte("before")
		got, err := ReadFrame(bufio.NewReader(strings.NewReader(in)), kept)
		if err == nil || !bytes.Equal(got, kept) || cap(got) > 1<<20 {
			t.Errorf("%s: got %q with a capacity of %d, error %v", name, got, cap(got), err)
		}
	}
}

// Guards against frames that change when they arrive in parts.
func TestFramesInParts(t *testing.T) {
	first, second := strings.Repeat("a\x00\r\n", 60000), "b"
	var in []byte
	for _, body := range []string{first, second} {
		start := len(in)
		in = EndFrame(append(BeginFrame(in, TypeQuery), body...), start)
	}
	for name, r := range map[string]io.Reader{"whole": bytes.NewReader(in), "bytes": iotest.OneByteReader(bytes.NewReader(in))} {
		br := bufio.NewReader(r)
		for _, want := range []string{first, second} {
			got, err := ReadFrame(br, nil)
			if err != nil || string(Frame(got).Body()) != want || Frame(got).Size() != len(got) {
				t.Errorf("%s: got %d bytes, error %v, want %d", name, len(got), err, len(want)+HeaderSize)
			}
		}
		if _, err := ReadFrame(br, nil); !errors.Is(err, io.EOF) {
			t.Errorf("%s: at the end: %v", name, err)
		}
	}
}
