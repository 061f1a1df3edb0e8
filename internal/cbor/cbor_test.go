package cbor

import (
	"testing"

	"gotest.tools/v3/assert"
)

type point struct{ X, Y int }

func TestStructEncodings(t *testing.T) {
	named, err := NewNamed().Encode(point{1, 2})
	assert.NilError(t, err)
	assert.DeepEqual(t, named, []byte{0xa2, 0x61, 'X', 1, 0x61, 'Y', 2})
	compact, err := NewCompact().Encode(point{1, 2})
	assert.NilError(t, err)
	assert.DeepEqual(t, compact, []byte{0x82, 1, 2})
}

// TestDecodeAfterError checks that a failed call leaves no state in a pooled decoder
// that affects the next one.
func TestDecodeAfterError(t *testing.T) {
	c := NewNamed()
	valid := []byte{0xa2, 0x61, 'X', 1, 0x61, 'Y', 2}
	for range 3 {
		for _, bad := range [][]byte{valid[:4], append(valid[:len(valid):len(valid)], 0), {0xa1, 0x61, 'Z', 1}} {
			assert.Assert(t, c.Decode(bad, &point{}) != nil, "%x", bad)
		}
		var p point
		assert.NilError(t, c.Decode(valid, &p))
		assert.Equal(t, p, point{1, 2})
	}
}
