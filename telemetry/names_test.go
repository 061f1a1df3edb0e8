package telemetry

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/outernames"
	"gotest.tools/v3/assert"
)

// TestRefusalNames compares the label of each refusal code to the one on record.
func TestRefusalNames(t *testing.T) {
	var lines []string
	for _, c := range types.RefusalCodes() {
		lines = append(lines, fmt.Sprint(uint8(c), " ", refusalName(c)))
	}
	got, err := outernames.Difference(filepath.Join("testdata", "refusal_names.txt"), lines)
	assert.NilError(t, err)
	assert.Equal(t, got, "")
}
