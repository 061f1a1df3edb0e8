package pg

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// reply writes messages followed by ReadyForQuery.
func (c *caller) reply(messages []byte) error {
	ready, err := (&pgproto3.ReadyForQuery{TxStatus: txStatusByte(c.tx)}).Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.omitReady {
		ready = nil
	}
	return c.write(messages, ready)
}

// withoutReady calls do and leaves ReadyForQuery out of its reply.
func (c *caller) withoutReady(do func() error) error {
	c.omitReady = true
	defer func() { c.omitReady = false }()
	return do()
}

// write writes buffers to the caller within the write timeout.
func (c *caller) write(parts ...[]byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout)); err != nil {
		return trace.Wrap(err)
	}
	buffers := net.Buffers(parts)
	_, err := buffers.WriteTo(c.conn)
	return trace.Wrap(err, "writing to the caller")
}

// replyError answers a request with an error; the session continues.
func (c *caller) replyError(e *pgproto3.ErrorResponse) error {
	message, err := e.Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.reply(message)
}

// fatal sends the caller an error of severity FATAL and returns it as an error,
// which ends the connection.
func (c *caller) fatal(e *pgproto3.ErrorResponse) error {
	e.Severity, e.SeverityUnlocalized = "FATAL", "FATAL"
	message, err := e.Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.write(message); err != nil {
		return trace.Wrap(err)
	}
	return trace.Errorf("%s: %s", e.Code, e.Message)
}

// txStatusByte returns the protocol's code of a transaction status.
func txStatusByte(s types.TxStatus) byte {
	switch s {
	case types.TxOpen:
		return 'T'
	case types.TxFailed:
		return 'E'
	}
	return 'I'
}
