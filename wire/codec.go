package wire

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/internal/cbor"
)

// Size limits of a frame, in bytes.
const (
	maxHelloBytes        = 4 << 10
	maxProxyFrameBytes   = 4 << 20  // from a proxy
	maxControlFrameBytes = 64 << 20 // from a control host; a snapshot is sent as one frame
)

var frames = cbor.NewCompact()

// SizeError reports a frame above its limit.
type SizeError struct{ Size, Limit int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d", e.Size, e.Limit)
}

// FrameError reports bytes that are not a valid frame.
type FrameError struct{ Reason string }

func (e *FrameError) Error() string { return "malformed frame: " + e.Reason }

// Encode returns the encoding of a frame.
func Encode(f Frame) ([]byte, error) { return frames.Encode(&f) }

// Decode decodes a frame of at most limit bytes. Its error is a *SizeError or a
// *FrameError.
func Decode(b []byte, limit int) (Frame, error) {
	if len(b) > limit {
		return Frame{}, &SizeError{Size: len(b), Limit: limit}
	}
	var f Frame
	if err := frames.Decode(b, &f); err != nil {
		return Frame{}, &FrameError{Reason: err.Error()}
	}
	if n := f.countSetFields(); n != 1 {
		return Frame{}, &FrameError{Reason: fmt.Sprintf("%d fields are set, not 1", n)}
	}
	return f, nil
}

// countSetFields returns the number of fields that are set.
func (f *Frame) countSetFields() int {
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
