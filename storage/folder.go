package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
)

// The files of a data folder.
const (
	lockFile     = "lock"
	formatFile   = "format"
	identityFile = "identity" // written last; a folder without it is not set up
	snapshotFile = "snapshot"
	logFile      = "log"
	tempSuffix   = ".tmp"
)

// fileMode lets only the user of the process read the files: the text of the operators'
// configuration holds the keys of organisations.
const fileMode = 0o600

// formatVersion identifies the format of the files. A folder in any other
// format is refused.
const formatVersion = "camphorpaddle control data 1\n"

// folder is a locked data folder.
type folder struct {
	path string
	lock *os.File
}

// openFolder creates the folder if it does not exist, and locks it against
// other processes.
func openFolder(path string) (*folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, trace.AlreadyExists("data folder %s is in use by another process", path)
	}
	f := &folder{path: path, lock: lock}
	return f, f.restrictFiles()
}

// restrictFiles sets the mode of files that came with another one, as from a backup.
func (f *folder) restrictFiles() error {
	for _, name := range []string{snapshotFile, logFile, snapshotFile + tempSuffix, logFile + tempSuffix} {
		info, err := os.Stat(f.filePath(name))
		if errors.Is(err, fs.ErrNotExist) || err == nil && info.Mode().Perm() == fileMode {
			continue
		}
		if err == nil {
			err = os.Chmod(f.filePath(name), fileMode)
		}
		if err != nil {
			_ = f.close()
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// close unlocks the folder.
func (f *folder) close() error { return trace.ConvertSystemError(f.lock.Close()) }

func (f *folder) filePath(name string) string { return filepath.Join(f.path, name) }

// readFile returns the content of a file, or nil if the file does not exist.
func (f *folder) readFile(name string) ([]byte, error) {
	b, err := os.ReadFile(f.filePath(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if b == nil {
		b = []byte{}
	}
	return b, nil
}

// replaceFile writes a file atomically: after a crash it holds either the old
// content or the new one.
func (f *folder) replaceFile(name string, content []byte) error {
	temp := f.filePath(name + tempSuffix)
	if err := writeFileSynced(temp, content); err != nil {
		_ = os.Remove(temp) // what was written of it would keep a full disk full
		return err
	}
	if err := os.Rename(temp, f.filePath(name)); err != nil {
		return trace.Wrap(err)
	}
	return f.syncFolder()
}

func writeFileSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return trace.Wrap(errors.Join(err, file.Close()))
}

// syncFolder makes renames in the folder durable.
func (f *folder) syncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return trace.Wrap(err)
	}
	err = dir.Sync()
	return trace.Wrap(errors.Join(err, dir.Close()))
}

// loadIdentity returns the identity of the host that the folder belongs to. In a
// folder without one, setUp writes the first snapshot and log, and then the identity
// that it returns is saved.
func (f *folder) loadIdentity(setUp func() (types.HostID, error)) (types.HostID, error) {
	if err := f.checkFormat(); err != nil {
		return "", err
	}
	id, err := f.readFile(identityFile)
	if err != nil {
		return "", err
	}
	if id != nil {
		return f.checkIdentity(string(id))
	}
	if err := f.checkUnused(); err != nil {
		return "", err
	}
	host, err := setUp()
	if err != nil {
		return "", err
	}
	return host, f.replaceFile(identityFile, []byte(string(host)+"\n"))
}

// checkFormat refuses a folder in another format and writes the format file of a
// new one.
func (f *folder) checkFormat() error {
	format, err := f.readFile(formatFile)
	if err != nil {
		return err
	}
	if format == nil {
		return f.replaceFile(formatFile, []byte(formatVersion))
	}
	if string(format) != formatVersion {
		return trace.BadParameter("data folder %s has format %q; this program reads only %q",
			f.path, strings.TrimSpace(string(format)), strings.TrimSpace(formatVersion))
	}
	return nil
}

// checkIdentity checks a saved identity and that the log still exists: without
// its log the host must not vote under its old identity.
func (f *folder) checkIdentity(text string) (types.HostID, error) {
	host := strings.TrimSuffix(text, "\n")
	if host == "" || host == text {
		return "", f.corrupted(identityFile, "it is incomplete")
	}
	if _, err := os.Stat(f.filePath(logFile)); err != nil {
		return "", f.corrupted(logFile, "it is missing")
	}
	return types.HostID(host), nil
}

// checkUnused refuses a folder that a host has used and whose identity is missing.
// A crash during set-up leaves a log of at most one record, without entries.
func (f *folder) checkUnused() error {
	content, err := f.readFile(logFile)
	if err != nil || content == nil {
		return err
	}
	var r logRecord
	rest, err := decodeRecord(content, &r)
	if err != nil || len(rest) > 0 || len(r.Entries) > 0 {
		return f.corrupted(identityFile, "it is missing")
	}
	return nil
}

// corrupted returns the error that keeps a host from starting with an
// invalid or missing file.
func (f *folder) corrupted(file, reason string) error {
	return trace.CompareFailed("data folder %s: file %s: %s. If the other control hosts have a quorum, "+
		"move the folder away and start with an empty one: the host joins under a new identity. "+
		"Otherwise restore the folder from a copy", f.path, file, reason)
}
