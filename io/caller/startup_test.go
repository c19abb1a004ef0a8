package caller

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
)

// packet returns a startup packet of the protocol version or request code, with a length that is off by the given bytes.
func packet(code uint32, body string, off int) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)+off))
	return string(binary.BigEndian.AppendUint32(b, code)) + body
}

// Guards against startup packets whose lengths or terminators are wrong.
func TestStartupPackets(t *testing.T) {
	const version, ssl, gss = 196608, 80877103, 80877104
	good := packet(version, "user\x00u\x00database\x00d\r\n\x00\x00", 0)
	for name, c := range map[string]struct {
		database string
		in       []string
	}{
		"startup":              {"d\r\n", []string{good}},
		"encryption twice":     {"d\r\n", []string{packet(ssl, "", 0), packet(ssl, "", 0), packet(gss, "", 0), good}},
		"too long":             {"", []string{packet(version, "user\x00u\x00\x00", 1)}},
		"too short":            {"", []string{packet(version, "user\x00u\x00\x00", -2)}},
		"negative":             {"", []string{"\xff\xff\xff\xff\x00\x03\x00\x00"}},
		"huge":                 {"", []string{"\x7f\xff\xff\xff\x00\x03\x00\x00"}},
		"no terminator":        {"", []string{packet(version, "user\x00u", 0)}},
		"name without a value": {"", []string{packet(version, "user\x00", 0)}},
		"bytes after the end":  {"", []string{packet(version, "user\x00u\x00\x00database\x00d\x00", 0)}},
		"another version":      {"", []string{packet(131072, "user\x00u\x00\x00", 0)}},
		"cut off":              {"", []string{good[:20]}},
		"nothing":              {"", []string{""}},
	} {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			for i, in := range c.in {
				if _, err := io.WriteString(far, in); err != nil || i == len(c.in)-1 {
					return
				}
				if _, err := io.ReadFull(far, make([]byte, 1)); err != nil { // encryption is refused
					return
				}
			}
		}()
		_, msg, err := (&Listener{}).receiveStartup(near)
		_ = near.Close()
		if (err == nil) != (c.database != "") || err == nil && msg.Parameters["database"] != c.database {
			t.Errorf("%s: %+v, %v", name, msg, err)
		}
	}
}
