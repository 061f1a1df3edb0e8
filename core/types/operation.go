package types

// OperationKind is the kind of an Operation.
type OperationKind uint8

// The kinds of operations. Control requests OpPosition, OpPromote and OpFollow;
// proxies request all but OpPromote and OpFollow.
const (
	OpCaller       OperationKind = iota // the caller's own statement
	OpPosition                          // report term, role and position
	OpBegin                             // open a transaction
	OpCommit                            // commit the transaction
	OpRollback                          // roll the transaction back
	OpClaim                             // record RequestID; fails if it is recorded already
	OpRecordAnswer                      // store the answer with RequestID
	OpLookup                            // return the stored answer of RequestID
	OpPromote                           // become the primary of Term and write its first entry
	OpFollow                            // replicate from Leader in Term
	OpReset                             // discard the connection's settings and prepared statements
	OpSetValue                          // set Setting on the connection
	OpPrepare                           // prepare Statement on the connection
)

// Operation is one request to a target. The target adapter encodes it.
type Operation struct {
	Kind      OperationKind
	Payload   Payload   // OpCaller, OpRecordAnswer
	RequestID RequestID // OpClaim, OpRecordAnswer, OpLookup
	Term      Term      // OpPromote, OpFollow
	Leader    Target    // OpFollow
	Start     uint64    // OpFollow: last offset before Term began
	Floor     LogPos    // OpCaller: position that the target must hold; zero requires none
	Setting   Setting   // OpSetValue
	Statement Prepared  // OpPrepare
}

// TargetErrorKind classifies the errors that targets answer with.
type TargetErrorKind uint8

// The target error kinds.
const (
	TargetErrNone      TargetErrorKind = iota
	TargetErrStatement                 // the statement failed; the answer holds the error
	TargetErrDuplicate                 // OpClaim found the id recorded
	TargetErrReadOnly                  // a replica was asked to write
	TargetErrStaleTerm                 // the target is in a later term
	TargetErrBusy                      // the target has no free capacity; it did not run the operation
	TargetErrBehind                    // the target lacks Operation.Floor; it did not run the operation
	TargetErrFailed                    // the target failed to run the statement, which is not to blame; the answer holds the error
)

// String describes the error.
func (k TargetErrorKind) String() string {
	names := [...]string{"no error", "statement failed", "duplicate", "read only", "stale term", "busy", "behind"}
	if int(k) >= len(names) {
		return "unknown error"
	}
	return names[k]
}

// Result is the answer to one operation.
type Result struct {
	Payload Payload
	Err     TargetErrorKind
	Tx      TxStatus
	Status  TargetStatus // OpPosition, OpFollow; OpPromote: before the first entry of the term
	Found   bool         // OpLookup
}

// TargetStatus is the state that a target reports for itself.
type TargetStatus struct {
	Term    Term
	Primary bool
	Pos     LogPos
}
