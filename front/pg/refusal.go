package pg

import (
	"fmt"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// SQLSTATEs that the front end sends. docs/PROTOCOL.md explains them to callers.
const (
	codeProtocolViolation    = "08P01"
	codeOutcomeUnknown       = "08007" // transaction_resolution_unknown
	codeConnectionFailure    = "08006"
	codeNotSupported         = "0A000"
	codeInvalidValue         = "22023"
	codeUnknownService       = "3D000" // invalid_catalog_name
	codeInvalidPassword      = "28P01"
	codeInvalidAuthorization = "28000"
	codeInvalidCursor        = "34000"
	codeSerialization        = "40001"
	codeUndefinedParameter   = "42704"
	codeTooManyConnections   = "53300"
	codeOverloaded           = "53400"
	codeLimitExceeded        = "54000"
	codeQueryCanceled        = "57014"
	codeAdminShutdown        = "57P01"
	codeCannotConnectNow     = "57P03"
	codeLostWrite            = "PD001"
	codeInternal             = "XX000"
)

// notRunCodes maps the refusals of requests that did not run to their
// SQLSTATEs.
var notRunCodes = map[types.RefusalCode]string{
	types.RefuseNoLease:         codeCannotConnectNow,
	types.RefuseNoPrimary:       codeCannotConnectNow,
	types.RefuseUnknownService:  codeUnknownService,
	types.RefuseUnknownProfile:  codeInvalidValue,
	types.RefuseOverloaded:      codeOverloaded,
	types.RefuseTimeout:         codeQueryCanceled,
	types.RefuseConnLost:        codeConnectionFailure,
	types.RefuseReplaced:        codeSerialization,
	types.RefuseNotDurable:      codeSerialization,
	types.RefuseLostWrite:       codeLostWrite,
	types.RefuseDraining:        codeAdminShutdown,
	types.RefuseTooLarge:        codeLimitExceeded,
	types.RefuseTransactionLost: codeConnectionFailure,

	types.RefuseUnknownDatabase: codeUnknownService,
	types.RefuseUnknownKey:      codeInvalidPassword,
	types.RefuseOverQuota:       codeOverloaded,
}

// refusalCode returns the SQLSTATE of a refusal.
func refusalCode(r *types.Refusal) string {
	if r.Code == types.RefuseLostWrite {
		return codeLostWrite
	}
	if r.Outcome == types.Unknown {
		return codeOutcomeUnknown
	}
	if code, ok := notRunCodes[r.Code]; ok {
		return code
	}
	return codeInternal
}

// refusalError returns a refusal as an error message, whose text begins with
// the outcome.
func refusalError(r *types.Refusal) *pgproto3.ErrorResponse {
	return newError(refusalCode(r), "%s", r.Error())
}

// batchError returns the error message for a batch that the front end rejects.
func batchError(err error) *pgproto3.ErrorResponse {
	code := codeNotSupported
	if trace.IsLimitExceeded(err) {
		code = codeLimitExceeded
	}
	return newError(code, "not run: %v", err)
}

func newError(code, format string, args ...any) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                code,
		Message:             fmt.Sprintf(format, args...),
	}
}
