package account

import (
	"fmt"
	"math"
	"strings"
)

const (
	// maxNameLen is the longest name of an account, in bytes: it goes into lines, metrics and the first
	// message of every connection to a member.
	maxNameLen = 128
	// maxRate is the highest rate, in operations per second: a hundred times what the whole planned fleet
	// serves. A higher one is a slip of the pen, which would set no bound.
	maxRate = 1e8
	// maxPriority is the lowest importance that can be told apart.
	maxPriority = 100
)

// FieldError is one thing wrong with the accounts of a configuration.
type FieldError struct {
	// Field is its path, such as "accounts[2].keys[0]".
	Field string
	// Reason says what is wrong. It never holds a key.
	Reason string
}

// FieldErrors is a list of mistakes as an error.
type FieldErrors []FieldError

// Error implements error, with a line for each mistake.
func (m FieldErrors) Error() string {
	lines := make([]string, len(m))
	for i, each := range m {
		lines[i] = each.Field + ": " + each.Reason
	}
	return strings.Join(lines, "\n")
}

// Add adds a mistake.
func (m *FieldErrors) Add(field, reason string, args ...any) {
	*m = append(*m, FieldError{field, fmt.Sprintf(reason, args...)})
}

// Err returns the mistakes as an error, or nil if there are none.
func (m FieldErrors) Err() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

// validate returns what is wrong with the accounts, or nil.
func validate(accounts []Account) error {
	var wrong FieldErrors
	names, keys := map[string]int{}, map[Fingerprint]string{}
	for i, a := range accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		if first, ok := names[a.Name]; ok && a.Name != "" {
			wrong.Add(field+".name", "%q is the name of accounts[%d] already", a.Name, first)
		} else {
			names[a.Name] = i
		}
		validateName(&wrong, field+".name", a.Name)
		validateQuota(&wrong, field+".quota", a.Quota)
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

func validateName(wrong *FieldErrors, field, name string) {
	switch {
	case name == "":
		wrong.Add(field, "missing")
	case len(name) > maxNameLen:
		wrong.Add(field, "has %d bytes, at most %d are allowed", len(name), maxNameLen)
	case strings.ContainsFunc(name, isSpaceOrControl):
		wrong.Add(field, "%q holds blanks or control characters", name)
	}
}

// isSpaceOrControl reports whether a character would end a name in a member's protocol.
func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

func validateQuota(wrong *FieldErrors, field string, q Quota) {
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
