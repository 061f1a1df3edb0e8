// Package operator answers the calls of operators on a control host: it checks
// them against the replicated state, proposes commands and replies once they
// are committed.
package operator

import (
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Desk holds the calls that wait for their commands to be committed.
type Desk struct{}

// New returns a desk without calls.
func New(self types.HostID, state *cluster.State, leases *lease.Table) *Desk { return &Desk{} }

// Step takes in one event.
func (d *Desk) Step(event.Input) []effect.Effect { return nil }
