package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

// maxMessageBytes is the maximum body size of a message.
const maxMessageBytes = 64 << 20

// serverConn is the server side of a connection to a member. Its goroutine
// decodes messages, waits for the answer of the loop and encodes it.
type serverConn struct {
	loop     *loop
	conn     net.Conn
	backend  *pgproto3.Backend
	id       connID
	replies  chan effect
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	status   byte
	skipping bool // after an error: ignore messages until Sync
}

func newServerConn(l *loop, conn net.Conn) *serverConn {
	c := &serverConn{
		loop: l, conn: conn, backend: pgproto3.NewBackend(conn, conn), status: 'I',
		prepared: make(map[string]*preparedStatement),
		portals:  make(map[string]*portal),
	}
	c.backend.SetMaxBodyLen(maxMessageBytes)
	c.id, c.replies = l.register()
	return c
}

// end reports to the loop that the connection was closed.
func (c *serverConn) end() {
	c.loop.unregister(c.id)
	c.loop.post(connClosed{conn: c.id})
}

// call posts an event and waits for its answer.
func (c *serverConn) call(ev event) (effect, error) {
	if !c.loop.post(ev) {
		return nil, trace.ConnectionProblem(nil, "the member has stopped")
	}
	return c.awaitReply()
}

func (c *serverConn) awaitReply() (effect, error) {
	select {
	case eff := <-c.replies:
		return eff, nil
	case <-c.loop.done:
		return nil, trace.ConnectionProblem(nil, "the member has stopped")
	}
}

// run handles the connection from startup to its end.
func (c *serverConn) run(cost time.Duration) error {
	startup, err := c.startup()
	if err != nil || startup == nil {
		return trace.Wrap(err)
	}
	if ok, err := c.admit(startup, cost); err != nil || !ok {
		return trace.Wrap(err)
	}
	for {
		msg, err := c.backend.Receive()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			c.sendError(errorf(codeProtocol, "%v", err))
			c.backend.Flush()
			return trace.Wrap(err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := c.handle(msg); err != nil {
			return trace.Wrap(err)
		}
	}
}

// startup reads the startup message and declines encryption requests. It returns
// nil for a cancel request.
func (c *serverConn) startup() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			return nil, nil
		}
		if _, err := c.conn.Write([]byte{'N'}); err != nil {
			return nil, trace.Wrap(err)
		}
	}
}

// admit completes the startup, or sends an error if the limit of connections is
// reached. It reports whether the connection was accepted.
func (c *serverConn) admit(startup *pgproto3.StartupMessage, cost time.Duration) (bool, error) {
	_, replication := startup.Parameters[replicationParameter]
	answer, err := c.call(connOpened{conn: c.id, replication: replication})
	if err != nil {
		return false, trace.Wrap(err)
	}
	if a := answer.(admit); a.err != nil {
		c.sendError(a.err)
		return false, trace.Wrap(c.backend.Flush())
	}
	time.Sleep(cost)
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(c.id), SecretKey: make([]byte, 4)})
	c.sendReady()
	return true, trace.Wrap(c.backend.Flush())
}

func (c *serverConn) sendReady() { c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status}) }

func (c *serverConn) sendError(e *sqlError) {
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.message,
	})
}

// execute executes a statement and returns its result.
func (c *serverConn) execute(st statement, args []value) (result, error) {
	answer, err := c.call(statementReceived{conn: c.id, st: st, args: args})
	if err != nil {
		return result{}, trace.Wrap(err)
	}
	r := answer.(reply)
	c.status = r.status
	return r.result, nil
}

// endBatch ends a Query message or a Sync, and with it an implicit transaction.
func (c *serverConn) endBatch(failed bool) error {
	answer, err := c.call(batchEnded{conn: c.id, failed: failed})
	if err != nil {
		return trace.Wrap(err)
	}
	r := answer.(reply)
	c.status = r.status
	if r.result.err != nil {
		c.sendError(r.result.err)
	}
	if c.status == 'I' {
		clear(c.portals)
	}
	c.sendReady()
	return trace.Wrap(c.backend.Flush())
}

// query handles a Query message.
func (c *serverConn) query(sql string) error {
	statements, parseErr := parseAll(sql)
	if parseErr != nil {
		return c.queryFailed(parseErr)
	}
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, st := range statements {
		if s, ok := st.(streamStatement); ok {
			return c.stream(s)
		}
		r, err := c.execute(st, nil)
		if err != nil {
			return trace.Wrap(err)
		}
		if r.err != nil {
			c.sendError(r.err)
			return c.endBatch(true)
		}
		c.sendResult(r, nil, true)
	}
	return c.endBatch(false)
}

// queryFailed answers a Query message that could not be parsed. Like any error,
// this fails an open transaction.
func (c *serverConn) queryFailed(e *sqlError) error {
	if err := c.failTransaction(e); err != nil {
		return trace.Wrap(err)
	}
	return c.endBatch(true)
}

// failTransaction sends an error that occurred before the statement reached the
// loop, and fails an open transaction.
func (c *serverConn) failTransaction(e *sqlError) error {
	r, err := c.execute(invalidStatement{err: e}, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	c.sendError(r.err)
	return nil
}

// sendResult sends the rows of a result and CommandComplete.
func (c *serverConn) sendResult(r result, formats []int16, describe bool) {
	if describe && r.columns != nil {
		c.backend.Send(rowDescription(r.columns, formats))
	}
	for _, row := range r.rows {
		fields := make([][]byte, len(row))
		for i, v := range row {
			fields[i] = r.columns[i].Kind.encode(v, formatOf(formats, i))
		}
		c.backend.Send(&pgproto3.DataRow{Values: fields})
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

// rowDescription describes columns in the given formats.
func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, col := range columns {
		oid, size := col.Kind.oid()
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(col.Name), DataTypeOID: oid, DataTypeSize: size, TypeModifier: -1,
			Format: formatOf(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// formatOf returns the format of field i. No formats mean text; a single one
// applies to all fields.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return formatText
}

// stream sends log entries to a follower until the connection ends.
func (c *serverConn) stream(s streamStatement) error {
	answer, err := c.call(streamRequested{conn: c.id, st: s})
	for {
		if err != nil {
			return trace.Wrap(err)
		}
		send := answer.(sendEntries)
		if send.err != nil {
			c.sendError(send.err)
			return trace.Wrap(c.backend.Flush())
		}
		if err := c.sendBatch(send.batch); err != nil {
			return trace.Wrap(err)
		}
		answer, err = c.call(entriesRequested{conn: c.id, after: send.after})
	}
}

func (c *serverConn) sendBatch(b streamBatch) error {
	encoded, err := json.Marshal(b)
	if err != nil {
		return trace.Wrap(err)
	}
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{encoded}})
	return trace.Wrap(c.backend.Flush())
}
