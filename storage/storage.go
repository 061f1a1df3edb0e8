// Package storage keeps the data folder of a control host: its identity, its
// snapshot and its control log. What Persist wrote is synced when it returns.
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
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Log is an open data folder. It implements runtime.ControlLog. One goroutine
// uses it.
type Log struct {
	folder *folder
	host   types.HostID
	file   logHandle
	size   int64
	saved  consensus.PersistentState // what the files hold
	failed error                     // first error of Persist; the files are of no more use
}

// Init writes a new cluster with self as its only voter into an empty folder.
// self.Host is the configured name; the voter that Init returns carries the
// identity made from it.
func Init(dir string, self proto.Voter) (proto.Voter, error) {
	f, err := openFolder(dir)
	if err != nil {
		return self, err
	}
	defer func() { _ = f.close() }()
	made := false
	_, err = f.identity(string(self.Host), func(host types.HostID) error {
		made = true
		self.Host = host
		return f.writeFirst(self)
	})
	if err == nil && !made {
		err = trace.AlreadyExists("data folder %s holds a control host already", dir)
	}
	return self, err
}

// firstTerm is the term of the snapshot that a cluster begins with.
const firstTerm = 1

// writeFirst writes the files of a cluster with one voter.
func (f *folder) writeFirst(self proto.Voter) error {
	snapshot, err := encodeRecord(&proto.Snapshot{Index: 1, Term: firstTerm, Voters: []proto.Voter{self}})
	if err != nil {
		return err
	}
	if err := f.replace(snapshotFile, snapshot); err != nil {
		return err
	}
	return f.writeLog(logRecord{HardState: &proto.HardState{Term: firstTerm, Commit: 1}})
}

// writeEmpty writes the files of a host that is not part of a cluster yet.
func (f *folder) writeEmpty() error {
	if err := os.Remove(f.file(snapshotFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return trace.ConvertSystemError(err)
	}
	return f.writeLog(logRecord{})
}

// Open locks the folder and reads it. An empty folder gets an identity made
// from the configured name; the identity of any other folder stays.
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
	l.host, err = l.folder.identity(name, func(types.HostID) error {
		return l.folder.writeEmpty()
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

// readSnapshot reads the snapshot, if there is one.
func (l *Log) readSnapshot() error {
	b, err := l.folder.read(snapshotFile)
	if err != nil || b == nil {
		return err
	}
	var s proto.Snapshot
	rest, err := decodeRecord(b, &s)
	if err != nil || len(rest) > 0 {
		return l.folder.damage(snapshotFile, "its checksum differs")
	}
	l.saved.Snapshot = &s
	return nil
}

// readLog reads the records of the log and cuts off a torn tail.
func (l *Log) readLog() error {
	b, err := l.folder.read(logFile)
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
			return l.folder.damage(logFile, trace.Unwrap(err).Error())
		}
		rest = next
	}
	l.size = int64(len(b) - len(rest))
	l.saved.DropCovered()
	return l.checkStart()
}

// checkStart refuses a log whose snapshot is missing.
func (l *Log) checkStart() error {
	var base uint64
	if l.saved.Snapshot != nil {
		base = l.saved.Snapshot.Index
	}
	es := l.saved.Entries
	if len(es) > 0 && es[0].Index != base+1 || l.saved.HardState.Commit > base+uint64(len(es)) {
		return l.folder.damage(snapshotFile, "it is missing or does not fit the log")
	}
	return nil
}

// openLog opens the log for appending and drops the torn tail on disk.
func (l *Log) openLog() (err error) {
	file, err := os.OpenFile(l.folder.file(logFile), os.O_RDWR, 0o600)
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

// Saved returns what the folder holds.
func (l *Log) Saved() consensus.PersistentState { return l.saved }

// logHandle is the open log file.
type logHandle interface {
	WriteAt(b []byte, at int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Persist appends and syncs. A full disk is told by an error that is
// syscall.ENOSPC: the same write may be tried again. After any other error the log
// takes nothing more: it is not known what reached the disk.
func (l *Log) Persist(p effect.Persist) error {
	if l.failed != nil {
		return l.failed
	}
	err := l.persist(p)
	if !errors.Is(err, syscall.ENOSPC) {
		l.failed = err
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
		return trace.Errorf("syncing the log: %v", err) // not to be tried again, whatever it is
	}
	l.size += int64(len(b))
	return nil
}

// rotate writes a snapshot and then a new log with what follows it. After a
// crash in between, the old log is read against the new snapshot.
func (l *Log) rotate(s *proto.Snapshot) error {
	snapshot, err := encodeRecord(s)
	if err != nil {
		return err
	}
	if err := l.folder.replace(snapshotFile, snapshot); err != nil {
		return err
	}
	if err := l.folder.writeLog(logRecord{HardState: &l.saved.HardState, Entries: l.saved.Entries}); err != nil {
		return err
	}
	return l.reopen()
}

// reopen continues in the log that replaced the one before.
func (l *Log) reopen() error {
	if err := l.file.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	info, err := os.Stat(l.folder.file(logFile))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	l.size = info.Size()
	return l.openLog()
}

// writeLog replaces the log by one record.
func (f *folder) writeLog(r logRecord) error {
	b, err := encodeRecord(r)
	if err != nil {
		return err
	}
	return f.replace(logFile, b)
}

// Close unlocks the folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = trace.ConvertSystemError(l.file.Close())
	}
	return trace.NewAggregate(err, l.folder.close())
}
