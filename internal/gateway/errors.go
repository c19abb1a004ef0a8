package gateway

import (
	"syscall"

	"github.com/pkg/errors"
)

// Errors of the ports.
var (
	ErrConflict = errors.New("the key has changed meanwhile")
	ErrNoLease  = errors.New("the lease has ended")
	ErrFenced   = errors.New("a higher fencing token was used, or the member does not run")
)

// connRefused reports whether nothing listens at an address whose machine answers. A reset
// alone does not show it: a member resets connections beyond its limit.
func connRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// connRefusedOrReset reports whether nothing listens at an address whose machine
// answers: the process there has ended.
func connRefusedOrReset(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
