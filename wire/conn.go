package wire

import (
	"context"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/contain"
	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Timeouts and intervals of a connection.
const (
	helloTimeout      = 5 * time.Second
	writeTimeout      = 5 * time.Second
	keepAliveInterval = time.Second     // a KeepAlive is sent after this time without another frame
	readTimeout       = 3 * time.Second // the connection is closed after this time without any frame
)

// largeFrameBytes is the size from which on the write of a frame is logged: such a
// frame takes 0.1 s on the slowest expected link, 4.5 Mbit/s.
const largeFrameBytes = 56 << 10

// Compression of frames. Configurations are repetitive and shrink to a sixth or
// less. Each frame is compressed independently, so that no compression window is
// kept in memory for a connection.
const (
	compression          = websocket.CompressionNoContextTakeover
	compressionThreshold = 4 << 10 // bytes; lease requests and heartbeats are smaller
)

// conn is a connection on which both sides have sent their hello. One goroutine
// reads from it and one writes to it.
type conn struct {
	ws         *websocket.Conn
	peer       Hello
	readLimit  int // of incoming frames
	writeQueue *queue
}

func newConn(ws *websocket.Conn, peer Hello) *conn {
	c := &conn{ws: ws, peer: peer, readLimit: maxControlFrameBytes, writeQueue: newQueue()}
	if peer.Role == RoleProxy {
		c.readLimit = maxProxyFrameBytes
	}
	ws.SetReadLimit(int64(c.readLimit))
	return c
}

// send queues a frame and never blocks.
func (c *conn) send(f Frame) { c.writeQueue.put(f) }

// serve reads and writes frames until the connection fails or ctx ends, and
// returns the reason.
func (c *conn) serve(ctx context.Context, handle func(Frame)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(c.write(ctx))
	}()
	err := c.read(ctx, handle)
	cancel(err)
	<-written
	_ = c.ws.CloseNow()
	return context.Cause(ctx)
}

func (c *conn) read(ctx context.Context, handle func(Frame)) error {
	for {
		err := contain.Call("a frame of "+string(c.peer.Host), func() error {
			f, err := readFrame(ctx, c.ws, c.readLimit, readTimeout)
			if err == nil && f.KeepAlive == nil {
				handle(f)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
}

func (c *conn) write(ctx context.Context) error {
	idle := time.NewTimer(keepAliveInterval)
	defer idle.Stop()
	for {
		select {
		case <-c.writeQueue.notEmpty:
		case <-idle.C:
			c.send(Frame{KeepAlive: &KeepAlive{}})
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, f := range c.writeQueue.takeAll() {
			if err := c.writeAndLog(ctx, f); err != nil {
				return err
			}
		}
		idle.Reset(keepAliveInterval)
	}
}

// writeAndLog writes a frame and, if it is large, logs its size and how long the
// write took.
func (c *conn) writeAndLog(ctx context.Context, f Frame) error {
	b, err := Encode(f)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	err = writeBytes(ctx, c.ws, b)
	if len(b) >= largeFrameBytes {
		klog.InfoS("large_frame_written", "peer", c.peer.Host, "role", c.peer.Role.String(), "content", f.content(),
			"bytes", len(b), "took_ms", time.Since(startedAt).Milliseconds(), "err", err)
	}
	return err
}

// readFrame reads one frame. After an error the connection can't be used.
func readFrame(ctx context.Context, ws *websocket.Conn, limit int, timeout time.Duration) (Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	kind, b, err := ws.Read(ctx)
	if err != nil {
		return Frame{}, trace.Wrap(err, "reading a frame")
	}
	if kind != websocket.MessageBinary {
		return Frame{}, &FrameError{Reason: "not a binary message"}
	}
	return Decode(b, limit)
}

// writeFrame writes one frame. After an error the connection can't be used.
func writeFrame(ctx context.Context, ws *websocket.Conn, f Frame) error {
	b, err := Encode(f)
	if err != nil {
		return err
	}
	return writeBytes(ctx, ws, b)
}

// writeBytes writes an encoded frame.
func writeBytes(ctx context.Context, ws *websocket.Conn, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return trace.Wrap(ws.Write(ctx, websocket.MessageBinary, b), "writing a frame")
}

// oneLine returns the text of an error on a single line, for a log or a close
// frame.
func oneLine(err error) string {
	return strings.Join(strings.Fields(trace.UserMessage(err)), " ")
}

// logDisconnect logs why a connection ended.
func (c *conn) logDisconnect(self Hello, err error) {
	klog.InfoS("peer_disconnected", "host", self.Host, "peer", c.peer.Host, "role", c.peer.Role.String(),
		"dropped", c.writeQueue.droppedCount(), "reason", oneLine(err))
}
