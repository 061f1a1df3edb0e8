package storage

import (
	"encoding/hex"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/internal/outernames"
	"gotest.tools/v3/assert"
)

// TestStoredNames compares the names, kinds and order of all stored fields, the
// records of filled values and the names of the files to those on record. A
// program that differs can't read the data folders of an earlier one.
func TestStoredNames(t *testing.T) {
	var lines []string
	record, snapshot := logRecord{}, proto.Snapshot{}
	for i, v := range []any{&record, &snapshot} {
		root := []string{"record", "snapshot"}[i]
		lines = append(lines, outernames.Describe(root, reflect.TypeOf(v).Elem(), outernames.Named)...)
		outernames.Fill(v)
		b, err := encodeRecord(v)
		assert.NilError(t, err)
		lines = append(lines, hex.EncodeToString(b))
	}
	lines = append(lines, lockFile, formatFile, identityFile, snapshotFile, logFile, tempSuffix, formatVersion)
	got, err := outernames.Difference(filepath.Join("testdata", "stored_names.txt"), lines)
	assert.NilError(t, err)
	assert.Equal(t, got, "")
}
