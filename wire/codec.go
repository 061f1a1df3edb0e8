package wire

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/internal/cbor"
)

// Limits of a frame, in bytes.
const (
	maxHelloBytes = 4 << 10
	maxProxyBytes = 4 << 20  // from a proxy
	maxFrameBytes = 64 << 20 // from a control host; a snapshot is one frame
)

var frames = cbor.NewCompact()

// SizeError reports a frame above its limit.
type SizeError struct{ Size, Limit int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d", e.Size, e.Limit)
}

// FrameError reports bytes that are no frame.
type FrameError struct{ Reason string }

func (e *FrameError) Error() string { return "malformed frame: " + e.Reason }

// Encode returns the encoding of a frame.
func Encode(f Frame) ([]byte, error) { return frames.Encode(&f) }

// Decode reads a frame of at most limit bytes. Its error is a *SizeError or a
// *FrameError.
func Decode(b []byte, limit int) (Frame, error) {
	if len(b) > limit {
		return Frame{}, &SizeError{Size: len(b), Limit: limit}
	}
	var f Frame
	if err := frames.Decode(b, &f); err != nil {
		return Frame{}, &FrameError{Reason: err.Error()}
	}
	if n := f.fields(); n != 1 {
		return Frame{}, &FrameError{Reason: fmt.Sprintf("%d fields are set", n)}
	}
	return f, nil
}

// fields counts the fields that are set.
func (f *Frame) fields() int {
	n := 0
	for _, set := range []bool{
		f.Hello != nil, f.Message != nil, f.LeaseRequest != nil, f.LeaseGrant != nil, f.KeepAlive != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
