package site

import (
	"fmt"
	"sync"
)

// History collects what callers asked, and which promises were broken.
type History struct {
	mu     sync.Mutex
	asked  map[string]bool
	broken []string
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{asked: map[string]bool{}} }

// Issue notes that a caller is about to send a request.
func (h *History) Issue(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked[id] = true
}

func (h *History) issued(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked[id]
}

// maxBroken bounds the broken promises that are kept: the first ones tell most.
const maxBroken = 100

// Broken notes a broken promise.
func (h *History) Broken(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.broken) < maxBroken {
		h.broken = append(h.broken, fmt.Sprintf(format, args...))
	}
}

// Findings returns the broken promises.
func (h *History) Findings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.broken...)
}
