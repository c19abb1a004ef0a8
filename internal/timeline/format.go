package timeline

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// columns are the columns of Format before that of the failed statements.
var columns = []struct {
	title string
	value func(Row) int
}{
	{"running", func(r Row) int { return r.Running }},
	{"joined", func(r Row) int { return r.Joined }},
	{"roles", func(r Row) int { return r.Roles }},
	{"leases", func(r Row) int { return r.Leases }},
	{"starts", func(r Row) int { return r.Starts }},
	{"stops", func(r Row) int { return r.Stops }},
	{"sources lost", func(r Row) int { return r.SourcesLost }},
	{"store failures", func(r Row) int { return r.StoreFailures }},
	{"tokens refused", func(r Row) int { return r.TokensRefused }},
	{"primaries lost", func(r Row) int { return r.PrimariesLost }},
	{"requests", func(r Row) int { return r.Requests }},
	{"promoted", func(r Row) int { return r.Promoted }},
}

// Format returns the rows as a table for a terminal. Zeros are left out.
func Format(rows []Row) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "second\t")
	for _, c := range columns {
		fmt.Fprint(w, c.title, "\t")
	}
	fmt.Fprintln(w, "  failed statements")
	for _, r := range rows {
		fmt.Fprint(w, strconv.FormatFloat(r.Start.Seconds(), 'f', -1, 64), "\t")
		for _, c := range columns {
			fmt.Fprint(w, nonZero(c.value(r)), "\t")
		}
		fmt.Fprintln(w, "  "+formatCounts(r.Failed))
	}
	_ = w.Flush() // a strings.Builder does not fail
	lines := strings.Split(b.String(), "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, " ")
	}
	return strings.Join(lines, "\n")
}

func nonZero(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

// formatCounts returns the counts in the order of their names.
func formatCounts(counts map[string]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(out, ", ")
}
