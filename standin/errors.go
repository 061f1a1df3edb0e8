package standin

import "fmt"

// SQLSTATEs of the stand-in.
const (
	codeUndefinedSetting  = "42704"
	codeStaleTerm         = "PD002" // an order of an older term
	codeNotSupported      = "0A000"
	codeProtocol          = "08P01"
	codeInvalidBinary     = "22P03"
	codeInvalidText       = "22P02"
	codeNotNull           = "23502"
	codeUnique            = "23505"
	codeReadOnly          = "25006"
	codeFailedTransaction = "25P02"
	codeUnknownStatement  = "26000"
	codeUnknownPortal     = "34000"
	codeSyntax            = "42601"
	codeUndefinedColumn   = "42703"
	codeUndefinedTable    = "42P01"
	codeDuplicateTable    = "42P07"
	codeTooMany           = "53300"
	codeShutdown          = "57P01"
)

// sqlError is an error that a caller of the stand-in sees.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.code + ": " + e.message }

func errorf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// errReplaced is the error of a transaction whose member was replaced.
var errReplaced = errorf(codeReadOnly, "the member is no longer the primary")

// errFailed is the error of a statement in a failed transaction.
var errFailed = errorf(codeFailedTransaction,
	"current transaction is aborted, commands ignored until end of transaction block")
