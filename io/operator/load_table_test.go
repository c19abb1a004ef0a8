package operator

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/sebdah/goldie/v2"

	"pearlatch/internal/gateway"
	"pearlatch/internal/usage"
)

// The table is read in a terminal of 80 columns on call, where longer lines are wrapped and can't be read.
func TestLoadTableFitsTheTerminal(t *testing.T) {
	state, err := json.Marshal(newGatewayDump(gateway.HostState{
		Groups: []gateway.GroupState{
			{Name: "allergen-core", Waiting: 12, DrainRate: 35.25, ExpectedWait: 340 * time.Millisecond, Refused: usage.Refusals{1234567890, 431, 12}},
			{Name: strings.Repeat("long-name", 10)},
		},
		Accounts:      []usage.AccountUsage{{Name: "bakery", Waiting: 7, Refused: usage.Refusals{1234567000, 430}}, {Name: strings.Repeat("ä", 40)}},
		OtherAccounts: usage.AccountUsage{Waiting: 5, Refused: usage.Refusals{890, 1, 12}},
	}))
	if err != nil {
		t.Fatal(err)
	}
	table, err := FormatLoad(state)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(table) {
		if n := utf8.RuneCountInString(strings.TrimSuffix(line, "\n")); n > 80 {
			t.Errorf("%d columns: %s", n, line)
		}
	}
	goldie.New(t).Assert(t, "load_table", []byte(table))
	if _, err := FormatLoad([]byte(`{"host":"host-1","owned_groups":[]}`)); err == nil {
		t.Error("the state of a host that does not run pearlatch gateway gave a table")
	}
}
