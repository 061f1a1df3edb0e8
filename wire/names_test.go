package wire

import (
	"encoding/hex"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/internal/outernames"
	"gotest.tools/v3/assert"
)

// TestSentFields compares the order and kinds of all fields between processes,
// and the encoding of a filled frame, to those on record. A program that differs
// can't talk to an earlier one.
func TestSentFields(t *testing.T) {
	var f Frame
	lines := append([]string{fmt.Sprint(Version), Path}, outernames.Describe("frame", reflect.TypeOf(f), outernames.Array)...)
	outernames.Fill(&f)
	b, err := frames.Encode(&f)
	assert.NilError(t, err)
	lines = append(lines, hex.EncodeToString(b),
		fmt.Sprint(uint8(RoleControl), RoleControl, uint8(RoleProxy), RoleProxy, Role(0)))
	got, err := outernames.Difference(filepath.Join("testdata", "sent_fields.txt"), lines)
	assert.NilError(t, err)
	assert.Equal(t, got, "")
}
