package wire

import (
	"context"
	"strings"
	"time"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Times of a connection.
const (
	helloTimeout  = 5 * time.Second
	writeTimeout  = 5 * time.Second
	keepAliveTime = time.Second     // without another frame, then a KeepAlive goes out
	silenceLimit  = 3 * time.Second // without any frame, then the connection is closed
)

// largeFrame is the size in bytes from which on a frame that is written gets a
// log line: at the 4.5 Mbit/s of the slowest links at hand it takes 0.1 s.
const largeFrame = 56 << 10

// Compression of frames. Configurations repeat themselves and shrink to a sixth or
// less. Each frame is compressed by itself, so that a connection keeps no window in
// memory.
const (
	compression  = websocket.CompressionNoContextTakeover
	compressFrom = 4 << 10 // bytes; lease requests and heartbeats stay below
)

// conn is a connection after its hellos. One goroutine reads it and one
// writes it.
type conn struct {
	ws    *websocket.Conn
	peer  Hello
	limit int // of incoming frames
	out   *queue
}

func newConn(ws *websocket.Conn, peer Hello) *conn {
	c := &conn{ws: ws, peer: peer, limit: maxFrameBytes, out: newQueue()}
	if peer.Role == RoleProxy {
		c.limit = maxProxyBytes
	}
	ws.SetReadLimit(int64(c.limit))
	return c
}

// send queues a frame and never blocks.
func (c *conn) send(f Frame) { c.out.put(f) }

// serve reads and writes until the connection breaks or ctx ends.
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
		f, err := readFrame(ctx, c.ws, c.limit, silenceLimit)
		if err != nil {
			return err
		}
		if f.KeepAlive == nil {
			handle(f)
		}
	}
}

func (c *conn) write(ctx context.Context) error {
	idle := time.NewTimer(keepAliveTime)
	defer idle.Stop()
	for {
		select {
		case <-c.out.ready:
		case <-idle.C:
			c.send(Frame{KeepAlive: &KeepAlive{}})
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, f := range c.out.take() {
			if err := c.writeLogged(ctx, f); err != nil {
				return err
			}
		}
		idle.Reset(keepAliveTime)
	}
}

// writeLogged writes a frame and logs how long a large one took.
func (c *conn) writeLogged(ctx context.Context, f Frame) error {
	b, err := Encode(f)
	if err != nil {
		return err
	}
	began := time.Now()
	err = writeBytes(ctx, c.ws, b)
	if len(b) >= largeFrame {
		klog.InfoS("large_frame_written", "peer", c.peer.Host, "role", c.peer.Role.String(), "content", f.content(),
			"bytes", len(b), "took_ms", time.Since(began).Milliseconds(), "err", err)
	}
	return err
}

// readFrame reads one frame. After an error the connection is of no more use.
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

// writeFrame writes one frame. After an error the connection is of no more use.
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

// oneLine returns the text of an error for a log or a close frame.
func oneLine(err error) string {
	return strings.Join(strings.Fields(trace.UserMessage(err)), " ")
}

// logEnd logs why a connection ended.
func (c *conn) logEnd(self Hello, err error) {
	klog.InfoS("peer_disconnected", "host", self.Host, "peer", c.peer.Host, "role", c.peer.Role.String(),
		"dropped", c.out.droppedCount(), "reason", oneLine(err))
}
