package group

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Term numbers the period in which one primary leads. Each promotion takes a
// term higher than every term reported by a majority of the members. A new
// primary first writes a term record, which holds its term. Term zero means
// that pearlatch has not yet promoted a member of the group.
type Term uint64

// LSN is a log sequence number, the byte offset that PostgreSQL uses as a log
// position.
type LSN uint64

// lsnHalf is the width in bits of each half of the text form of an LSN.
const lsnHalf = 32

// ParseLSN parses the text form "X/Y" of a log sequence number, with both
// halves in hexadecimal. The empty string is the zero LSN, since PostgreSQL
// reports NULL for a member that has received nothing yet.
func ParseLSN(s string) (LSN, error) {
	if s == "" {
		return 0, nil
	}
	hi, lo, ok := strings.Cut(s, "/")
	if !ok {
		return 0, errors.Errorf("log sequence number %q: no slash", s)
	}
	h, err := strconv.ParseUint(hi, 16, lsnHalf)
	if err != nil {
		return 0, errors.Wrapf(err, "log sequence number %q", s)
	}
	l, err := strconv.ParseUint(lo, 16, lsnHalf)
	if err != nil {
		return 0, errors.Wrapf(err, "log sequence number %q", s)
	}
	return LSN(h<<lsnHalf | l), nil
}

// String returns the text form "X/Y".
func (l LSN) String() string {
	return fmt.Sprintf("%X/%X", uint64(l)>>lsnHalf, uint64(l)&(1<<lsnHalf-1))
}

// Position is a position in the log of a group.
type Position struct {
	// Term is the term of the primary that wrote the log up to LSN.
	Term Term
	// LSN is the end of the last record included.
	LSN LSN
}

// Compare orders positions by term, then by LSN. It returns a negative number
// if p is before q, zero if they are equal and a positive number otherwise.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.LSN, q.LSN)
}

// String returns "term:lsn".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + ":" + p.LSN.String()
}
