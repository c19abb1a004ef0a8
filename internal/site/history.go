package site

import (
	"fmt"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// History collects what callers asked, and which promises were broken.
type History struct {
	mu sync.Mutex
	// asked holds the requests that callers sent, and received those that members received.
	asked    map[string]request
	received map[string]bool
	broken   []string
	// kinds counts the broken promises by the name that they begin with.
	kinds map[string]int
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{asked: map[string]request{}, received: map[string]bool{}, kinds: map[string]int{}}
}

// Statement is a statement as its caller sends it.
type Statement struct {
	// Text is the text. That of a prepared statement begins after its name, which hosts may replace.
	Text     string
	Prepared bool
	// Held is what the caller's session holds, as Row formats it.
	Held string
	// Transaction is the request that began the caller's transaction, or empty. First is true until a statement of the
	// transaction was served.
	Transaction string
	First       bool
}

// request is what members are compared with: a Statement with digests in place of its long fields.
type request struct {
	// known is false if only the identifier was issued.
	known           bool
	text, held      uint64
	prepared, first bool
	transaction     string
}

// Issue notes that a caller is about to send a request. Members accept any text of it.
func (h *History) Issue(id string) { h.ask(id, request{}) }

// Ask notes that a caller is about to send a statement.
func (h *History) Ask(id string, s Statement) {
	h.ask(id, request{
		known: true, text: xxhash.Sum64String(s.Text), held: xxhash.Sum64String(s.Held), prepared: s.Prepared,
		first: s.First, transaction: s.Transaction,
	})
}

func (h *History) ask(id string, r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked[id] = r
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

func (h *History) issued(id string) (r request, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok = h.asked[id]
	return r, ok
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
