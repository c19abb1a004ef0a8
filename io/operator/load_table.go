package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"

	"pearlatch/internal/usage"
)

// FormatLoad formats the load in the state of a gateway host, as Client.Dump returns it, as a table of at most 80
// columns: what waits and what the host has refused since its start, for each group and for the largest accounts.
func FormatLoad(state []byte) (string, error) {
	var s struct {
		gatewayDump
		// StoreRevision is nil in the state of other hosts.
		StoreRevision *int64 `json:"store_revision"`
	}
	if err := json.Unmarshal(state, &s); err != nil {
		return "", errors.Wrap(err, "decode the host's state")
	}
	if s.StoreRevision == nil {
		return "", errors.New("the state holds no load: the host does not run pearlatch gateway")
	}
	b := &strings.Builder{}
	writeLoadRow(b, "group", "waiting", "wait ms", "drain/s", causeTitles())
	for _, g := range s.Groups {
		writeLoadRow(b, g.Name, fmt.Sprint(g.Waiting), fmt.Sprint(g.ExpectedWaitMS), fmt.Sprintf("%.1f", g.DrainPerSecond), causeCounts(g.Refused))
	}
	writeLoadRow(b, "account", "waiting", "", "", causeTitles())
	s.Others.Name = otherAccounts
	for _, a := range append(s.Accounts, s.Others) {
		writeLoadRow(b, a.Name, fmt.Sprint(a.Waiting), "", "", causeCounts(a.Refused))
	}
	return b.String(), nil
}

// nameColumn is the width of the names. Longer ones are cut; the state has them in full.
const nameColumn = 22

func writeLoadRow(b *strings.Builder, name, waiting, wait, drain string, refused []string) {
	if utf8.RuneCountInString(name) > nameColumn {
		name = string([]rune(name)[:nameColumn-1]) + "…"
	}
	fmt.Fprintf(b, "%-*s %7s %7s %8s", nameColumn, name, waiting, wait, drain)
	for _, r := range refused {
		fmt.Fprintf(b, " %10s", r)
	}
	b.WriteByte('\n')
}

// causeTitles returns the titles of the columns for refusals.
func causeTitles() []string {
	var out []string
	for c := range len(usage.Refusals{}) {
		out = append(out, usage.Cause(c).String())
	}
	return out
}

// causeCounts returns the refusals in the order of causeTitles.
func causeCounts(refused map[string]int64) []string {
	var out []string
	for _, cause := range causeTitles() {
		out = append(out, fmt.Sprint(refused[cause]))
	}
	return out
}
