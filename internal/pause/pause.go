// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for the duration d and returns true. If ctx ends first, it returns false at once.
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

// Until returns a context that ends when parent ends or done is closed.
func Until(parent context.Context, done <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
