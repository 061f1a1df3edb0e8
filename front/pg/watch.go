package pg

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"time"
)

// disconnectWatchDelay is how long a request waits before its connection is
// watched for a disconnect. Most requests finish earlier and need no watch.
const disconnectWatchDelay = 20 * time.Millisecond

// Sizes of message headers, in bytes.
const (
	startupHeaderSize = 4 // length
	messageHeaderSize = 5 // type and length
)

// callerReader reads at most one message at a time from a caller, so that the
// decoder buffers nothing between two messages. This allows a disconnect to be
// detected while a request waits for its answer.
type callerReader struct {
	buffered   *bufio.Reader
	conn       net.Conn
	headerSize int // size of the header of the messages to come
	remaining  int // unread bytes of the current message
}

func newCallerReader(conn net.Conn) *callerReader {
	return &callerReader{buffered: bufio.NewReader(conn), conn: conn, headerSize: startupHeaderSize}
}

// startupDone makes the reader expect messages with a type byte from now on.
func (r *callerReader) startupDone() { r.headerSize = messageHeaderSize }

// Read reads from the current message, or from the next one if the current one
// is complete.
func (r *callerReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		header, err := r.buffered.Peek(r.headerSize)
		if len(header) == 0 {
			return 0, err
		}
		r.remaining = r.messageSize(header)
	}
	n, err := r.buffered.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// messageSize returns the size of a message including its header. If the header
// is truncated or malformed, it returns only the size of the header, as far as
// it was received; the decoder reports the error.
func (r *callerReader) messageSize(header []byte) int {
	if len(header) < r.headerSize {
		return len(header)
	}
	length := int(int32(binary.BigEndian.Uint32(header[r.headerSize-startupHeaderSize:])))
	return max(r.headerSize, r.headerSize-startupHeaderSize+length)
}

// watchDisconnect calls onDisconnect if the caller disconnects before release
// is called. There must be no other reads meanwhile. A read deadline stops the
// watch and does not count as a disconnect; release clears the deadline.
func (r *callerReader) watchDisconnect(onDisconnect func()) (release func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(disconnectWatchDelay, func() {
		defer close(ended)
		if r.waitForDisconnect() {
			onDisconnect()
		}
	})
	return func() {
		if timer.Stop() {
			return
		}
		r.conn.SetReadDeadline(time.Now()) // interrupts Peek
		<-ended
		r.conn.SetReadDeadline(time.Time{})
	}
}

// terminate is the encoded Terminate message, with which a caller ends its
// connection.
var terminate = []byte{'X', 0, 0, 0, 4}

// waitForDisconnect waits until the caller disconnects and reports whether it
// did. It stops early if the caller sends further requests, which are served.
func (r *callerReader) waitForDisconnect() bool {
	for r.buffered.Buffered() <= len(terminate) {
		_, err := r.buffered.Peek(r.buffered.Buffered() + 1)
		buffered, _ := r.buffered.Peek(r.buffered.Buffered())
		if bytes.Equal(buffered, terminate) {
			return true
		}
		if err != nil {
			return len(buffered) == 0 && !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}
