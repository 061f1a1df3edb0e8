// Package cbor encodes typed values as canonical CBOR (RFC 8949).
package cbor

import (
	"sync"

	"github.com/gravitational/trace"
	"github.com/ugorji/go/codec"
)

// Bounds of decoded values.
const (
	maxDepth   = 32   // nesting
	maxInitLen = 1024 // elements made room for before they are read
)

// Codec encodes and decodes values. It may be used by several goroutines.
type Codec struct {
	handle   codec.CborHandle
	encoders sync.Pool
	decoders sync.Pool
}

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

// Decode reads b, which must hold one value and nothing else, into v.
func (c *Codec) Decode(b []byte, v any) error {
	d := c.decoders.Get().(*codec.Decoder)
	defer c.decoders.Put(d)
	d.ResetBytes(b)
	if err := d.Decode(v); err != nil {
		return trace.BadParameter("decoding %T: %v", v, err)
	}
	if n := d.NumBytesRead(); n != len(b) {
		return trace.BadParameter("%T is followed by %d bytes", v, len(b)-n)
	}
	return nil
}
