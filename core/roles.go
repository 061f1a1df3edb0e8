package core

import (
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/division"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/limits"
	"github.com/camphorpaddle/camphorpaddle/core/membership"
	"github.com/camphorpaddle/camphorpaddle/core/node"
	"github.com/camphorpaddle/camphorpaddle/core/operator"
	"github.com/camphorpaddle/camphorpaddle/core/promotion"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/session"
)

// NewControlHost returns the reducer of a control host: consensus, the
// replicated state, and the parts that use it while the host is the leader.
func NewControlHost(self proto.Voter, saved consensus.PersistentState, policy consensus.Policy) *Reducer {
	state := cluster.New()
	raft := consensus.New(consensus.Options{Self: self, Saved: saved, State: state.Snapshot, Policy: policy})
	leases := lease.NewTable(self.Host, state, raft)
	shares := limits.New(state, leases)
	leases.SetShares(shares)
	quotas := division.New(state, leases)
	leases.SetQuotas(quotas)
	promotions := promotion.New(state, leases)
	leases.SetSuspects(promotions)
	operators := operator.New(self.Host, state, leases)
	operators.SetQuotas(quotas)
	return New(
		raft,
		state,
		leases,
		shares,
		quotas,
		membership.New(state),
		promotions,
		operators,
	)
}

// NewProxy returns the reducer of a proxy's control goroutine.
func NewProxy(o node.Options) *Reducer { return New(node.New(o)) }

// NewShard returns the reducer of one traffic shard.
func NewShard(o session.Options) *Reducer { return New(session.NewShard(o)) }
