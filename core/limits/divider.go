// Package limits divides the connections and slots of each target among the
// proxies. A share shrinks before another grows, so that the sum never passes
// what the target accepts.
package limits

import (
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Divider holds the shares that this host granted as leader.
type Divider struct{}

// New returns a divider that has granted nothing.
func New(state *cluster.State, leases *lease.Table) *Divider { return &Divider{} }

// Shares returns what a proxy may use of each target.
func (d *Divider) Shares(proxy types.HostID) []proto.ShareGrant { return nil }

// Step takes in one event.
func (d *Divider) Step(event.Input) []effect.Effect { return nil }
