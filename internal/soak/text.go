package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// textSource returns data, values and shapes for the statements of a caller. A share of them is unusual: anything that fits
// into a line of the protocol.
type textSource struct {
	random *rand.Rand
	share  float64
}

// maxTextSize is the length of the longest texts, in bytes. One in longTextInterval texts of random bytes is long.
const maxTextSize, longTextInterval = 100 << 10, 5

// next returns the ordinary text, or an unusual one.
func (t textSource) next(ordinary string) string {
	if t.random.Float64() >= t.share {
		return ordinary
	}
	switch t.random.IntN(10) {
	case 0:
		return ""
	case 1:
		return ordinary + "\n" + ordinary
	case 2:
		return ordinary + "\r" + ordinary + "\r"
	case 3:
		return "\t" + ordinary + "  \v\f" + ordinary + " "
	case 4:
		return "  \u0085\u00a0" + ordinary + "\u2028\u00e9\x00\xff"
	case 5:
		return ordinary + fmt.Sprintf("\nQUERY smuggled-%d WRITE 1a x", t.random.Uint32())
	case 6:
		return "\nROW " + ordinary + "\nDONE a/b/1/1\nREADY I 1.1\n"
	case 7:
		return ordinary + "\rQUERY - RESET\r"
	case 8:
		return "\nBYE\n"
	}
	return t.randomBytes()
}

// randomBytes returns random bytes without a line end of the protocol.
func (t textSource) randomBytes() string {
	size := 1 + t.random.IntN(64)
	if t.random.IntN(longTextInterval) == 0 {
		size = t.random.IntN(maxTextSize)
	}
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(t.random.Uint32())
	}
	return strings.ReplaceAll(string(b), "\r\n", "\n\n")
}
