// Package cbor encodes typed values as canonical CBOR (RFC 8949).
package cbor

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/ugorji/go/codec"
)

// Limits of decoded values.
const (
	maxDepth   = 32   // levels of nesting
	maxInitLen = 1024 // elements allocated before any is read
)

// Codec encodes and decodes values. It is safe for concurrent use.
type Codec struct {
	handle   codec.CborHandle
	encoders sync.Pool
	decoders sync.Pool
}

// NewNamed returns a codec that writes structs as maps from field names to values.
func NewNamed() *Codec { return newCodec(false) }

// NewCompact returns a codec that writes structs as arrays of field values, so new
// fields may only be added at the end of a struct.
func NewCompact() *Codec { return newCodec(true) }

func newCodec(toArray bool) *Codec {
	c := &Codec{}
	c.handle.Canonical = true
	c.handle.StructToArray = toArray
	c.handle.MaxDepth = maxDepth
	c.handle.MaxInitLen = maxInitLen
	c.handle.ErrorIfNoField = true
	c.encoders.New = func() any { return codec.NewEncoderBytes(new([]byte), &c.handle) }
	c.decoders.New = func() any { return codec.NewDecoderBytes(nil, &c.handle) }
	return c
}

// Encode returns the encoding of v.
func (c *Codec) Encode(v any) ([]byte, error) {
	e := c.encoders.Get().(*codec.Encoder)
	defer c.encoders.Put(e)
	var b []byte
	e.ResetBytes(&b)
	if err := e.Encode(v); err != nil {
		return nil, trace.Wrap(err, "encoding %T", v)
	}
	return b, nil
}

// Decode decodes b, which must consist of exactly one value, into v.
func (c *Codec) Decode(b []byte, v any) error {
	d := c.decoders.Get().(*codec.Decoder)
	defer c.decoders.Put(d)
	d.ResetBytes(b)
	if err := d.Decode(v); err != nil {
		return trace.BadParameter("decoding %T: %v", v, err)
	}
	if n := d.NumBytesRead(); n != len(b) {
		return trace.BadParameter("%T is followed by %d unexpected bytes", v, len(b)-n)
	}
	return nil
}
