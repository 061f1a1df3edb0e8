package pg

// Batch is the payload of a caller's request: one Query message, or the
// messages of the extended protocol up to and with Sync. It needs nothing that
// an earlier batch left on the connection.
type Batch struct {
	// Messages are the encoded messages.
	Messages []byte
	// HiddenParses tells for each Parse message, in order, whether the front
	// added it. The caller must not see the answer to such a message.
	HiddenParses []bool
	// Read reports that the messages were declared a read. That the target
	// refuses them as a write then says nothing of the target's role.
	Read bool
	// ReadOnly runs the messages in a read-only transaction of their own, which
	// the caller does not see. No transaction may be open.
	ReadOnly bool
}

// Reply is the payload of an answer: the messages of the target without the
// final ReadyForQuery.
type Reply struct {
	// Messages are the encoded messages.
	Messages []byte
	// Done is how many messages of the batch were answered in full. After an
	// error the target skips the rest up to the Sync.
	Done int
	// Failed reports that the messages hold an ErrorResponse.
	Failed bool
}
