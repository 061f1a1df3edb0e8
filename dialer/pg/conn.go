package pg

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"

	"github.com/gravitational/trace"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Message types sent by the target.
const (
	msgAuthentication  = 'R'
	msgBindComplete    = '2'
	msgCloseComplete   = '3'
	msgCommandComplete = 'C'
	msgCopyBoth        = 'W'
	msgCopyIn          = 'G'
	msgCopyOut         = 'H'
	msgDataRow         = 'D'
	msgEmptyQuery      = 'I'
	msgErrorResponse   = 'E'
	msgNoData          = 'n'
	msgNotification    = 'A'
	msgParseComplete   = '1'
	msgParameterStatus = 'S'
	msgPortalSuspended = 's'
	msgReadyForQuery   = 'Z'
	msgRowDescription  = 'T'
)

// headerSize is the size of the type and length of a message, in bytes.
const headerSize = 5

// maxMessageSize is the size limit of one message from a target, in bytes.
const maxMessageSize = DefaultMaxReply

// maxSequentialWrite is the largest write that completes before answers are
// read, in bytes; see sendWhileReading.
const maxSequentialWrite = 16 << 10

// Conn is a connection to a target.
type Conn struct {
	conn        net.Conn
	reader      *bufio.Reader
	maxReply    int
	header      [headerSize]byte
	tableExists bool // the table paddle_requests is known to exist
	dirty       bool // a statement changed connection state beyond its transaction
	idle        bool // no transaction is open
}

// Close closes the connection. An exchange in progress fails.
func (c *Conn) Close() { c.conn.Close() }

// Exchange sends the operations in one write and reads a result for each. The
// second result reports whether anything may have reached the target. A
// statement that fails is a result, not an error.
func (c *Conn) Exchange(ctx context.Context, ops []types.Operation) ([]types.Result, bool, error) {
	if c.dirty && c.idle {
		return nil, false, trace.CompareFailed("a statement changed the state of the connection")
	}
	if err := ctx.Err(); err != nil {
		return nil, false, trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, c.Close)
	results, sent, err := c.exchange(ops)
	if !stop() && err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return results, sent, trace.Wrap(err)
}

func (c *Conn) exchange(ops []types.Operation) ([]types.Result, bool, error) {
	if err := c.ensureTable(ops); err != nil {
		return nil, false, trace.Wrap(err)
	}
	out, err := appendOperations(ops)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	if len(out) > maxSequentialWrite {
		return c.sendWhileReading(out, ops)
	}
	if n, err := c.conn.Write(out); err != nil {
		return nil, n > 0, trace.Wrap(err, "sending to the target")
	}
	results, err := c.readResults(ops)
	return results, true, trace.Wrap(err)
}

// sendWhileReading writes on a goroutine of its own while answers are read. A
// target that answers before it has read everything stops reading once its
// answers are not read, so that a write without reads would block.
func (c *Conn) sendWhileReading(out []byte, ops []types.Operation) ([]types.Result, bool, error) {
	type written struct {
		n   int
		err error
	}
	done := make(chan written, 1)
	go func() {
		n, err := c.conn.Write(out)
		if err != nil {
			c.Close()
		}
		done <- written{n, err}
	}()
	results, err := c.readResults(ops)
	if err != nil {
		c.Close()
	}
	w := <-done
	if w.err != nil {
		return nil, w.n > 0, trace.Wrap(w.err, "sending to the target")
	}
	return results, true, trace.Wrap(err)
}

func (c *Conn) readResults(ops []types.Operation) ([]types.Result, error) {
	results := make([]types.Result, 0, len(ops))
	budget := c.maxReply
	for i, op := range ops {
		if beginsClaim(ops, i) {
			continue // answered with the claim
		}
		answer, err := c.readOperation(op, budget)
		if err != nil {
			return nil, trace.Wrap(err, "reading the target's answer")
		}
		budget -= len(answer.reply.Messages)
		result, err := answer.result(op)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if i > 0 && beginsClaim(ops, i-1) {
			results = append(results, answer.beginResult())
		}
		results = append(results, result)
	}
	return results, nil
}

// readMessage reads the next message and returns its type and body.
func (c *Conn) readMessage() (byte, []byte, error) {
	msgType, size, err := c.readHeader()
	if err != nil {
		return 0, nil, trace.Wrap(err)
	}
	if size > maxMessageSize {
		return 0, nil, trace.LimitExceeded("the target sent a message of %d bytes, which is above the limit of %d", size, maxMessageSize)
	}
	body := make([]byte, size)
	_, err = io.ReadFull(c.reader, body)
	return msgType, body, trace.Wrap(err)
}

// readHeader reads the next header and returns the type and the body size of
// its message.
func (c *Conn) readHeader() (byte, int, error) {
	if _, err := io.ReadFull(c.reader, c.header[:]); err != nil {
		return 0, 0, trace.Wrap(err)
	}
	size := int(binary.BigEndian.Uint32(c.header[1:])) - 4
	if size < 0 {
		return 0, 0, trace.BadParameter("the target sent a message whose length is smaller than its header")
	}
	return c.header[0], size, nil
}
