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

// watchAfter is how long a request waits before its connection is watched.
// Most requests end sooner and cost nothing more.
const watchAfter = 20 * time.Millisecond

// Sizes of message headers, in bytes.
const (
	startupHeader = 4 // length
	messageHeader = 5 // type and length
)

// callerReader reads from a caller, at most one message at a time, so that
// between two messages nothing is buffered behind it. While a request waits
// for its answer the end of the connection can be watched for.
type callerReader struct {
	buffered *bufio.Reader
	conn     net.Conn
	header   int // size of the headers that come
	left     int // bytes left of the current message
}

func newCallerReader(conn net.Conn) *callerReader {
	return &callerReader{buffered: bufio.NewReader(conn), conn: conn, header: startupHeader}
}

// startupDone tells the reader that messages have types from now on.
func (r *callerReader) startupDone() { r.header = messageHeader }

// Read reads from the current message, or the next one.
func (r *callerReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		header, err := r.buffered.Peek(r.header)
		if len(header) == 0 {
			return 0, err
		}
		r.left = r.messageSize(header)
	}
	n, err := r.buffered.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// messageSize returns the size of a message with its header. A header that is
// cut off or malformed counts alone; the decoder reports it.
func (r *callerReader) messageSize(header []byte) int {
	if len(header) < r.header {
		return len(header)
	}
	length := int(int32(binary.BigEndian.Uint32(header[r.header-startupHeader:])))
	return max(r.header, r.header-startupHeader+length)
}

// watch calls gone when the caller leaves before release is called. Nothing
// else may read meanwhile. A read deadline interrupts the watch and is no end
// of the connection; after release none is set.
func (r *callerReader) watch(gone func()) (release func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(watchAfter, func() {
		defer close(ended)
		if r.awaitEnd() {
			gone()
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

// terminate is the message with which a caller ends its connection.
var terminate = []byte{'X', 0, 0, 0, 4}

// awaitEnd waits until the caller ends its connection and reports whether it
// did. It stops early when the caller sent more requests: those are served.
func (r *callerReader) awaitEnd() bool {
	for r.buffered.Buffered() <= len(terminate) {
		_, err := r.buffered.Peek(r.buffered.Buffered() + 1)
		rest, _ := r.buffered.Peek(r.buffered.Buffered())
		if bytes.Equal(rest, terminate) {
			return true
		}
		if err != nil {
			return len(rest) == 0 && !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}
