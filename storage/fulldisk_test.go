package storage

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"gotest.tools/v3/assert"
)

// TestSnapshotOnAFullDiskIsRetried fills the disk at each step that replaces the
// snapshot and the log. Once there is room, the same write succeeds, and the log goes on.
func TestSnapshotOnAFullDiskIsRetried(t *testing.T) {
	for _, blocked := range []string{snapshotFile + tempSuffix, logFile + tempSuffix} {
		l := newClusterLog(t)
		path := l.folder.filePath(blocked)
		assert.NilError(t, os.Symlink("/dev/full", path)) // every write to it fails like one to a full disk
		p := effect.Persist{Snapshot: &proto.Snapshot{Index: 5, Term: 2}}
		err := l.Persist(p)
		assert.Assert(t, errors.Is(err, syscall.ENOSPC), "%s: %v", blocked, err)
		_, err = os.Lstat(path)
		assert.Assert(t, errors.Is(err, os.ErrNotExist), "what was written of %s still takes room", blocked)
		assert.NilError(t, l.Persist(p), blocked)
		assert.NilError(t, l.Persist(persistEntries(2, 6, 6)), blocked)
		saved := closeAndReopen(t, l)
		assert.Equal(t, saved.Snapshot.Index, uint64(5))
		assert.Equal(t, saved.Entries[len(saved.Entries)-1].Index, uint64(6))
	}
}
