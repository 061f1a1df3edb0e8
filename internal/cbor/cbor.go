// Package cbor encodes typed values as canonical CBOR (RFC 8949).
package cbor

import (
	"github.com/gravitational/trace"
	"github.com/ugorji/go/codec"
)

// maxDepth bounds the nesting of decoded values.
const maxDepth = 32

// Codec encodes and decodes values. It may be used by several goroutines.
type Codec struct{ handle codec.CborHandle }

// NewNamed returns a codec that writes the fields of structs with their names.
func NewNamed() *Codec { return newCodec(false) }

// NewCompact returns a codec that writes structs as arrays. Fields may only be
// added at the end of a struct.
func NewCompact() *Codec { return newCodec(true) }

func newCodec(toArray bool) *Codec {
	c := &Codec{}
	c.handle.Canonical = true
	c.handle.StructToArray = toArray
	c.handle.MaxDepth = maxDepth
	c.handle.ErrorIfNoField = true
	return c
}

// Encode returns the encoding of v.
func (c *Codec) Encode(v any) ([]byte, error) {
	var b []byte
	if err := codec.NewEncoderBytes(&b, &c.handle).Encode(v); err != nil {
		return nil, trace.Wrap(err, "encoding %T", v)
	}
	return b, nil
}

// Decode reads b, which must hold one value and nothing else, into v.
func (c *Codec) Decode(b []byte, v any) error {
	d := codec.NewDecoderBytes(b, &c.handle)
	if err := d.Decode(v); err != nil {
		return trace.BadParameter("decoding %T: %v", v, err)
	}
	if n := d.NumBytesRead(); n != len(b) {
		return trace.BadParameter("%T is followed by %d bytes", v, len(b)-n)
	}
	return nil
}
