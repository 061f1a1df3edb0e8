// Package node is the control part of a proxy: it keeps the lease, probes the
// targets and publishes to the shards the view that they act on.
package node

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Options configures a Node.
type Options struct {
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	Shards           int
}

// Node is the control state of one proxy.
type Node struct{}

// New returns a node without a lease.
func New(Options) *Node { return &Node{} }

// Step takes in one event.
func (n *Node) Step(event.Input) []effect.Effect { return nil }
