package storage

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"gotest.tools/v3/assert"
)

// logBytes closes a log and returns its path, its content and the offset of its
// last record.
func logBytes(t *testing.T, l *Log) (path string, content []byte, last int) {
	t.Helper()
	assert.NilError(t, l.Close())
	path = filepath.Join(l.folder.path, logFile)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	return path, content, lastRecord(t, content)
}

// lastRecord returns the offset of the last record.
func lastRecord(t *testing.T, content []byte) (last int) {
	t.Helper()
	var err error
	for rest := content; len(rest) > 0; {
		last = len(content) - len(rest)
		rest, err = decodeRecord(rest, &logRecord{})
		assert.NilError(t, err)
	}
	return last
}

// TestTornTailIsCutOff cuts the last record at every byte, once with the file
// ending there and once with zeros up to the record's end, as a crash during a
// write leaves it.
func TestTornTailIsCutOff(t *testing.T) {
	l := newClusterLog(t)
	path, content, last := logBytes(t, l)
	for cut := last; cut < len(content); cut++ {
		zeros := make([]byte, len(content)-cut)
		for _, torn := range [][]byte{content[:cut], append(bytes.Clone(content[:cut]), zeros...)} {
			assert.NilError(t, os.WriteFile(path, torn, 0o600))
			again, err := Open(l.folder.path, "c1")
			assert.NilError(t, err, "cut at %d", cut)
			assert.Equal(t, len(again.Saved().Entries), 3, "cut at %d", cut)
			assert.NilError(t, again.Persist(persistEntries(2, 5, 6)))
			assert.NilError(t, again.Close())
			third, err := Open(l.folder.path, "c1")
			assert.NilError(t, err)
			assert.Equal(t, len(third.Saved().Entries), 5)
			assert.NilError(t, third.Close())
		}
	}
}

// TestDamageStopsStart changes a bit in each byte of the log, the last record
// included: all of it was synced, so none of it may be dropped as torn.
func TestDamageStopsStart(t *testing.T) {
	l := newClusterLog(t)
	path, content, _ := logBytes(t, l)
	for i := range content {
		damaged := bytes.Clone(content)
		damaged[i] ^= 0x40
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		_, err := Open(l.folder.path, "c1")
		assert.ErrorContains(t, err, "move the folder away", "flipped a bit of byte %d", i)
	}
}

// TestDamageBeforeATornTailStopsStart changes a bit in each byte of the records before
// one that a crash left filled with zeros. They were synced, so they may not be dropped
// with it.
func TestDamageBeforeATornTailStopsStart(t *testing.T) {
	l := newClusterLog(t)
	assert.NilError(t, l.Persist(persistEntries(2, 6, 6)))
	assert.NilError(t, l.Persist(persistEntries(2, 7, 7)))
	path, content, last := logBytes(t, l)
	clear(content[last+headerSize:])
	before := lastRecord(t, content[:last])
	for i := range last {
		if i >= before && i < before+headerSize {
			continue // where the record ends is not known then, so that its end may be torn
		}
		damaged := bytes.Clone(content)
		damaged[i] ^= 0x40
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		_, err := Open(l.folder.path, "c1")
		assert.ErrorContains(t, err, "move the folder away", "flipped a bit of byte %d", i)
	}
}

func TestMissingFileStopsStart(t *testing.T) {
	for _, name := range []string{logFile, identityFile, snapshotFile} {
		l := newClusterLog(t)
		assert.NilError(t, l.Close())
		assert.NilError(t, os.Remove(l.folder.filePath(name)))
		_, err := Open(l.folder.path, "c1")
		assert.ErrorContains(t, err, name, "without %s", name)
	}
}

func TestDamagedSnapshotStopsStart(t *testing.T) {
	l := newClusterLog(t)
	assert.NilError(t, l.Close())
	path := l.folder.filePath(snapshotFile)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	for i := range content {
		damaged := bytes.Clone(content)
		damaged[i] ^= 1
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		_, err := Open(l.folder.path, "c1")
		assert.ErrorContains(t, err, "file snapshot", "flipped a bit of byte %d", i)
	}
}

func TestOtherFormatIsRefused(t *testing.T) {
	l := newClusterLog(t)
	assert.NilError(t, l.Close())
	assert.NilError(t, os.WriteFile(l.folder.filePath(formatFile), []byte("camphorpaddle control data 2\n"), 0o600))
	_, err := Open(l.folder.path, "c1")
	assert.ErrorContains(t, err, "this program reads only")
}

// TestFailedWriteEndsTheLog checks that the log refuses all writes after one that
// failed, also once the file can be written again.
func TestFailedWriteEndsTheLog(t *testing.T) {
	l := newClusterLog(t)
	file := l.file
	assert.NilError(t, file.Close())
	assert.Assert(t, l.Persist(persistEntries(2, 6, 6)) != nil)
	var err error
	l.file, err = os.OpenFile(l.folder.filePath(logFile), os.O_RDWR, 0o600)
	assert.NilError(t, err)
	assert.Assert(t, l.Persist(persistEntries(2, 6, 6)) != nil)
}

// FuzzDecodeRecord checks that the decoder returns a known kind of error, or
// consumes input and yields a record that can be encoded.
func FuzzDecodeRecord(f *testing.F) {
	for _, r := range []logRecord{{}, {HardState: &proto.HardState{Term: 3}, Entries: persistEntries(1, 2, 4).Entries}} {
		b, err := encodeRecord(r)
		assert.NilError(f, err)
		f.Add(b)
		f.Add(b[:len(b)-2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r logRecord
		rest, err := decodeRecord(b, &r)
		if err != nil {
			if !errors.As(err, new(tornError)) && !errors.As(err, new(corruptError)) {
				t.Fatalf("unknown error %v", err)
			}
			return
		}
		if len(rest) >= len(b) {
			t.Fatal("nothing was read")
		}
		if _, err := encodeRecord(r); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzOpen checks that Open reads or refuses a log of any content.
func FuzzOpen(f *testing.F) {
	b, err := encodeRecord(logRecord{HardState: &proto.HardState{Term: 2}, Entries: persistEntries(2, 2, 4).Entries})
	assert.NilError(f, err)
	f.Add(b)
	f.Add(append(bytes.Clone(b), b[:7]...))
	f.Fuzz(func(t *testing.T, content []byte) {
		dir := t.TempDir()
		_, err := Init(dir, proto.Voter{Host: "c1"})
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, logFile), content, 0o600))
		l, err := Open(dir, "c1")
		if err != nil {
			return
		}
		assert.NilError(t, l.Close())
	})
}
