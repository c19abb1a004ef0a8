package statement

import (
	"regexp"
	"strings"
)

// Traits are the properties of a statement that its text shows.
type Traits struct {
	// Kind is Read if the statement is recognized as a read, and else Write.
	Kind Kind
	// ControlsTransaction is true if the statement opens or ends a transaction.
	ControlsTransaction bool
	// Pins is true if the statement changes session state that outlives its
	// transaction.
	Pins bool
	// RequestID is the identifier that the client gave the statement in a
	// comment of the form /* pearlatch.request='ID' */, or empty.
	RequestID string
}

// requestIDComment matches a comment that holds a request identifier.
var requestIDComment = regexp.MustCompile(`/\*\s*pearlatch\.request\s*=\s*'([^']{1,200})'\s*\*/`)

// requestIDKey occurs in every text that requestIDComment matches. Searching
// for it first avoids running the regular expression on most statements.
const requestIDKey = "pearlatch.request"

// Classify derives the traits of an SQL text from its leading keywords. It does
// not parse SQL. A statement that it does not recognize is a write. If a
// statement that it takes for a read writes after all, the replica refuses it
// with SQLSTATE 25006 before it runs.
func Classify(sql string) Traits {
	var t Traits
	if strings.Contains(sql, requestIDKey) {
		if m := requestIDComment.FindStringSubmatch(sql); m != nil {
			t.RequestID = m[1]
		}
	}
	sql = skipComments(sql)
	t.Kind = kindOf(sql)
	t.ControlsTransaction = controlsTransaction(sql)
	if hasMultipleStatements(sql) {
		t.Kind = Write
	}
	t.Pins = pinsSession(sql)
	return t
}

// skipComments removes leading comments, white space, semicolons and opening
// parentheses.
func skipComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;(")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, rest, _ := strings.Cut(sql, "\n")
			sql = rest
		case strings.HasPrefix(sql, "/*"):
			_, rest, _ := strings.Cut(sql, "*/")
			sql = rest
		default:
			return sql
		}
	}
}

// kindOf returns the kind of the statement from its leading keyword.
func kindOf(sql string) Kind {
	switch word, rest := leadingKeyword(sql); word {
	case "SELECT", "VALUES":
		if takesLocks(sql) {
			return Write
		}
		return Read
	case "SHOW", "TABLE":
		return Read
	case "BEGIN", "START":
		if containsFold(rest, "READ ONLY") {
			return Read
		}
	}
	return Write
}

// controlsTransaction reports whether the statement opens or ends a
// transaction.
func controlsTransaction(sql string) bool {
	switch word, _ := leadingKeyword(sql); word {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "PREPARE":
		return true
	}
	return false
}

// hasMultipleStatements reports whether text follows a semicolon. A semicolon
// within a literal counts too: such a statement goes to the primary, which is
// always correct.
func hasMultipleStatements(sql string) bool {
	_, rest, found := strings.Cut(sql, ";")
	return found && strings.Trim(rest, " \t\r\n;") != ""
}

// takesLocks reports whether a query takes row locks, which replicas refuse,
// or advisory locks, which serve no purpose on a replica.
func takesLocks(sql string) bool {
	return containsFold(sql, " FOR UPDATE") || containsFold(sql, " FOR SHARE") ||
		containsFold(sql, " FOR NO KEY") || containsFold(sql, " FOR KEY") || containsFold(sql, "ADVISORY")
}

// pinsSession reports whether the statement changes session state that outlives
// its transaction. Functions that do so may stand in any part of any statement.
func pinsSession(sql string) bool {
	if containsFold(sql, "pg_advisory_lock") || containsFold(sql, "pg_try_advisory_lock") || containsFold(sql, "set_config") {
		return true
	}
	switch word, rest := leadingKeyword(sql); word {
	case "SET":
		next, _ := leadingKeyword(strings.TrimLeft(rest, " \t\r\n"))
		return next != "LOCAL" && next != "TRANSACTION" && next != "CONSTRAINTS"
	case "PREPARE", "LISTEN", "LOAD":
		return true
	case "CREATE":
		next, _ := leadingKeyword(strings.TrimLeft(rest, " \t\r\n"))
		return next == "TEMP" || next == "TEMPORARY" || next == "LOCAL" || next == "GLOBAL"
	case "DECLARE":
		return containsFold(rest, "WITH HOLD")
	}
	return false
}

// leadingKeyword returns the leading word of sql in upper case, and the rest.
func leadingKeyword(sql string) (word, rest string) {
	n := 0
	for n < len(sql) && isLetter(sql[n]) {
		n++
	}
	return strings.ToUpper(sql[:n]), sql[n:]
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' }

// containsFold reports whether s contains the ASCII text sub, ignoring case.
func containsFold(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if strings.EqualFold(s[i:i+len(sub)], sub) {
			return true
		}
	}
	return false
}
