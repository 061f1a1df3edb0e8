package pg

// Batch is the payload of a caller's request: one Query message, or the
// messages of the extended protocol up to and including Sync. It does not
// depend on state that an earlier batch left on the connection.
type Batch struct {
	// Messages are the encoded messages.
	Messages []byte
	// HiddenParses has an entry for each Parse message, in order, that reports
	// whether the front end added it. The answer to such a message is not sent
	// to the caller.
	HiddenParses []bool
	// DeclaredRead reports that the caller declared the messages a read. If the
	// target then rejects them as a write, that does not mean that the target
	// is a replica.
	DeclaredRead bool
	// ReadOnly runs the messages in a read-only transaction of their own, whose
	// answers are not sent to the caller. No transaction may be open.
	ReadOnly bool
}

// msgQuery is the type of a Query message.
const msgQuery = 'Q'

// isQuery reports whether the batch is a Query message.
func (b *Batch) isQuery() bool { return len(b.Messages) > 0 && b.Messages[0] == msgQuery }

// Reply is the payload of an answer: the messages of the target without the
// final ReadyForQuery.
type Reply struct {
	// Messages are the encoded messages.
	Messages []byte
	// Answered is the number of messages of the batch that were answered
	// completely. After an error the target skips the rest up to the Sync.
	Answered int
	// Failed reports that the messages include an ErrorResponse.
	Failed bool
}
