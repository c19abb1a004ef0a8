package gateway

// Statement is what a caller asks for. Its implementations are Begin, Commit,
// Rollback, Read, Write, Set, Prepare, Execute, Deallocate and Unknown.
type Statement interface{ isStatement() }

type (
	// Begin starts a transaction.
	Begin struct {
		// ReadOnly transactions may run on a replica.
		ReadOnly bool
	}
	// Commit ends a transaction and keeps its writes.
	Commit struct{}
	// Rollback ends a transaction and drops its writes.
	Rollback struct{}
	// Read is a statement that changes nothing.
	Read struct{}
	// Write is a statement that changes data.
	Write struct{}
	// Set assigns a session value.
	Set struct{ Name, Value string }
	// Prepare gives a statement a name in the caller's session.
	Prepare struct {
		Name     string
		Prepared PreparedStatement
	}
	// Execute runs a prepared statement.
	Execute struct {
		// Name is the caller's name of the statement.
		Name string
		// Arguments is the text after the name, as the caller wrote it.
		Arguments string
	}
	// Deallocate removes a prepared statement from the caller's session.
	Deallocate struct{ Name string }
	// Unknown is any other statement.
	Unknown struct {
		// Reason says why a statement is refused that is one by its text. It is empty for other texts.
		Reason string
	}
)

func (Begin) isStatement()      {}
func (Commit) isStatement()     {}
func (Rollback) isStatement()   {}
func (Read) isStatement()       {}
func (Write) isStatement()      {}
func (Set) isStatement()        {}
func (Prepare) isStatement()    {}
func (Execute) isStatement()    {}
func (Deallocate) isStatement() {}
func (Unknown) isStatement()    {}

// PreparedStatement is a prepared statement. Callers may use the same name for different
// statements, so connections that callers share identify a statement by this value and not by its
// name.
type PreparedStatement struct {
	Writes bool
	Text   string
}

// Request is a statement that a caller sends.
type Request struct {
	// ID is the identifier that the caller gave the attempt.
	ID string
	// Text is the statement as the caller wrote it.
	Text      string
	Statement Statement
}
