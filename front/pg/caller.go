package pg

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	targetpg "github.com/camphorpaddle/camphorpaddle/dialer/pg"
	"github.com/camphorpaddle/camphorpaddle/runtime"
)

// endGracePeriod is how long a request may still wait for its answer if it
// arrived while the proxy ended its session.
const endGracePeriod = time.Second

// caller is one connection of a caller. One goroutine reads messages, waits for
// answers and writes them; a second one waits for the proxy to end the session.
type caller struct {
	server    *Server
	conn      net.Conn
	reader    *callerReader
	backend   *pgproto3.Backend
	params    types.SessionParams
	settings  settings
	session   *runtime.Session
	ctx       context.Context // canceled to abandon requests in flight
	batch     *batcher
	seq       types.RequestSeq
	tx        types.TxStatus
	txClass   types.Class // class of the open transaction
	floor     types.LogPos
	omitReady bool // leave ReadyForQuery out of the reply

	mu    sync.Mutex
	ended *types.Refusal // set once the proxy has ended the session
}

func newCaller(ctx context.Context, s *Server, conn net.Conn) *caller {
	c := &caller{ctx: ctx, server: s, batch: newBatcher(s.config)}
	c.setConn(conn)
	return c
}

// setConn makes conn the connection of the caller.
func (c *caller) setConn(conn net.Conn) {
	c.conn = conn
	c.reader = newCallerReader(conn)
	c.backend = pgproto3.NewBackend(c.reader, conn)
	c.backend.SetMaxBodyLen(c.server.config.MaxMessage)
}

// run serves the session until the caller closes it or the proxy ends it.
func (c *caller) run() error {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	c.ctx = ctx
	session, err := c.server.proxy.OpenSession(c.params)
	if err != nil {
		return c.fatal(refusalError(&types.Refusal{Code: types.RefuseDraining, Reason: "the proxy is stopping"}))
	}
	c.session = session
	defer session.Close()
	go c.watchSessionEnd(ctx, cancel)
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return c.handleReceiveError(err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := c.handle(msg); err != nil {
			return trace.Wrap(err)
		}
	}
}

// watchSessionEnd interrupts the reader when the proxy ends the session. The
// proxy may not see a request that arrived too late; it is abandoned after
// endGracePeriod.
func (c *caller) watchSessionEnd(ctx context.Context, abandon context.CancelFunc) {
	select {
	case refusal := <-c.session.Ended():
		c.setEnded(refusal)
		c.conn.SetReadDeadline(time.Now())
	case <-ctx.Done():
		return
	}
	grace := time.NewTimer(endGracePeriod)
	defer grace.Stop()
	select {
	case <-grace.C:
		abandon()
	case <-ctx.Done():
	}
}

func (c *caller) setEnded(r types.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = &r
}

func (c *caller) endRefusal() *types.Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// handleReceiveError tells the caller why its connection ends, unless the
// connection itself has failed.
func (c *caller) handleReceiveError(err error) error {
	if refusal := c.endRefusal(); refusal != nil {
		return c.fatal(refusalError(refusal))
	}
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.As(err, &tooLarge):
		return c.fatal(newError(codeLimitExceeded, "not run: a message of %d bytes is larger than the limit of %d bytes",
			tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen))
	case isConnectionError(err):
		return trace.Wrap(err, "reading from the caller")
	}
	return c.fatal(newError(codeProtocolViolation, "not run: %v", err))
}

// isConnectionError reports whether err means that the connection itself has
// failed.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// handle processes one message.
func (c *caller) handle(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return c.query(m.String)
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		if err := c.batch.add(msg); err != nil {
			return c.fatal(batchError(err))
		}
		return nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // the rest of a COPY that was refused
	}
	return c.fatal(newError(codeProtocolViolation, "not run: message %T is not supported", msg))
}

// query processes a message of the simple query protocol.
func (c *caller) query(sql string) error {
	if c.batch.pending() {
		return c.fatal(newError(codeProtocolViolation, "not run: Query received before the Sync of the preceding messages"))
	}
	switch st := matchStatement(sql); st.kind {
	case stmtLocal:
		out, err := c.runLocal(st).encodeSimple()
		if err != nil {
			return trace.Wrap(err)
		}
		return c.reply(out)
	case stmtRefused:
		return c.replyError(newError(codeNotSupported, "not run: %s is not served through the proxy", st.name))
	default:
		if st.kind == stmtBegin && c.tx == types.TxIdle && c.settings.isRead(st) {
			sql = withReadOnly(sql)
		}
		messages, err := (&pgproto3.Query{String: sql}).Encode(nil)
		if err != nil {
			return trace.Wrap(err)
		}
		return c.request(&batch{payload: targetpg.Batch{Messages: messages}, statement: st, executes: true})
	}
}

// sync runs the messages of the extended protocol received since the previous
// Sync.
func (c *caller) sync() error {
	batch, err := c.batch.build()
	if err != nil {
		return c.replyError(batchError(err))
	}
	switch {
	case batch.empty():
		return c.reply(nil)
	case batch.local:
		out, err := c.encodeLocal(batch)
		if err != nil {
			return trace.Wrap(err)
		}
		c.closePortals()
		return c.reply(out)
	}
	return c.request(batch)
}

// flush answers the messages received so far if none of them binds or executes
// a statement. All others must wait for the Sync, because the next batch may
// use another connection to the target.
func (c *caller) flush() error {
	if !c.batch.pending() {
		return nil
	}
	if c.batch.hasBindOrExecute() {
		return c.fatal(newError(codeNotSupported, "not run: Flush after Bind or Execute is not supported"))
	}
	return c.withoutReady(c.sync)
}

// request sends a batch to the reducer and writes the answer or refusal to the
// caller.
func (c *caller) request(b *batch) error {
	c.seq++
	request := c.settings.request(b.statement, b.executes)
	request.Seq = c.seq
	request.Payload = &b.payload
	request.Bytes = len(b.payload.Messages)
	if c.tx != types.TxIdle {
		request.Class = c.txClass
	}
	b.payload.DeclaredRead = request.Class == types.ClassRead
	b.payload.ReadOnly = c.needsReadOnly(b.statement, request)
	answer, err := c.do(request)
	var refusal *types.Refusal
	switch {
	case errors.As(err, &refusal):
		c.batch.revert(b, 0)
		return c.replyRefusal(refusal)
	case err != nil:
		return c.fatal(newError(codeOutcomeUnknown, "outcome unknown: %v", err))
	}
	reply, ok := answer.Payload.(*targetpg.Reply)
	if !ok {
		return c.fatal(newError(codeInternal, "outcome unknown: the answer has payload type %T", answer.Payload))
	}
	c.applyAnswer(answer, request.Class)
	if reply.Failed {
		c.batch.revert(b, reply.Answered)
	}
	return c.reply(reply.Messages)
}

// needsReadOnly reports whether a request must run in a read-only transaction
// of its own. A declared read may be sent again, so it must not write.
func (c *caller) needsReadOnly(st statement, r types.Request) bool {
	begins := st.kind == stmtBegin || st.kind == stmtBeginRead || st.kind == stmtBeginWrite
	return r.Class == types.ClassRead && c.tx == types.TxIdle && r.ID == "" && !begins
}

// do sends a request and waits for its answer. It abandons the request if the
// caller disconnects.
func (c *caller) do(r types.Request) (types.Answer, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	release := c.reader.watchDisconnect(cancel)
	defer func() {
		release()
		if c.endRefusal() != nil {
			c.conn.SetReadDeadline(time.Now())
		}
	}()
	return c.session.Do(ctx, r)
}

// applyAnswer updates the state of the session from an answer.
func (c *caller) applyAnswer(answer types.Answer, class types.Class) {
	if c.tx == types.TxIdle {
		c.txClass = class
	}
	c.tx = answer.Tx
	c.floor = answer.Floor
	c.closePortals()
}

// closePortals removes the portals unless a transaction is open.
func (c *caller) closePortals() {
	if c.tx == types.TxIdle {
		c.batch.endTransaction()
	}
}

// replyRefusal reports a refusal to the caller. A refusal within a transaction
// closes the connection: the statements that follow must not run outside the
// transaction. So does an unknown key, which only a new connection can replace.
func (c *caller) replyRefusal(r *types.Refusal) error {
	if c.tx != types.TxIdle || r.Code == types.RefuseUnknownKey {
		return c.fatal(refusalError(r))
	}
	return c.replyError(refusalError(r))
}
