package gateway

import (
	"syscall"

	"github.com/pkg/errors"
)

// Errors that implementations of the ports return.
var (
	ErrConflict         = errors.New("the key has changed meanwhile")
	ErrNoLease          = errors.New("the lease has ended")
	ErrPromotionRefused = errors.New("a higher fencing token was used, or the member is not running")
)

// connRefused reports whether the machine at an address answers but nothing listens there. A reset
// is not enough: members also reset connections beyond their limit.
func connRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// connRefusedOrReset reports whether the machine at an address refused or reset the connection,
// which shows that the process there has ended.
func connRefusedOrReset(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
