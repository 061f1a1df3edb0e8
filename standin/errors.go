package standin

import "fmt"

// SQLSTATE codes that the stand-in sends.
const (
	codeUndefinedSetting   = "42704"
	codeStaleTerm          = "PD002" // a command for a term that is not later than the member's
	codeNotSupported       = "0A000"
	codeProtocol           = "08P01"
	codeInvalidBinary      = "22P03"
	codeInvalidText        = "22P02"
	codeNotNullViolation   = "23502"
	codeUniqueViolation    = "23505"
	codeReadOnly           = "25006"
	codeFailedTransaction  = "25P02"
	codeUnknownStatement   = "26000"
	codeUnknownPortal      = "34000"
	codeSyntax             = "42601"
	codeUndefinedColumn    = "42703"
	codeUndefinedTable     = "42P01"
	codeDuplicateTable     = "42P07"
	codeTooManyConnections = "53300"
	codeShutdown           = "57P01"
)

// sqlError is an error that is sent to the client.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.code + ": " + e.message }

func errorf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// errPrimaryReplaced is the error of a write transaction, queued write or
// replication stream that was in progress when the member's term as primary
// ended.
var errPrimaryReplaced = errorf(codeReadOnly, "the member is no longer the primary")

// errTransactionFailed is the error of a statement in a failed transaction.
var errTransactionFailed = errorf(codeFailedTransaction,
	"current transaction is aborted, commands ignored until end of transaction block")
