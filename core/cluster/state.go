// Package cluster holds the replicated control state: configuration, groups,
// terms and the proxies that may hold a lease. Every control host applies the
// same commands in the same order and reaches the same state.
package cluster

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// State is the replicated state on one control host.
type State struct{}

// New returns the empty state.
func New() *State { return &State{} }

// View returns the state as proxies see it.
func (s *State) View() *types.ClusterView { return nil }

// Snapshot returns the whole state.
func (s *State) Snapshot() proto.ClusterState { return proto.ClusterState{} }

// Update returns what a proxy that holds version have lacks, or nil.
func (s *State) Update(have uint64) *proto.ViewUpdate { return nil }

// Change returns the record of a past configuration change.
func (s *State) Change(id types.ChangeID) (proto.ChangeRecord, bool) {
	return proto.ChangeRecord{}, false
}

// Proxies returns the proxies that may hold a lease, in order of host.
func (s *State) Proxies() []proto.SetProxy { return nil }

// Step applies event.Committed and event.Restored.
func (s *State) Step(event.Input) []effect.Effect { return nil }
