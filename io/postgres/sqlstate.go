package postgres

import "github.com/jackc/pgx/v5/pgproto3"

// SQLSTATE codes that pearlatch sends or acts on, from PostgreSQL's
// documentation, appendix "PostgreSQL Error Codes".
const (
	CodeConnectionFailure      = "08006"
	CodeConnectionRejected     = "08004"
	CodeTransactionUnknown     = "08007"
	CodeProtocolViolation      = "08P01"
	CodeReadOnly               = "25006"
	CodeIdleInTransaction      = "25P03"
	CodeInvalidPassword        = "28P01"
	CodeUniqueViolation        = "23505"
	CodeInvalidCatalog         = "3D000"
	CodeTooManyConnections     = "53300"
	CodeConfigurationLimit     = "53400"
	CodeNotInPrerequisiteState = "55000"
	CodeQueryCanceled          = "57014"
	CodeAdminShutdown          = "57P01"
	CodeCannotConnectNow       = "57P03"
	CodeSystemError            = "58000"
	CodeFeatureNotSupported    = "0A000"
	CodeUndefinedObject        = "42704"
	CodeSyntaxError            = "42601"
	CodeInFailedTransaction    = "25P02"
)

// NotRun reports whether a member that refuses a statement with the given code
// has certainly not run it.
func NotRun(code string) bool {
	switch code {
	case CodeReadOnly, CodeTooManyConnections, CodeCannotConnectNow:
		return true
	}
	return false
}

// AppendError appends an ErrorResponse of severity ERROR.
func AppendError(buf []byte, code, message, hint string) []byte {
	return appendError(buf, "ERROR", code, message, hint)
}

// AppendFatal appends an ErrorResponse of severity FATAL, after which the
// sender closes the connection.
func AppendFatal(buf []byte, code, message, hint string) []byte {
	return appendError(buf, "FATAL", code, message, hint)
}

func appendError(buf []byte, severity, code, message, hint string) []byte {
	m := pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                code,
		Message:             message,
		Hint:                hint,
	}
	out, err := m.Encode(buf)
	if err != nil {
		// Only a message over 1 GB fails to encode, and ours are short.
		return buf
	}
	return out
}

// AppendReady appends a ReadyForQuery with the given status.
func AppendReady(buf []byte, status byte) []byte {
	return append(buf, TypeReadyForQuery, 0, 0, 0, HeaderSize, status)
}
