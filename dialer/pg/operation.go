package pg

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// SQLSTATEs that the dialer distinguishes.
const (
	codeUniqueViolation = "23505"
	codeReadOnly        = "25006"
	// CodeStaleTerm is the SQLSTATE with which a target rejects a promote or
	// follow operation of an outdated term.
	CodeStaleTerm = "PD002"
)

// primaryRole is the role that a primary reports in the answer to SHOW
// paddle.position.
const primaryRole = "primary"

// tagCommit is the command tag of a commit that succeeded. A target answers the
// COMMIT of a failed transaction with another tag, not with an error.
const tagCommit = "COMMIT"

// positionColumns is the number of columns of the answer to SHOW
// paddle.position: term, role, term of the last log entry, its offset.
const positionColumns = 4

// createRequestTable creates the table of request ids.
const createRequestTable = "CREATE TABLE IF NOT EXISTS paddle_requests (id TEXT PRIMARY KEY, answer TEXT)"

// appendOperations encodes the operations of an exchange.
func appendOperations(ops []types.Operation) ([]byte, error) {
	var out []byte
	for i, op := range ops {
		var err error
		switch {
		case beginsClaim(ops, i):
			continue // sent with the claim
		case i > 0 && beginsClaim(ops, i-1):
			out, err = appendQuery(out, beginClaim(op))
		default:
			out, err = appendOperation(out, op)
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return out, nil
}

// beginsClaim reports whether operation i begins the transaction of a claim. The two are
// one Query message, of which the target executes nothing after a statement that fails: a
// claim outside of its transaction would be committed at once.
func beginsClaim(ops []types.Operation, i int) bool {
	return ops[i].Kind == types.OpBegin && i+1 < len(ops) && ops[i+1].Kind == types.OpClaim
}

// beginClaim returns the SQL text of a claim and the beginning of its transaction.
func beginClaim(op types.Operation) string { return "BEGIN; " + claim(op) }

// claim returns the SQL text that records a request's id.
func claim(op types.Operation) string {
	return fmt.Sprintf("INSERT INTO paddle_requests (id) VALUES (%s)", quote(string(op.RequestID)))
}

func appendQuery(dst []byte, sql string) ([]byte, error) {
	dst, err := (&pgproto3.Query{String: sql}).Encode(dst)
	return dst, trace.Wrap(err)
}

// appendOperation appends the encoded messages of an operation.
func appendOperation(dst []byte, op types.Operation) ([]byte, error) {
	if op.Kind == types.OpCaller {
		batch, ok := op.Payload.(*Batch)
		if !ok {
			return nil, trace.BadParameter("payload %T is not a batch of the PostgreSQL front end", op.Payload)
		}
		return appendBatch(dst, batch)
	}
	sql, err := statement(op)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return appendQuery(dst, sql)
}

// appendBatch appends the messages of a caller. With ReadOnly, the statements
// of a read-only transaction are placed around them. The first of them is sent with the
// extended protocol and without a Sync of its own: if it fails, the target skips the
// caller's messages, which would run outside of the transaction.
func appendBatch(dst []byte, batch *Batch) ([]byte, error) {
	if !batch.ReadOnly {
		return append(dst, batch.Messages...), nil
	}
	var err error
	for _, m := range []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "BEGIN READ ONLY"}, &pgproto3.Bind{}, &pgproto3.Execute{}} {
		if dst, err = m.Encode(dst); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	dst = append(dst, batch.Messages...)
	if batch.isQuery() {
		if dst, err = (&pgproto3.Sync{}).Encode(dst); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return appendQuery(dst, "COMMIT")
}

// isReadOnly reports whether an operation runs in a read-only transaction of
// its own.
func isReadOnly(op types.Operation) bool {
	batch, ok := op.Payload.(*Batch)
	return ok && op.Kind == types.OpCaller && batch.ReadOnly
}

// statement returns the SQL text of an internal operation.
func statement(op types.Operation) (string, error) {
	switch op.Kind {
	case types.OpPosition:
		return "SHOW paddle.position", nil
	case types.OpBegin:
		return "BEGIN", nil
	case types.OpCommit:
		return "COMMIT", nil
	case types.OpRollback:
		return "ROLLBACK", nil
	case types.OpClaim:
		return claim(op), nil
	case types.OpRecordAnswer:
		return recordAnswer(op)
	case types.OpLookup:
		return fmt.Sprintf("SELECT answer FROM paddle_requests WHERE id = %s", quote(string(op.RequestID))), nil
	case types.OpPromote:
		return fmt.Sprintf("PADDLE PROMOTE TERM %d", op.Term), nil
	case types.OpFollow:
		return fmt.Sprintf("PADDLE FOLLOW %s %s TERM %d START %d",
			quote(string(op.Leader.Name)), quote(string(op.Leader.Address)), op.Term, op.Start), nil
	}
	return "", trace.BadParameter("operation %d is not known", op.Kind)
}

func recordAnswer(op types.Operation) (string, error) {
	reply, ok := op.Payload.(*Reply)
	if !ok {
		return "", trace.BadParameter("payload %T is not a reply of a target", op.Payload)
	}
	text := base64.StdEncoding.EncodeToString(reply.Messages)
	return fmt.Sprintf("UPDATE paddle_requests SET answer = %s WHERE id = %s",
		quote(text), quote(string(op.RequestID))), nil
}

// quote returns s as an SQL string literal.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// result returns the result of op that the answer contains.
func (a *answer) result(op types.Operation) (types.Result, error) {
	result := types.Result{Tx: a.tx, Err: a.errorKind(op)}
	if op.Kind == types.OpCaller {
		result.Payload = &a.reply
		return result, nil
	}
	if a.err != nil {
		result.Payload = &a.reply
		return result, nil
	}
	return a.decodeRow(op, result)
}

// beginResult returns the result of the BEGIN that was sent with a claim. It failed if no
// transaction is open behind the two.
func (a *answer) beginResult() types.Result {
	result := types.Result{Tx: a.tx}
	if a.err != nil && a.tx == types.TxIdle {
		result.Err = types.TargetErrStatement
	}
	return result
}

// errorKind classifies the error of the target, if any.
func (a *answer) errorKind(op types.Operation) types.TargetErrorKind {
	batch, ok := op.Payload.(*Batch)
	read := ok && batch.DeclaredRead
	switch {
	case a.err == nil && op.Kind == types.OpCommit && a.tag != tagCommit:
		return types.TargetErrStatement
	case a.err == nil:
		return types.TargetErrNone
	case op.Kind == types.OpClaim && a.err.Code == codeUniqueViolation:
		return types.TargetErrDuplicate
	case a.err.Code == codeReadOnly && !read:
		return types.TargetErrReadOnly
	case a.err.Code == CodeStaleTerm:
		return types.TargetErrStaleTerm
	}
	return types.TargetErrStatement
}

// decodeRow decodes the row of operations that return one.
func (a *answer) decodeRow(op types.Operation, result types.Result) (types.Result, error) {
	var err error
	switch op.Kind {
	case types.OpPosition, types.OpPromote, types.OpFollow:
		result.Status, err = decodeStatus(a.row)
	case types.OpLookup:
		result, err = decodeLookup(a.row, result)
	}
	return result, trace.Wrap(err)
}

func decodeLookup(row [][]byte, result types.Result) (types.Result, error) {
	result.Found = row != nil
	if len(row) != 1 || row[0] == nil {
		return result, nil
	}
	messages, err := base64.StdEncoding.DecodeString(string(row[0]))
	if err != nil {
		return result, trace.Wrap(err, "decoding a recorded answer")
	}
	result.Payload = &Reply{Messages: messages}
	return result, nil
}

func decodeStatus(row [][]byte) (types.TargetStatus, error) {
	if len(row) != positionColumns {
		return types.TargetStatus{}, trace.BadParameter("the target's position has %d columns, not %d", len(row), positionColumns)
	}
	var numbers [positionColumns]uint64
	for i, value := range row {
		if i == 1 {
			continue
		}
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return types.TargetStatus{}, trace.Wrap(err, "decoding the target's position")
		}
		numbers[i] = n
	}
	return types.TargetStatus{
		Term:    types.Term(numbers[0]),
		Primary: string(row[1]) == primaryRole,
		Pos:     types.LogPos{Term: types.Term(numbers[2]), Offset: numbers[3]},
	}, nil
}

// ensureTable creates the table of request ids before its first use on this
// connection. It runs before any operation of the exchange is sent, so if it
// fails, none of them was sent.
func (c *Conn) ensureTable(ops []types.Operation) error {
	if c.tableExists || !usesRequestTable(ops) {
		return nil
	}
	query, err := (&pgproto3.Query{String: createRequestTable}).Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := c.conn.Write(query); err != nil {
		return trace.Wrap(err)
	}
	a, err := c.readAnswer(types.Operation{Kind: types.OpBegin}, c.maxReply)
	if err != nil {
		return trace.Wrap(err)
	}
	c.tableExists = a.err == nil
	return nil
}

// usesRequestTable reports whether an exchange begins to use the table of
// request ids. Recording an answer does not count: it follows a claim within an
// open transaction.
func usesRequestTable(ops []types.Operation) bool {
	for _, op := range ops {
		if op.Kind == types.OpClaim || op.Kind == types.OpLookup {
			return true
		}
	}
	return false
}
