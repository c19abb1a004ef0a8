package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint is the cryptographic hash of a key.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a key.
func FingerprintOf(key string) Fingerprint { return sha256.Sum256([]byte(key)) }

// Equal compares in a time that does not depend on the values.
func (f Fingerprint) Equal(o Fingerprint) bool { return subtle.ConstantTimeCompare(f[:], o[:]) == 1 }

// Hex returns the form that documents between hosts hold.
func (f Fingerprint) Hex() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint is the inverse of Text. The error does not repeat the text, which may be a key.
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

// String hides the fingerprint from lines and dumps.
func (Fingerprint) String() string { return "(key)" }
