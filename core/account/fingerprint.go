package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint is the SHA-256 hash of a key.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a key.
func FingerprintOf(key string) Fingerprint { return sha256.Sum256([]byte(key)) }

// Equal reports whether the fingerprints are equal, in constant time.
func (f Fingerprint) Equal(o Fingerprint) bool { return subtle.ConstantTimeCompare(f[:], o[:]) == 1 }

// Hex returns the hexadecimal form, as used in the documents that hosts exchange.
func (f Fingerprint) Hex() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the form that Hex returns. The error does not contain the text, which may be a key.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != len(f) {
		return Fingerprint{}, errors.Errorf("is no fingerprint: it has %d characters, not %d", len(text), hex.EncodedLen(len(f)))
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return Fingerprint{}, errors.New("is no fingerprint: it is not hexadecimal")
	}
	return f, nil
}

// String returns a placeholder, so that fingerprints do not appear in log lines and dumps.
func (Fingerprint) String() string { return "(key)" }
