package types

import (
	"fmt"
	"time"
)

// Class says on which targets a request may run.
type Class uint8

// The request classes.
const (
	// ClassWrite runs on the primary. It is the class of every request that was
	// not declared a read.
	ClassWrite Class = iota
	// ClassRead may run on a replica: the caller declared the request a read.
	ClassRead
)

// Payload is a statement or an answer in the encoding of one front end. The
// reducer forwards it without inspecting it.
type Payload any

// SessionParams are the parameters that a caller gives when it opens a session.
type SessionParams struct {
	Service ServiceName
	// Database is the database name of a route. If set, the route determines the
	// service, which may change between transactions.
	Database DatabaseName
	Caller   string    // name that the caller gave for itself, for logs
	Key      KeyDigest // of the key that the caller presented; zero without one
	Token    *LogPos   // floor that the caller brings from another session
	// Floors are the floors that a session of a routed database name brings from an
	// earlier one, by service: the route may lead to any of them.
	Floors map[ServiceName]LogPos
	Trace  TraceContext
}

// Request is one statement of a caller with its attributes.
type Request struct {
	Seq        RequestSeq
	Profile    ProfileName // empty selects the service's default
	Class      Class
	ID         RequestID // set if the request must run at most once
	Idempotent bool      // the caller allows it to run more than once
	Payload    Payload
	Bytes      int    // size of the payload
	Label      string // id that the caller gave the request, for logs
	Trace      TraceContext
	Setup      *Setup // state that the connection must have; nil requires none

	// DiscardedOnClose says that the request has no lasting effect if its
	// connection ends right after it: it only reads, or it belongs to a
	// transaction that it does not commit.
	DiscardedOnClose bool
	// Fenced says that a primary refuses the request once it has been replaced.
	// Requests on the primary that are not fenced need a lease.
	Fenced bool
	// BeginsTx says that the request only begins a transaction. The proxy may
	// send OpBegin instead of it.
	BeginsTx bool
	// MayCommit says that the request may append an entry to the target's log.
	MayCommit bool
}

// Setup is the state of a session that a connection needs: its settings and the
// prepared statement. It is immutable.
type Setup struct {
	Settings []Setting // sorted by name
	Prepared *Prepared // the statement that the request executes, or nil
}

// Setting is a setting of a session with its value.
type Setting struct{ Name, Value string }

// Prepared is a prepared statement. Equal names mean equal definitions, so that
// sessions can share the statement on a connection.
type Prepared struct {
	Name       string
	Definition Payload
}

// TraceContext identifies the trace and the parent span that a caller gave for a
// request.
type TraceContext struct {
	TraceID [16]byte
	SpanID  [8]byte
	Sampled bool
}

// TxStatus is the transaction state of a session after an answer.
type TxStatus uint8

// The transaction states.
const (
	TxIdle TxStatus = iota // no transaction is open
	TxOpen
	TxFailed // a statement of the transaction failed; it can only be rolled back
)

// Answer is the complete answer to one request.
type Answer struct {
	Payload Payload
	Tx      TxStatus
	Service ServiceName // that served the request
	Floor   LogPos      // the session's floor in that service after the request
}

// Outcome says whether a refused request may have been applied.
type Outcome uint8

// The outcomes.
const (
	// NotRun means that the request was not applied and never will be.
	NotRun Outcome = iota
	// Unknown means that the request may have been applied.
	Unknown
)

// String returns the text that callers see.
func (o Outcome) String() string {
	if o == NotRun {
		return "not run"
	}
	return "outcome unknown"
}

// RefusalCode is the reason code of a refusal.
type RefusalCode uint8

// The refusal codes.
const (
	RefuseNoLease         RefusalCode = iota + 1 // the proxy's lease expired
	RefuseNoPrimary                              // the group has no primary
	RefuseUnknownService                         // no such service
	RefuseUnknownProfile                         // no such profile for the service
	RefuseOverloaded                             // the queue is full, or the wait in it would be too long
	RefuseTimeout                                // the request timed out
	RefuseConnLost                               // the connection to the target broke
	RefuseReplaced                               // the primary was replaced while the request was in flight
	RefuseNotDurable                             // no majority confirmed in time
	RefuseLostWrite                              // an earlier write of the session was lost
	RefuseDraining                               // the proxy is stopping
	RefuseTooLarge                               // the request or answer is too large
	RefuseTransactionLost                        // the transaction was lost with its target
	RefuseUnknownDatabase                        // no route for the database name
	RefuseUnknownKey                             // the caller's key belongs to no organisation, or it has none
	RefuseOverQuota                              // the organisation is at its limit

	refusalCodesEnd
)

// RefusalCodes returns all refusal codes.
func RefusalCodes() []RefusalCode {
	var out []RefusalCode
	for c := RefuseNoLease; c < refusalCodesEnd; c++ {
		out = append(out, c)
	}
	return out
}

// Refusal tells a caller why its request was not answered, and whether the
// request may have been applied.
type Refusal struct {
	Code    RefusalCode
	Outcome Outcome
	Reason  string

	// RetryAfter is when the caller may come back; zero if it is not known.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Outcome, r.Reason) }
