// Package storage stores the identity, the snapshot and the control log of a
// control host in its data folder. Persist returns after its data was synced.
package storage

import (
	"errors"
	"io/fs"
	"os"
	"syscall"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/identity"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Log is an open data folder. It implements runtime.ControlLog and is not safe
// for concurrent use.
type Log struct {
	folder     *folder
	host       types.HostID
	file       logHandle
	size       int64
	saved      consensus.PersistentState // content of the files
	persistErr error                     // first error of Persist except a full disk; later calls return it
}

// Init sets up an empty folder for a new cluster whose only voter is self.
// self.Host is the configured name; the voter that Init returns has the identity
// generated from it.
func Init(dir string, self proto.Voter) (proto.Voter, error) {
	host, err := identity.New(self.Host)
	if err != nil {
		return self, err
	}
	self.Host = host
	return self, Found(dir, host, []proto.Voter{self})
}

// Found sets up an empty folder for one of the voters of a new cluster. All of them
// start from the same voters, in the same order.
func Found(dir string, host types.HostID, voters []proto.Voter) error {
	f, err := openFolder(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.close() }()
	created := false
	_, err = f.loadIdentity(func() (types.HostID, error) {
		created = true
		return host, f.writeInitialFiles(voters)
	})
	if err == nil && !created {
		err = trace.AlreadyExists("data folder %s holds a control host already", dir)
	}
	return err
}

// initialTerm is the term of a new cluster's first snapshot.
const initialTerm = 1

// writeInitialFiles writes the files of a new cluster.
func (f *folder) writeInitialFiles(voters []proto.Voter) error {
	snapshot, err := encodeRecord(&proto.Snapshot{Index: 1, Term: initialTerm, Voters: voters})
	if err != nil {
		return err
	}
	if err := f.replaceFile(snapshotFile, snapshot); err != nil {
		return err
	}
	return f.writeLog(logRecord{HardState: &proto.HardState{Term: initialTerm, Commit: 1}})
}

// writeUnjoinedFiles writes the files of a host that has not joined a cluster yet.
func (f *folder) writeUnjoinedFiles() error {
	if err := os.Remove(f.filePath(snapshotFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return trace.ConvertSystemError(err)
	}
	return f.writeLog(logRecord{})
}

// Open locks the folder and reads it. An empty folder gets an identity generated
// from the configured name; any other folder keeps its identity.
func Open(dir, name string) (*Log, error) {
	f, err := openFolder(dir)
	if err != nil {
		return nil, err
	}
	l := &Log{folder: f}
	if err := l.load(name); err != nil {
		return nil, trace.NewAggregate(err, l.Close())
	}
	return l, nil
}

func (l *Log) load(name string) (err error) {
	l.host, err = l.folder.loadIdentity(func() (types.HostID, error) {
		host, err := identity.New(types.HostID(name))
		if err != nil {
			return "", err
		}
		return host, l.folder.writeUnjoinedFiles()
	})
	if err != nil {
		return err
	}
	if err := l.readSnapshot(); err != nil {
		return err
	}
	if err := l.readLog(); err != nil {
		return err
	}
	return l.openLog()
}

// readSnapshot reads the snapshot if it exists.
func (l *Log) readSnapshot() error {
	b, err := l.folder.readFile(snapshotFile)
	if err != nil || b == nil {
		return err
	}
	var s proto.Snapshot
	rest, err := decodeRecord(b, &s)
	if err != nil || len(rest) > 0 {
		return l.folder.corrupted(snapshotFile, "it is incomplete or its checksum does not match")
	}
	l.saved.Snapshot = &s
	return nil
}

// readLog reads the records of the log and ignores a torn record at its end.
func (l *Log) readLog() error {
	b, err := l.folder.readFile(logFile)
	if err != nil {
		return err
	}
	rest := b
	for len(rest) > 0 {
		var r logRecord
		next, err := decodeRecord(rest, &r)
		if errors.As(err, new(tornError)) {
			klog.InfoS("control_log_tail_cut", "folder", l.folder.path, "host", l.host,
				"offset", len(b)-len(rest), "bytes", len(rest), "reason", err.Error())
			break
		}
		if err == nil {
			err = l.saved.Apply(effect.Persist{HardState: r.HardState, Entries: r.Entries})
		}
		if err != nil {
			return l.folder.corrupted(logFile, trace.Unwrap(err).Error())
		}
		rest = next
	}
	l.size = int64(len(b) - len(rest))
	l.saved.DropCovered()
	return l.checkSnapshotMatchesLog()
}

// checkSnapshotMatchesLog refuses a log that does not continue the snapshot.
func (l *Log) checkSnapshotMatchesLog() error {
	var base uint64
	if l.saved.Snapshot != nil {
		base = l.saved.Snapshot.Index
	}
	es := l.saved.Entries
	if len(es) > 0 && es[0].Index != base+1 || l.saved.HardState.Commit > base+uint64(len(es)) {
		return l.folder.corrupted(snapshotFile, "it is missing or does not match the log")
	}
	return nil
}

// openLog opens the log for appending and truncates a torn record at its end.
func (l *Log) openLog() (err error) {
	file, err := os.OpenFile(l.folder.filePath(logFile), os.O_RDWR, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	l.file = file
	if err := l.file.Truncate(l.size); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(l.file.Sync())
}

// Host returns the identity of the folder.
func (l *Log) Host() types.HostID { return l.host }

// Saved returns the content of the folder.
func (l *Log) Saved() consensus.PersistentState { return l.saved }

// logHandle is an open log file; tests replace it to make writes fail.
type logHandle interface {
	WriteAt(b []byte, at int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Persist appends p to the log and syncs it. If the disk is full, the error wraps
// syscall.ENOSPC and the same write may be retried. After any other error the log
// accepts no more writes, because it is unknown what reached the disk.
func (l *Log) Persist(p effect.Persist) error {
	if l.persistErr != nil {
		return l.persistErr
	}
	err := l.persist(p)
	if !errors.Is(err, syscall.ENOSPC) {
		l.persistErr = err
	}
	return err
}

func (l *Log) persist(p effect.Persist) error {
	if err := l.saved.Apply(p); err != nil {
		return err
	}
	if p.Snapshot != nil {
		return l.rotate(p.Snapshot)
	}
	b, err := encodeRecord(logRecord{HardState: p.HardState, Entries: p.Entries})
	if err != nil {
		return err
	}
	if _, err := l.file.WriteAt(b, l.size); err != nil {
		return trace.Wrap(err, "appending to the log")
	}
	if err := l.file.Sync(); err != nil {
		return trace.Errorf("syncing the log: %v", err) // not wrapped: must not be retried, even after ENOSPC
	}
	l.size += int64(len(b))
	return nil
}

// rotate writes a snapshot and then a new log with the entries after it. After a
// crash in between, the old log is read together with the new snapshot.
func (l *Log) rotate(s *proto.Snapshot) error {
	snapshot, err := encodeRecord(s)
	if err != nil {
		return err
	}
	if err := l.folder.replaceFile(snapshotFile, snapshot); err != nil {
		return err
	}
	if err := l.folder.writeLog(logRecord{HardState: &l.saved.HardState, Entries: l.saved.Entries}); err != nil {
		return err
	}
	return l.reopenLog()
}

// reopenLog opens the log file that replaced the previous one.
func (l *Log) reopenLog() error {
	if l.file != nil {
		err := l.file.Close()
		l.file = nil // a retry must not close it again
		if err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	info, err := os.Stat(l.folder.filePath(logFile))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	l.size = info.Size()
	return l.openLog()
}

// writeLog replaces the log by one that holds only r.
func (f *folder) writeLog(r logRecord) error {
	b, err := encodeRecord(r)
	if err != nil {
		return err
	}
	return f.replaceFile(logFile, b)
}

// Close closes the log and unlocks the folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = trace.ConvertSystemError(l.file.Close())
	}
	return trace.NewAggregate(err, l.folder.close())
}
