// Package membership keeps the members of each group from what targets say of
// themselves: new ones join, leaving and silent ones get no new work.
package membership

import (
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
)

// Keeper turns announcements into commands while this host leads.
type Keeper struct{}

// New returns a keeper that has heard nothing.
func New(state *cluster.State) *Keeper { return &Keeper{} }

// Step takes in one event.
func (k *Keeper) Step(event.Input) []effect.Effect { return nil }
