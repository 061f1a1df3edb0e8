// Package lease decides who may serve. Table is control's side: it grants
// leases to proxies and knows when every proxy acts on a view or has lost its
// lease. Holder is the proxy's side.
package lease

import (
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Leadership tells how long this host surely leads.
type Leadership interface {
	LeadsUntil() types.Instant
}

// ShareSource says what a proxy may use of each target.
type ShareSource interface {
	Shares(proxy types.HostID) []proto.ShareGrant
}

// Table is the leases that this host granted as leader.
type Table struct{}

// NewTable returns an empty table.
func NewTable(self types.HostID, state *cluster.State, lead Leadership) *Table { return &Table{} }

// SetShares names the source of the shares that grants carry.
func (t *Table) SetShares(s ShareSource) {}

// Fenced reports whether every proxy acts on a view of at least version, or
// holds no lease.
func (t *Table) Fenced(version uint64, now types.Instant) bool { return false }

// Requests returns the last request of each proxy whose lease is live.
func (t *Table) Requests(now types.Instant) []proto.LeaseRequest { return nil }

// Step grants leases.
func (t *Table) Step(event.Input) []effect.Effect { return nil }
