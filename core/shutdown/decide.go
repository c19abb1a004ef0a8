package shutdown

// Activity is what a session does.
type Activity uint8

// The activities of a session.
const (
	// Idle means that there is neither a request nor a transaction.
	Idle Activity = iota // idle
	// InTransaction means that an open transaction waits for the caller's next statement.
	InTransaction // in_transaction
	// InFailedTransaction means that the caller has yet to end a transaction that failed.
	InFailedTransaction // in_failed_transaction
	// Receiving means that a message has arrived in part, or none has since the connection was accepted.
	Receiving // receiving
	// Executing means that a request is in progress.
	Executing // executing
	// Replying means that the reply to a request is being written.
	Replying // replying
	// Leaving means that the caller has been told that its session ends. Requests that crossed the notice are refused.
	Leaving // leaving
)

// Action is what the host does with a session.
type Action uint8

// The actions.
const (
	// Wait lets the session go on.
	Wait Action = iota // wait
	// EndSession tells the caller to connect to another host.
	EndSession // end_session
	// EndTransaction rolls the transaction back, tells the caller so and ends the session.
	EndTransaction // end_transaction
	// AnswerUnknown answers the request with what is certain of its outcome and ends the session.
	AnswerUnknown // answer_unknown
	// LimitWait gives the caller a last moment to send or take what the session waits for.
	LimitWait // limit_wait
)

// Decide returns what the host does with a session.
func Decide(p Phase, a Activity) Action {
	if p < EndingSessions {
		return Wait
	}
	switch a {
	case Idle:
		return EndSession
	case Receiving:
		return LimitWait
	case InTransaction, InFailedTransaction:
		if p >= EndingTransactions {
			return EndTransaction
		}
	case Executing:
		if p >= AnsweringUnknown {
			return AnswerUnknown
		}
	case Replying, Leaving:
		if p >= AnsweringUnknown {
			return LimitWait
		}
	}
	return Wait
}

// Admits reports whether a request that has been read is executed. inTransaction tells whether it belongs to a transaction
// that has begun.
func (p Phase) Admits(inTransaction bool) bool {
	return p < EndingSessions || inTransaction && p.PassesOn()
}

// PassesOn reports whether requests are passed on to members and other hosts.
func (p Phase) PassesOn() bool { return p < EndingTransactions }
