package pg

import (
	"io"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// answer is the answer of the target to one operation.
type answer struct {
	reply  Reply
	tx     types.TxStatus
	err    *pgproto3.ErrorResponse
	tag    string   // command tag of the last statement
	row    [][]byte // values of the first row; internal operations only
	parses int      // number of Parse messages answered so far
}

// stateChangingTags are the command tags of statements that change the state of
// the connection beyond the transaction.
var stateChangingTags = map[string]bool{
	"SET": true, "RESET": true, "LISTEN": true, "UNLISTEN": true,
	"PREPARE": true, "DEALLOCATE": true, "DEALLOCATE ALL": true,
	"DISCARD ALL": true, "DISCARD": true, "LOAD": true, "DECLARE CURSOR": true,
}

// completions are the message types that complete the answer to one message of
// the extended protocol.
var completions = map[byte]bool{
	msgParseComplete: true, msgBindComplete: true, msgCloseComplete: true,
	msgRowDescription: true, msgNoData: true,
	msgCommandComplete: true, msgEmptyQuery: true, msgPortalSuspended: true,
}

// readOperation reads the answer to an operation, and the answers to the
// statements around it if it runs in a read-only transaction of its own.
func (c *Conn) readOperation(op types.Operation, budget int) (*answer, error) {
	if !isReadOnly(op) {
		return c.readAnswer(op, budget)
	}
	if err := c.readBegin(); err != nil {
		return nil, trace.Wrap(err)
	}
	a, err := c.readAnswer(op, budget)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if op.Payload.(*Batch).isQuery() {
		if err := c.readInternal(types.OpBegin); err != nil { // the Sync behind it
			return nil, trace.Wrap(err)
		}
	}
	err = c.readInternal(types.OpCommit)
	a.tx = types.TxIdle
	return a, trace.Wrap(err)
}

// readBegin reads the answer to the beginning of a read-only transaction, which has no
// ReadyForQuery.
func (c *Conn) readBegin() error {
	for {
		msgType, body, err := c.readMessage()
		if err != nil {
			return trace.Wrap(err)
		}
		switch msgType {
		case msgCommandComplete:
			return nil
		case msgErrorResponse:
			return trace.Wrap(decodeError(body), "beginning a read-only transaction")
		}
	}
}

// readInternal reads the answer to an internal statement that must not fail.
func (c *Conn) readInternal(kind types.OperationKind) error {
	a, err := c.readAnswer(types.Operation{Kind: kind}, c.maxReply)
	if err != nil {
		return trace.Wrap(err)
	}
	if a.err != nil {
		return trace.Errorf("the target answered %s: %s", a.err.Code, a.err.Message)
	}
	if kind == types.OpCommit && a.tx != types.TxIdle {
		return trace.BadParameter("the target reports an open transaction after COMMIT")
	}
	return nil
}

// readAnswer reads the messages up to ReadyForQuery. It fails if they exceed
// budget, the bytes that are left for the answers of the exchange.
func (c *Conn) readAnswer(op types.Operation, budget int) (*answer, error) {
	a := &answer{}
	for {
		msgType, size, err := c.readHeader()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(a.reply.Messages)+size+headerSize > budget {
			return nil, trace.LimitExceeded("the answers of one exchange are larger than %d bytes", c.maxReply)
		}
		body, err := c.appendMessage(&a.reply, size)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if msgType == msgReadyForQuery {
			a.dropLast(size)
			a.tx, err = txStatus(body)
			c.idle = a.tx == types.TxIdle
			return a, trace.Wrap(err)
		}
		if err := c.inspect(a, op, msgType, body); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

// appendMessage appends the message whose header was just read, and returns its
// body.
func (c *Conn) appendMessage(r *Reply, size int) ([]byte, error) {
	start := len(r.Messages) + headerSize
	r.Messages = append(r.Messages, c.header[:]...)
	r.Messages = append(r.Messages, make([]byte, size)...)
	body := r.Messages[start:]
	_, err := io.ReadFull(c.reader, body)
	return body, trace.Wrap(err)
}

// dropLast removes the last message, whose body has size bytes.
func (a *answer) dropLast(size int) {
	a.reply.Messages = a.reply.Messages[:len(a.reply.Messages)-size-headerSize]
}

// inspect records the content of a message that matters to the reducer and
// drops messages that are not sent to the caller.
func (c *Conn) inspect(a *answer, op types.Operation, msgType byte, body []byte) error {
	if completions[msgType] {
		a.reply.Answered++
	}
	switch msgType {
	case msgParseComplete:
		if a.answersHiddenParse(op) {
			a.dropLast(len(body))
		}
		a.parses++
	case msgErrorResponse:
		a.reply.Failed = true
		a.err = &pgproto3.ErrorResponse{}
		return trace.Wrap(a.err.Decode(body))
	case msgCommandComplete:
		a.tag = strings.TrimSuffix(string(body), "\x00")
		c.dirty = c.dirty || op.Kind == types.OpCaller && stateChangingTags[a.tag]
	case msgNotification, msgParameterStatus:
		a.dropLast(len(body))
	case msgCopyIn, msgCopyOut, msgCopyBoth:
		return trace.NotImplemented("COPY is not served through the proxy")
	case msgDataRow:
		return trace.Wrap(a.keepRow(op, body))
	}
	return nil
}

// answersHiddenParse reports whether the next ParseComplete answers a Parse
// message that the front end added.
func (a *answer) answersHiddenParse(op types.Operation) bool {
	batch, ok := op.Payload.(*Batch)
	return ok && op.Kind == types.OpCaller && a.parses < len(batch.HiddenParses) && batch.HiddenParses[a.parses]
}

// keepRow keeps the first row of an internal operation.
func (a *answer) keepRow(op types.Operation, body []byte) error {
	if op.Kind == types.OpCaller || a.row != nil {
		return nil
	}
	var row pgproto3.DataRow
	if err := row.Decode(body); err != nil {
		return trace.Wrap(err)
	}
	a.row = row.Values
	return nil
}

// txStatus decodes the transaction status in the body of ReadyForQuery.
func txStatus(body []byte) (types.TxStatus, error) {
	var ready pgproto3.ReadyForQuery
	if err := ready.Decode(body); err != nil {
		return 0, trace.Wrap(err)
	}
	switch ready.TxStatus {
	case 'I':
		return types.TxIdle, nil
	case 'T':
		return types.TxOpen, nil
	case 'E':
		return types.TxFailed, nil
	}
	return 0, trace.BadParameter("the target sent transaction status %q", ready.TxStatus)
}

// decodeError returns the ErrorResponse of the target as an error.
func decodeError(body []byte) error {
	var response pgproto3.ErrorResponse
	if err := response.Decode(body); err != nil {
		return trace.Wrap(err)
	}
	return trace.Errorf("the target answered %s: %s", response.Code, response.Message)
}
