package types

// OperationKind is what a target is asked to do.
type OperationKind uint8

// The operations of traffic, then those of control.
const (
	OpCaller       OperationKind = iota // the caller's own statement
	OpPosition                          // report term, role and position
	OpBegin                             // open a transaction
	OpCommit                            // commit it
	OpRollback                          // roll it back
	OpClaim                             // record RequestID; fails if it is there
	OpRecordAnswer                      // store the answer beside RequestID
	OpLookup                            // return the stored answer of RequestID
	OpPromote                           // become the primary of Term and write its first entry
	OpFollow                            // follow Leader in Term
	OpReset                             // drop the connection's values and prepared statements
	OpSetValue                          // set Setting on the connection
	OpPrepare                           // prepare Statement on the connection
)

// Operation is one thing that a target is asked to do. The target adapter
// encodes it.
type Operation struct {
	Kind      OperationKind
	Payload   Payload   // OpCaller, OpRecordAnswer
	RequestID RequestID // OpClaim, OpRecordAnswer, OpLookup
	Term      Term      // OpPromote, OpFollow
	Leader    Target    // OpFollow
	Start     uint64    // OpFollow: last offset before Term began
	Floor     LogPos    // OpCaller: position that the target must hold; zero asks for none
	Setting   Setting   // OpSetValue
	Statement Prepared  // OpPrepare
}

// TargetErrorKind classes what a target answered.
type TargetErrorKind uint8

// The target error kinds.
const (
	TargetErrNone      TargetErrorKind = iota
	TargetErrStatement                 // the statement failed; the answer holds the error
	TargetErrDuplicate                 // OpClaim found the id recorded
	TargetErrReadOnly                  // a replica was asked to write
	TargetErrStaleTerm                 // the target stands in a later term
	TargetErrBusy                      // the target has no room now; it did not run the operation
	TargetErrBehind                    // the target lacks Operation.Floor; it did not run the operation
)

// Result is the answer to one operation.
type Result struct {
	Payload Payload
	Err     TargetErrorKind
	Tx      TxStatus
	Status  TargetStatus // OpPosition, OpFollow; OpPromote: before the first entry of the term
	Found   bool         // OpLookup
}

// TargetStatus is what a target says of itself.
type TargetStatus struct {
	Term    Term
	Primary bool
	Pos     LogPos
}
