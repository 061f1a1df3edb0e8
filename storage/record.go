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
// trailer is not zero, so that a record that a crash left filled with zeros can
// be distinguished from a corrupt one.
const (
	headerSize  = 12
	trailerSize = 1
	trailer     = 0xA5
)

var (
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	payloadCodec = cbor.NewNamed()
)

// logRecord is the record that one call of Persist appends to the log. Entries
// replace all earlier entries from the index of the first one on.
type logRecord struct {
	HardState *proto.HardState
	Entries   []proto.Entry
}

// encodeRecord returns the record that holds v.
func encodeRecord(v any) ([]byte, error) {
	payload, err := payloadCodec.Encode(v)
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

// tornError reports a record that was written only in part.
type tornError struct{}

func (tornError) Error() string { return "record is incomplete: its write was interrupted" }

// corruptError reports a record that was written completely and has changed
// since.
type corruptError struct{ reason string }

func (e corruptError) Error() string { return "record is corrupt: " + e.reason }

// decodeRecord decodes the record at the start of b into v and returns the bytes
// after it.
func decodeRecord(b []byte, v any) (rest []byte, err error) {
	if len(b) < headerSize {
		return nil, tornError{}
	}
	if binary.LittleEndian.Uint32(b[4:]) != crc32.Checksum(b[:4], castagnoli) {
		return nil, checkFailure(b, nil, "checksum of the length does not match")
	}
	size := uint64(binary.LittleEndian.Uint32(b))
	if uint64(len(b)) < headerSize+size+trailerSize {
		return nil, tornError{}
	}
	payload := b[headerSize : headerSize+size]
	rest = b[headerSize+size+trailerSize:]
	if binary.LittleEndian.Uint32(b[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, checkFailure(b, rest, "checksum of the payload does not match")
	}
	if b[headerSize+size] != trailer {
		return nil, checkFailure(b, rest, fmt.Sprintf("trailer is %#x, not %#x", b[headerSize+size], trailer))
	}
	if err := payloadCodec.Decode(payload, v); err != nil {
		return nil, corruptError{fmt.Sprintf("payload can't be decoded: %v", err)}
	}
	return rest, nil
}

// checkFailure returns the error for a record that fails its checks. A record that
// was being written during a crash may be filled with zeros up to the end of the
// file, so it counts as torn if the file ends in a zero byte and nothing follows: each
// record is synced before the next one is written. rest is what follows a record whose
// length is known.
func checkFailure(b, rest []byte, reason string) error {
	if b[len(b)-1] != 0 || len(rest) > 0 || containsRecord(b[1:]) {
		return corruptError{reason}
	}
	return tornError{}
}

// containsRecord reports whether a complete record begins anywhere in b.
func containsRecord(b []byte) bool {
	for ; len(b) >= headerSize+trailerSize; b = b[1:] {
		size := uint64(binary.LittleEndian.Uint32(b))
		if size == 0 || uint64(len(b)) < headerSize+size+trailerSize || b[headerSize+size] != trailer {
			continue
		}
		if binary.LittleEndian.Uint32(b[4:]) == crc32.Checksum(b[:4], castagnoli) &&
			binary.LittleEndian.Uint32(b[8:]) == crc32.Checksum(b[headerSize:headerSize+size], castagnoli) {
			return true
		}
	}
	return false
}
