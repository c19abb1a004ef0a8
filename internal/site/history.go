package site

import (
	"fmt"
	"strings"
	"sync"
)

// History collects what callers asked, and which promises were broken.
type History struct {
	mu sync.Mutex
	// asked and received hold the requests that callers sent, and those that members received.
	asked, received map[string]bool
	broken          []string
	// kinds counts the broken promises by the name that they begin with.
	kinds map[string]int
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{asked: map[string]bool{}, received: map[string]bool{}, kinds: map[string]int{}}
}

// Issue notes that a caller is about to send a request.
func (h *History) Issue(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked[id] = true
}

// receive notes that a member has received a request.
func (h *History) receive(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received[id] = true
}

// Received reports whether a member has received the request.
func (h *History) Received(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[id]
}

func (h *History) issued(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked[id]
}

// maxBroken bounds the broken promises of a kind that are kept: the first ones tell most.
const maxBroken = 10

// Broken notes a broken promise. The text begins with its kind and a colon.
func (h *History) Broken(format string, args ...any) {
	kind, _, _ := strings.Cut(format, ":")
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kinds[kind]++; h.kinds[kind] <= maxBroken {
		h.broken = append(h.broken, fmt.Sprintf(format, args...))
	}
}

// Findings returns the broken promises.
func (h *History) Findings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.broken...)
}
