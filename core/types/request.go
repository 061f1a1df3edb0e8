package types

import "fmt"

// Class says where a request may run.
type Class uint8

// The request classes.
const (
	// ClassWrite runs on the primary. It is the class of whatever was not
	// declared a read.
	ClassWrite Class = iota
	// ClassRead was declared a read by the caller.
	ClassRead
)

// Payload is a statement or an answer in the encoding of one front. The
// reducer hands it on and never looks inside.
type Payload any

// SessionParams is what a caller states when its session opens.
type SessionParams struct {
	Service ServiceName
	// Database is a name that the configuration routes. The service is that of
	// the route, which may change between transactions.
	Database DatabaseName
	Caller   string  // name the caller gives itself, for logs
	Token    *LogPos // floor that the caller carried from another session
	Trace    TraceContext
}

// Request is one statement of a caller with its marks.
type Request struct {
	Seq        RequestSeq
	Profile    ProfileName // empty picks the service's default
	Class      Class
	ID         RequestID // set when it must run at most once
	Idempotent bool      // the caller allows a second run
	Payload    Payload
	Bytes      int    // size of the payload
	Label      string // id that the caller gave it, for logs
	Trace      TraceContext
	Setup      *Setup // state that the connection must hold; nil asks for none

	// Discards says that nothing of the request is kept when its connection
	// ends right after it: it reads, or it is part of a transaction that is
	// not committed by it.
	Discards bool
	// Fenced says that a replaced primary refuses the request. Other reads on
	// the primary need a lease.
	Fenced bool
	// Begins says that the request only begins a transaction. A transaction that
	// the target begins for the system does as well.
	Begins bool
	// Commits says that the request may add an entry to the log.
	Commits bool
}

// Setup is what a session has set and prepared. It is never changed once built.
type Setup struct {
	Settings []Setting // in order of name
	Prepared *Prepared // the statement that the request executes, or nil
}

// Setting is a value of a session.
type Setting struct{ Name, Value string }

// Prepared is a prepared statement. Its name stands for its content, so that
// sessions can share it on a connection.
type Prepared struct {
	Name       string
	Definition Payload
}

// TraceContext is the trace that a request belongs to, as its caller gave it.
type TraceContext struct {
	TraceID [16]byte
	SpanID  [8]byte
	Sampled bool
}

// TxStatus is the transaction state of a session after an answer.
type TxStatus uint8

// The transaction states.
const (
	TxIdle TxStatus = iota
	TxOpen
	TxFailed
)

// Answer is the whole answer to one request.
type Answer struct {
	Payload Payload
	Tx      TxStatus
	Floor   LogPos // the session's floor after the request
}

// Outcome says what is known of a refused request.
type Outcome uint8

// The outcomes.
const (
	// NotRun is true only when the request was not and will not be applied.
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

// RefusalCode is the kind of a refusal.
type RefusalCode uint8

// The refusal codes.
const (
	RefuseNoLease         RefusalCode = iota + 1 // the proxy's lease ran out
	RefuseNoPrimary                              // the group has no primary
	RefuseUnknownService                         // no such service
	RefuseUnknownProfile                         // no such profile for the service
	RefuseOverloaded                             // the queue is full or too slow
	RefuseTimeout                                // the request's time ran out
	RefuseConnLost                               // the target connection broke
	RefuseReplaced                               // the primary was replaced meanwhile
	RefuseNotDurable                             // no majority confirmed in time
	RefuseLostWrite                              // an earlier write of the session is gone
	RefuseDraining                               // the proxy is stopping
	RefuseTooLarge                               // the request or answer is too large
	RefuseNotClean                               // the transaction's target is gone
	RefuseUnknownDatabase                        // no route for the database name

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

// Refusal tells a caller that its request got no answer.
type Refusal struct {
	Code    RefusalCode
	Outcome Outcome
	Reason  string
}

// Error makes a Refusal usable as an error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Outcome, r.Reason) }
