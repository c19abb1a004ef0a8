package account

import (
	"fmt"
	"math"
	"strings"
)

const (
	// maxNameLen is the length limit of an account's name in bytes. The name appears in log lines, in metrics and in the
	// first message of every connection to a member.
	maxNameLen = 128
	// maxRate is the highest rate, in operations per second: a hundred times what the whole planned fleet serves. A
	// higher rate must be a typing error and would limit nothing.
	maxRate = 1e8
	// maxPriority is the number of the least important priority.
	maxPriority = 100
)

// FieldError is an error in one field of the accounts of a configuration.
type FieldError struct {
	// Field is the path of the field, such as "accounts[2].keys[0]".
	Field string
	// Reason describes the error. It never contains a key.
	Reason string
}

// FieldErrors is a list of field errors that is itself an error.
type FieldErrors []FieldError

// Error returns one line for each field error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Field + ": " + f.Reason
	}
	return strings.Join(lines, "\n")
}

// Add adds an error for a field, with a reason formatted as by fmt.Sprintf.
func (e *FieldErrors) Add(field, reason string, args ...any) {
	*e = append(*e, FieldError{field, fmt.Sprintf(reason, args...)})
}

// Err returns the list as an error, or nil if it is empty.
func (e FieldErrors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// validate returns all errors in the accounts as FieldErrors, or nil.
func validate(accounts []Account) error {
	var errs FieldErrors
	names, keys := map[string]int{}, map[Fingerprint]string{}
	for i, a := range accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		if first, ok := names[a.Name]; ok && a.Name != "" {
			errs.Add(field+".name", "%q is the name of accounts[%d] already", a.Name, first)
		} else {
			names[a.Name] = i
		}
		validateName(&errs, field+".name", a.Name)
		validateQuota(&errs, field+".quota", a.Quota)
		if a.Priority < 0 || a.Priority > maxPriority {
			errs.Add(field+".priority", "%d, must be between 0 and %d", a.Priority, maxPriority)
		}
		for j, k := range a.KeyFingerprints {
			path := fmt.Sprintf("%s.keys[%d]", field, j)
			if first, ok := keys[k]; ok {
				errs.Add(path, "is the same key as %s", first)
				continue
			}
			keys[k] = path
		}
	}
	return errs.Err()
}

func validateName(errs *FieldErrors, field, name string) {
	switch {
	case name == "":
		errs.Add(field, "missing")
	case len(name) > maxNameLen:
		errs.Add(field, "has %d bytes, at most %d are allowed", len(name), maxNameLen)
	case strings.ContainsFunc(name, isSpaceOrControl):
		errs.Add(field, "%q holds blanks or control characters", name)
	}
}

// isSpaceOrControl reports whether a character is an ASCII space or control character. Such a character would end a name in
// a member's protocol.
func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

func validateQuota(errs *FieldErrors, field string, q Quota) {
	switch {
	case math.IsNaN(q.Rate) || math.IsInf(q.Rate, 0) || q.Rate < 0 || q.Rate > maxRate:
		errs.Add(field+".rate", "%v, must be between 0 and %v operations per second", q.Rate, maxRate)
	case math.IsNaN(q.Burst) || math.IsInf(q.Burst, 0) || q.Burst < 0 || q.Burst > maxRate:
		errs.Add(field+".burst", "%v, must be between 0 and %v operations", q.Burst, maxRate)
	case q.Rate > 0 && q.Burst < 1:
		errs.Add(field+".burst", "%v, must be at least 1 where there is a rate", q.Burst)
	case q.Rate == 0 && q.Burst > 0:
		errs.Add(field+".rate", "missing, though there is a burst")
	}
}
