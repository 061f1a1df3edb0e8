// Package session serves callers on one traffic shard of a proxy: it gives each
// session its floor, each request a target, and acknowledges a write only while
// the lease is live, the term is current and the write is durable.
package session

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Options configures a Shard.
type Options struct {
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	Index            int
}

// Shard is the traffic state of one shard.
type Shard struct{}

// NewShard returns a shard without sessions.
func NewShard(Options) *Shard { return &Shard{} }

// Step takes in one event; Input.View is the view to act on.
func (s *Shard) Step(event.Input) []effect.Effect { return nil }
