// Package pause lets a goroutine wait for a while or until its context ends.
package pause

import (
	"context"
	"time"
)

// For waits and returns false when ctx ended.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
