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

// endGrace is how long an answer may still come for a request that arrived
// while the proxy ended its session.
const endGrace = time.Second

// caller is one connection of a caller. One goroutine reads, waits and writes;
// a second one waits for the proxy to end the session.
type caller struct {
	server   *Server
	conn     net.Conn
	reader   *callerReader
	backend  *pgproto3.Backend
	params   types.SessionParams
	settings settings
	session  *runtime.Session
	ctx      context.Context // ends when requests are given up
	batch    *batcher
	seq      types.RequestSeq
	tx       types.TxStatus
	txClass  types.Class // class of the open transaction
	floor    types.LogPos
	noReady  bool // the reply must not end with ReadyForQuery

	mu    sync.Mutex
	ended *types.Refusal // set once the proxy ended the session
}

func newCaller(forced context.Context, s *Server, conn net.Conn) *caller {
	c := &caller{ctx: forced, server: s, batch: newBatcher(s.config)}
	c.use(conn)
	return c
}

// use makes conn the connection of the caller.
func (c *caller) use(conn net.Conn) {
	c.conn = conn
	c.reader = newCallerReader(conn)
	c.backend = pgproto3.NewBackend(c.reader, conn)
	c.backend.SetMaxBodyLen(c.server.config.MaxMessage)
}

// run serves the session until the caller leaves or the proxy ends it.
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
	go c.awaitEnd(ctx, cancel)
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return c.receiveFailed(err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := c.handle(msg); err != nil {
			return trace.Wrap(err)
		}
	}
}

// awaitEnd wakes the reader once the proxy wants the session closed. A request
// that arrived too late to be seen by the proxy is given up soon after.
func (c *caller) awaitEnd(ctx context.Context, giveUp context.CancelFunc) {
	select {
	case refusal := <-c.session.Ended():
		c.setEnded(refusal)
		c.conn.SetReadDeadline(time.Now())
	case <-ctx.Done():
		return
	}
	grace := time.NewTimer(endGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
		giveUp()
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

// receiveFailed tells the caller, where it can, why its connection ends.
func (c *caller) receiveFailed(err error) error {
	if refusal := c.endRefusal(); refusal != nil {
		return c.fatal(refusalError(refusal))
	}
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.As(err, &tooLarge):
		return c.fatal(newError(codeLimitExceeded, "not run: a message of %d bytes is larger than the limit of %d",
			tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen))
	case isConnectionError(err):
		return trace.Wrap(err, "reading from the caller")
	}
	return c.fatal(newError(codeProtocolViolation, "not run: %v", err))
}

// isConnectionError reports whether err says that the connection itself broke.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// handle takes in one message.
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
		return nil // what is left of a COPY that was refused
	}
	return c.fatal(newError(codeProtocolViolation, "not run: message %T is not served", msg))
}

// query runs one message of the simple protocol.
func (c *caller) query(sql string) error {
	if c.batch.pending() {
		return c.fatal(newError(codeProtocolViolation, "not run: Query before the Sync of the messages ahead of it"))
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

// sync runs the messages of the extended protocol that came since the last one.
func (c *caller) sync() error {
	batch, err := c.batch.take()
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
		c.endPortals()
		return c.reply(out)
	}
	return c.request(batch)
}

// flush answers what came so far when it changes no data. Anything else must
// wait for the Sync, since the connection to the target ends with it.
func (c *caller) flush() error {
	if !c.batch.pending() {
		return nil
	}
	if c.batch.runs() {
		return c.fatal(newError(codeNotSupported, "not run: Flush after Bind or Execute is not served"))
	}
	return c.withoutReady(c.sync)
}

// request sends a batch to the reducer and writes what comes of it.
func (c *caller) request(b *batch) error {
	c.seq++
	request := c.settings.request(b.statement, b.executes)
	request.Seq = c.seq
	request.Payload = &b.payload
	request.Bytes = len(b.payload.Messages)
	if c.tx != types.TxIdle {
		request.Class = c.txClass
	}
	b.payload.Read = request.Class == types.ClassRead
	b.payload.ReadOnly = c.guards(b.statement, request)
	answer, err := c.do(request)
	var refusal *types.Refusal
	switch {
	case errors.As(err, &refusal):
		c.batch.takeBack(b, 0)
		return c.refused(refusal)
	case err != nil:
		return c.fatal(newError(codeOutcomeUnknown, "outcome unknown: %v", err))
	}
	reply, ok := answer.Payload.(*targetpg.Reply)
	if !ok {
		return c.fatal(newError(codeInternal, "outcome unknown: the answer is of another protocol"))
	}
	c.answered(answer, request.Class)
	if reply.Failed {
		c.batch.takeBack(b, reply.Done)
	}
	return c.reply(reply.Messages)
}

// guards reports whether a request is to run in a read-only transaction of its
// own. What was declared a read may be sent again, so it must not write.
func (c *caller) guards(st statement, r types.Request) bool {
	begins := st.kind == stmtBegin || st.kind == stmtBeginRead || st.kind == stmtBeginWrite
	return r.Class == types.ClassRead && c.tx == types.TxIdle && r.ID == "" && !begins
}

// do waits for the answer to a request. It gives the request up when the
// caller leaves.
func (c *caller) do(r types.Request) (types.Answer, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	release := c.reader.watch(cancel)
	defer func() {
		release()
		if c.endRefusal() != nil {
			c.conn.SetReadDeadline(time.Now())
		}
	}()
	return c.session.Do(ctx, r)
}

// answered notes what an answer says of the session.
func (c *caller) answered(answer types.Answer, class types.Class) {
	if c.tx == types.TxIdle {
		c.txClass = class
	}
	c.tx = answer.Tx
	c.floor = answer.Floor
	c.endPortals()
}

func (c *caller) endPortals() {
	if c.tx == types.TxIdle {
		c.batch.endTransaction()
	}
}

// refused tells the caller of a refusal. A refusal inside a transaction ends
// the connection: statements that follow must not run outside of it.
func (c *caller) refused(r *types.Refusal) error {
	if c.tx != types.TxIdle {
		return c.fatal(refusalError(r))
	}
	return c.replyError(refusalError(r))
}
