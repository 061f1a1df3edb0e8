package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/identity"
	"github.com/gravitational/trace"
)

// The files of a data folder.
const (
	lockFile     = "lock"
	formatFile   = "format"
	identityFile = "identity" // written last; without it the folder holds nothing
	snapshotFile = "snapshot"
	logFile      = "log"
	tempSuffix   = ".tmp"
)

// formatVersion is the version of the files. Another one is refused.
const formatVersion = "camphorpaddle control data 1\n"

// folder is a locked data folder.
type folder struct {
	path string
	lock *os.File
}

// openFolder creates the folder if need be, and locks it against other
// processes.
func openFolder(path string) (*folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, trace.AlreadyExists("data folder %s is in use by another process", path)
	}
	return &folder{path: path, lock: lock}, nil
}

// close unlocks the folder.
func (f *folder) close() error { return trace.ConvertSystemError(f.lock.Close()) }

func (f *folder) file(name string) string { return filepath.Join(f.path, name) }

// read returns the content of a file, or nil when there is none.
func (f *folder) read(name string) ([]byte, error) {
	b, err := os.ReadFile(f.file(name))
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

// replace writes a file in one step: after a crash it holds the old content or
// the new one.
func (f *folder) replace(name string, content []byte) error {
	temp := f.file(name + tempSuffix)
	if err := writeSynced(temp, content); err != nil {
		return err
	}
	if err := os.Rename(temp, f.file(name)); err != nil {
		return trace.Wrap(err)
	}
	return f.sync()
}

func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return trace.Wrap(errors.Join(err, file.Close()))
}

// sync makes renames in the folder last.
func (f *folder) sync() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return trace.Wrap(err)
	}
	err = dir.Sync()
	return trace.Wrap(errors.Join(err, dir.Close()))
}

// identity returns the identity of the folder. A folder that holds nothing is
// set up with the given snapshot and log first.
func (f *folder) identity(name string, setUp func(types.HostID) error) (types.HostID, error) {
	if err := f.checkFormat(); err != nil {
		return "", err
	}
	id, err := f.read(identityFile)
	if err != nil {
		return "", err
	}
	if id != nil {
		return f.savedIdentity(string(id))
	}
	if err := f.checkEmpty(); err != nil {
		return "", err
	}
	host, err := identity.New(types.HostID(name))
	if err != nil {
		return "", err
	}
	if err := setUp(host); err != nil {
		return "", err
	}
	return host, f.replace(identityFile, []byte(string(host)+"\n"))
}

// checkFormat refuses a folder of another version and marks a new one.
func (f *folder) checkFormat() error {
	format, err := f.read(formatFile)
	if err != nil {
		return err
	}
	if format == nil {
		return f.replace(formatFile, []byte(formatVersion))
	}
	if string(format) != formatVersion {
		return trace.BadParameter("data folder %s has format %q; this program reads only %q",
			f.path, strings.TrimSpace(string(format)), strings.TrimSpace(formatVersion))
	}
	return nil
}

// savedIdentity checks that the log of a host is still there: without it the
// host must not vote under its old identity.
func (f *folder) savedIdentity(text string) (types.HostID, error) {
	host := strings.TrimSuffix(text, "\n")
	if host == "" || host == text {
		return "", f.damage(identityFile, "it is incomplete")
	}
	if _, err := os.Stat(f.file(logFile)); err != nil {
		return "", f.damage(logFile, "it is missing")
	}
	return types.HostID(host), nil
}

// checkEmpty refuses a folder without identity that a host has worked with.
// What a crash left of the set-up is a log of at most one record.
func (f *folder) checkEmpty() error {
	content, err := f.read(logFile)
	if err != nil || content == nil {
		return err
	}
	var r logRecord
	rest, err := decodeRecord(content, &r)
	if err != nil || len(rest) > 0 || len(r.Entries) > 0 {
		return f.damage(identityFile, "it is missing")
	}
	return nil
}

// damage returns the error that stops the start of a host.
func (f *folder) damage(file, what string) error {
	return trace.CompareFailed("data folder %s: file %s: %s. If the other control hosts have a quorum, "+
		"move the folder away and start with an empty one: the host joins under a new identity. "+
		"Otherwise restore the folder from a copy", f.path, file, what)
}
