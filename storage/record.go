package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/internal/cbor"
)

// A record is: length of the payload, checksum of that length, checksum of the
// payload (4 bytes each, little-endian), the payload, and a trailer byte. The
// trailer is not zero, so that a file that a crash left filled with zeros is
// told apart from a damaged one.
const (
	headerSize  = 12
	trailerSize = 1
	trailer     = 0xA5
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	payloads   = cbor.NewNamed()
)

// logRecord is what one Persist appends to the log. Entries replace those from
// their first index on.
type logRecord struct {
	HardState *proto.HardState
	Entries   []proto.Entry
}

// encodeRecord returns v as a record.
func encodeRecord(v any) ([]byte, error) {
	payload, err := payloads.Encode(v)
	if err != nil {
		return nil, err
	}
	b := make([]byte, headerSize, headerSize+len(payload)+trailerSize)
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[:4], castagnoli))
	binary.LittleEndian.PutUint32(b[8:], crc32.Checksum(payload, castagnoli))
	b = append(b, payload...)
	return append(b, trailer), nil
}

// tornError reports a record whose write was cut short.
type tornError struct{}

func (tornError) Error() string { return "record was not written to its end" }

// damageError reports a record that was whole once.
type damageError struct{ what string }

func (e damageError) Error() string { return "record is damaged: " + e.what }

// decodeRecord reads the record that b begins with into v and returns what
// follows it.
func decodeRecord(b []byte, v any) (rest []byte, err error) {
	if len(b) < headerSize {
		return nil, tornError{}
	}
	if binary.LittleEndian.Uint32(b[4:]) != crc32.Checksum(b[:4], castagnoli) {
		return nil, damaged(b, "checksum of the length differs")
	}
	size := uint64(binary.LittleEndian.Uint32(b))
	if uint64(len(b)) < headerSize+size+trailerSize {
		return nil, tornError{}
	}
	payload := b[headerSize : headerSize+size]
	rest = b[headerSize+size+trailerSize:]
	if binary.LittleEndian.Uint32(b[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, damaged(b, "checksum of the payload differs")
	}
	if b[headerSize+size] != trailer {
		return nil, damaged(b, "trailer differs")
	}
	if err := payloads.Decode(payload, v); err != nil {
		return nil, damageError{fmt.Sprintf("payload: %v", err)}
	}
	return rest, nil
}

// damaged returns the error for a record that fails its checks. Zeros up to
// the end of the file are what a crash leaves of a write.
func damaged(b []byte, what string) error {
	if b[len(b)-1] == 0 {
		return tornError{}
	}
	return damageError{what}
}
