package account

import (
	"fmt"
	"math"
	"strings"
)

const (
	// maxName is the longest name of an account, in bytes: it goes into lines, metrics and the first
	// message of every connection to a member.
	maxName = 128
	// maxRate is the highest rate, in operations per second: a hundred times what the whole planned fleet
	// serves. A higher one is a slip of the pen, which would set no bound.
	maxRate = 1e8
	// maxPriority is the lowest importance that can be told apart.
	maxPriority = 100
)

// Mistake is one thing wrong with the accounts of a configuration.
type Mistake struct {
	// Field is its path, such as "accounts[2].keys[0]".
	Field string
	// Reason says what is wrong. It never holds a key.
	Reason string
}

// Mistakes is a list of mistakes as an error.
type Mistakes []Mistake

// Error implements error, with a line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, each := range m {
		lines[i] = each.Field + ": " + each.Reason
	}
	return strings.Join(lines, "\n")
}

// Add adds a mistake.
func (m *Mistakes) Add(field, reason string, args ...any) {
	*m = append(*m, Mistake{field, fmt.Sprintf(reason, args...)})
}

// Err returns the mistakes as an error, or nil if there are none.
func (m Mistakes) Err() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

// check returns what is wrong with the accounts, or nil.
func check(accounts []Account) error {
	var wrong Mistakes
	names, keys := map[string]int{}, map[Fingerprint]string{}
	for i, a := range accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		if first, ok := names[a.Name]; ok && a.Name != "" {
			wrong.Add(field+".name", "%q is the name of accounts[%d] already", a.Name, first)
		} else {
			names[a.Name] = i
		}
		checkName(&wrong, field+".name", a.Name)
		checkQuota(&wrong, field+".quota", a.Quota)
		if a.Priority < 0 || a.Priority > maxPriority {
			wrong.Add(field+".priority", "%d, must be between 0 and %d", a.Priority, maxPriority)
		}
		for j, k := range a.Keys {
			at := fmt.Sprintf("%s.keys[%d]", field, j)
			if first, ok := keys[k]; ok {
				wrong.Add(at, "is the same key as %s", first)
				continue
			}
			keys[k] = at
		}
	}
	return wrong.Err()
}

func checkName(wrong *Mistakes, field, name string) {
	switch {
	case name == "":
		wrong.Add(field, "missing")
	case len(name) > maxName:
		wrong.Add(field, "has %d bytes, at most %d are allowed", len(name), maxName)
	case strings.ContainsFunc(name, isBlank):
		wrong.Add(field, "%q holds blanks or control characters", name)
	}
}

// isBlank reports whether a character would end a name in a member's protocol.
func isBlank(r rune) bool { return r <= ' ' || r == 0x7f }

func checkQuota(wrong *Mistakes, field string, q Quota) {
	switch {
	case math.IsNaN(q.Rate) || math.IsInf(q.Rate, 0) || q.Rate < 0 || q.Rate > maxRate:
		wrong.Add(field+".rate", "%v, must be between 0 and %v operations per second", q.Rate, maxRate)
	case math.IsNaN(q.Burst) || math.IsInf(q.Burst, 0) || q.Burst < 0 || q.Burst > maxRate:
		wrong.Add(field+".burst", "%v, must be between 0 and %v operations", q.Burst, maxRate)
	case q.Rate > 0 && q.Burst < 1:
		wrong.Add(field+".burst", "%v, must be at least 1 where there is a rate", q.Burst)
	case q.Rate == 0 && q.Burst > 0:
		wrong.Add(field+".rate", "missing, though there is a burst")
	}
}
