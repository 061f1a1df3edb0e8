package storage

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"gotest.tools/v3/assert"
)

// entry returns an entry that changes the configuration.
func entry(index uint64, term proto.ControlTerm) proto.Entry {
	return proto.Entry{Index: index, Term: term, Command: proto.Command{Change: &proto.ChangeConfig{Source: "text"}}}
}

// persistEntries returns a Persist with entries from first to last.
func persistEntries(term proto.ControlTerm, first, last uint64) effect.Persist {
	p := effect.Persist{HardState: &proto.HardState{Term: term, Vote: "a", Commit: first - 1}}
	for i := first; i <= last; i++ {
		p.Entries = append(p.Entries, entry(i, term))
	}
	return p
}

func open(t *testing.T, dir string) *Log {
	t.Helper()
	l, err := Open(dir, "c1")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// closeAndReopen closes a log, opens it again and returns its content.
func closeAndReopen(t *testing.T, l *Log) consensus.PersistentState {
	t.Helper()
	assert.NilError(t, l.Close())
	return open(t, l.folder.path).Saved()
}

// newClusterLog returns the log of a new cluster with entries 2 to 5.
func newClusterLog(t *testing.T) *Log {
	t.Helper()
	dir := t.TempDir()
	_, err := Init(dir, proto.Voter{Host: "c1", Address: "127.0.0.1:1"})
	assert.NilError(t, err)
	l := open(t, dir)
	assert.NilError(t, l.Persist(persistEntries(2, 2, 4)))
	assert.NilError(t, l.Persist(persistEntries(2, 5, 5)))
	return l
}

func TestPersistedDataIsReadBack(t *testing.T) {
	l := newClusterLog(t)
	host := l.Host()
	assert.Assert(t, strings.HasPrefix(string(host), "c1."))
	assert.NilError(t, l.Persist(persistEntries(3, 4, 4))) // replaces 4 and 5
	want := l.Saved()
	assert.Equal(t, len(want.Entries), 3)
	got := closeAndReopen(t, l)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, got.Snapshot.Voters[0].Host, host)
}

func TestInitRefusesUsedFolder(t *testing.T) {
	l := newClusterLog(t)
	assert.NilError(t, l.Close())
	_, err := Init(l.folder.path, proto.Voter{Host: "c1"})
	assert.ErrorContains(t, err, "holds a control host already")
}

// TestFoundersStartFromTheSameVoters checks that a founder keeps its identity as long as
// its folder, and gets another one without it.
func TestFoundersStartFromTheSameVoters(t *testing.T) {
	voters := []proto.Voter{{Host: "a.founder", Address: "a"}, {Host: "b.founder", Address: "b"}}
	for _, v := range voters {
		dir := t.TempDir()
		assert.NilError(t, Found(dir, v.Host, voters))
		assert.ErrorContains(t, Found(dir, v.Host, voters), "holds a control host already")
		l := open(t, dir)
		assert.Equal(t, l.Host(), v.Host)
		assert.DeepEqual(t, l.Saved().Snapshot.Voters, voters)
		assert.NilError(t, l.Close())
		assert.Assert(t, open(t, t.TempDir()).Host() != v.Host)
	}
}

func TestLostFolderGetsNewIdentity(t *testing.T) {
	l := newClusterLog(t)
	old := l.Host()
	assert.NilError(t, l.Close())
	assert.NilError(t, os.RemoveAll(l.folder.path))
	again := open(t, l.folder.path)
	assert.Assert(t, again.Host() != old)
	assert.Assert(t, again.Saved().Snapshot == nil)
	assert.Equal(t, len(again.Saved().Entries), 0)
}

func TestFolderIsLocked(t *testing.T) {
	l := newClusterLog(t)
	_, err := Open(l.folder.path, "c1")
	assert.ErrorContains(t, err, "in use by another process")
}

// TestFilesAreReadableByTheirUserOnly checks the modes of the files that hold the text of
// the operators' configuration, also after a copy that changed them.
func TestFilesAreReadableByTheirUserOnly(t *testing.T) {
	l := newClusterLog(t)
	p := persistEntries(2, 6, 6)
	p.Snapshot = &proto.Snapshot{Index: 4, Term: 2}
	assert.NilError(t, l.Persist(p))
	check := func() {
		t.Helper()
		entries, err := os.ReadDir(l.folder.path)
		assert.NilError(t, err)
		assert.Assert(t, len(entries) >= 2)
		for _, e := range entries {
			info, err := e.Info()
			assert.NilError(t, err)
			assert.Equal(t, info.Mode().Perm(), os.FileMode(fileMode), e.Name())
		}
	}
	check()
	assert.NilError(t, l.Close())
	for _, name := range []string{snapshotFile, logFile} {
		assert.NilError(t, os.Chmod(l.folder.filePath(name), 0o644))
	}
	l = open(t, l.folder.path)
	check()
}

func TestSnapshotRotatesLog(t *testing.T) {
	l := newClusterLog(t)
	p := persistEntries(2, 6, 6)
	p.Snapshot = &proto.Snapshot{Index: 4, Term: 2}
	assert.NilError(t, l.Persist(p))
	assert.NilError(t, l.Persist(persistEntries(2, 7, 7)))
	got := closeAndReopen(t, l)
	assert.Equal(t, got.Snapshot.Index, uint64(4))
	assert.Equal(t, len(got.Entries), 3)
	assert.Equal(t, got.Entries[0].Index, uint64(5))
}

func TestSnapshotOfAnotherHistoryDropsEntries(t *testing.T) {
	l := newClusterLog(t)
	assert.NilError(t, l.Persist(effect.Persist{Snapshot: &proto.Snapshot{Index: 5, Term: 3}}))
	assert.Equal(t, len(closeAndReopen(t, l).Entries), 0)
}

// TestCrashBetweenSnapshotAndRotation opens a folder with a new snapshot and the
// old log, as a crash between the two writes leaves it.
func TestCrashBetweenSnapshotAndRotation(t *testing.T) {
	l := newClusterLog(t)
	path := filepath.Join(l.folder.path, logFile)
	before, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, l.Persist(effect.Persist{Snapshot: &proto.Snapshot{Index: 4, Term: 2}}))
	assert.NilError(t, l.Close())
	assert.NilError(t, os.WriteFile(path, before, 0o600))
	got := open(t, l.folder.path).Saved()
	assert.Equal(t, got.Snapshot.Index, uint64(4))
	assert.Equal(t, len(got.Entries), 1)
	assert.Equal(t, got.Entries[0].Index, uint64(5))
}

// fullFile is a log file whose writes fail half-way while the disk is full.
type fullFile struct {
	logHandle
	diskFull, syncFails bool
}

func (f *fullFile) WriteAt(b []byte, at int64) (int, error) {
	if !f.diskFull {
		return f.logHandle.WriteAt(b, at)
	}
	n, _ := f.logHandle.WriteAt(b[:len(b)/2], at)
	return n, &os.PathError{Op: "write", Err: syscall.ENOSPC}
}

func (f *fullFile) Sync() error {
	if f.syncFails {
		return &os.PathError{Op: "sync", Err: syscall.ENOSPC}
	}
	return f.logHandle.Sync()
}

func TestWriteToAFullDiskIsRetried(t *testing.T) {
	l := newClusterLog(t)
	disk := &fullFile{logHandle: l.file, diskFull: true}
	l.file = disk
	for range 2 {
		assert.Assert(t, errors.Is(l.Persist(persistEntries(3, 6, 8)), syscall.ENOSPC))
	}
	disk.diskFull = false
	assert.NilError(t, l.Persist(persistEntries(3, 6, 8)))
	assert.NilError(t, l.Persist(persistEntries(3, 9, 9)))
	saved := closeAndReopen(t, l)
	assert.Equal(t, saved.Entries[len(saved.Entries)-1].Index, uint64(9))
	assert.Equal(t, saved.HardState.Term, proto.ControlTerm(3))
}

// TestRestartWithAFullDisk checks that entries that were synced before the disk
// was full can be read after a restart.
func TestRestartWithAFullDisk(t *testing.T) {
	l := newClusterLog(t)
	l.file = &fullFile{logHandle: l.file, diskFull: true}
	assert.Assert(t, l.Persist(persistEntries(3, 6, 8)) != nil)
	saved := closeAndReopen(t, l)
	assert.Equal(t, saved.Entries[len(saved.Entries)-1].Index, uint64(5))
}

// TestFailedSyncIsFinal checks that the log accepts no writes after a failed sync,
// even if the disk was full: it is unknown what reached the disk.
func TestFailedSyncIsFinal(t *testing.T) {
	l := newClusterLog(t)
	disk := &fullFile{logHandle: l.file, syncFails: true}
	l.file = disk
	err := l.Persist(persistEntries(3, 6, 6))
	assert.Assert(t, err != nil && !errors.Is(err, syscall.ENOSPC))
	disk.syncFails = false
	assert.Assert(t, l.Persist(persistEntries(3, 6, 6)) != nil)
}
