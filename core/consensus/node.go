// Package consensus keeps one log of commands on the control hosts: leader
// election with pre-vote and quorum check, replication, snapshots, and change
// of voters one host at a time. It is a pure state machine: the host feeds
// events to Node.Step and carries out the effects.
package consensus

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Saved is what a control host finds in its data folder.
type Saved struct {
	HardState proto.HardState
	Snapshot  *proto.Snapshot
	Entries   []proto.Entry
}

// Options configures a Node.
type Options struct {
	Self  proto.Voter
	Saved Saved
	// State returns the replicated state after the last committed entry, for
	// a snapshot.
	State func() proto.ClusterState
}

// Node is the consensus part of a control host.
type Node struct{}

// New returns a node that begins with what was saved. Without any voter in
// Saved it asks the other control hosts to take it in as a learner.
func New(Options) *Node { return &Node{} }

// LeadsUntil returns the instant until which no other host can have been
// elected, or zero when this host does not lead.
func (n *Node) LeadsUntil() types.Instant { return 0 }

// Step takes in one event.
func (n *Node) Step(event.Input) []effect.Effect { return nil }
