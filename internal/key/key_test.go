package key

import (
	"encoding/hex"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func TestDigest(t *testing.T) {
	assert.Equal(t, Digest(""), types.KeyDigest{})
	d := Digest("abc")
	assert.Equal(t, hex.EncodeToString(d[:]), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
}

func TestDigestsAreSorted(t *testing.T) {
	assert.DeepEqual(t, Digests([]string{"a", "b", "c"}), Digests([]string{"c", "b", "a"}))
	assert.Assert(t, Digests([]string{"a", "b"})[0] != Digests([]string{"a", "b"})[1])
}
