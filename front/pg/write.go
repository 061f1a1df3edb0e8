package pg

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// reply writes messages and the ReadyForQuery that ends them.
func (c *caller) reply(messages []byte) error {
	ready, err := (&pgproto3.ReadyForQuery{TxStatus: txLetter(c.tx)}).Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.noReady {
		ready = nil
	}
	return c.write(messages, ready)
}

// withoutReady runs do, whose reply must not end with ReadyForQuery.
func (c *caller) withoutReady(do func() error) error {
	c.noReady = true
	defer func() { c.noReady = false }()
	return do()
}

// write sends buffers to the caller within the time that it has for it.
func (c *caller) write(parts ...[]byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout)); err != nil {
		return trace.Wrap(err)
	}
	buffers := net.Buffers(parts)
	_, err := buffers.WriteTo(c.conn)
	return trace.Wrap(err, "writing to the caller")
}

// replyError answers a request with an error; the session goes on.
func (c *caller) replyError(e *pgproto3.ErrorResponse) error {
	message, err := e.Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.reply(message)
}

// fatal tells the caller why its connection ends and returns that as an error.
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

// txLetter is the status of a session as the protocol writes it.
func txLetter(s types.TxStatus) byte {
	switch s {
	case types.TxOpen:
		return 'T'
	case types.TxFailed:
		return 'E'
	}
	return 'I'
}
