package node

import (
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// fillRequest adds the reports of this proxy to a lease request.
func (n *Node) fillRequest(r *proto.LeaseRequest) {
	r.AppliedVersion = n.minAppliedVersion()
	r.Reports = n.prober.Reports(n.now)
	r.Held = n.heldShares()
	r.Announcements = n.announcements.forRequest(n.now, r.Seq)
	r.Quiesced = n.quiesced()
	r.Draining = n.draining && n.idle()
	n.quotas.fill(r, n.now, n.leaseUntil)
}

// minAppliedVersion returns the lowest view version that a shard has applied, or zero
// until all shards have reported.
func (n *Node) minAppliedVersion() uint64 {
	if len(n.shards) < n.options.Shards || len(n.shards) == 0 {
		return 0
	}
	version := n.shards[0].AppliedVersion
	for _, r := range n.shards {
		version = min(version, r.AppliedVersion)
	}
	return version
}

// idle reports whether all shards have reported and none has a session left.
func (n *Node) idle() bool {
	for _, r := range n.shards {
		if r.Sessions > 0 || r.BusySessions > 0 {
			return false
		}
	}
	return len(n.shards) == n.options.Shards
}

// waiting returns the services for whose log positions a shard waits.
func (n *Node) waiting() map[types.ServiceName]bool {
	return n.services(func(r event.ShardReport) []types.ServiceName { return r.WaitingServices })
}

// suspects returns the services whose primary recently failed a request of a shard.
func (n *Node) suspects() map[types.ServiceName]bool {
	return n.services(func(r event.ShardReport) []types.ServiceName { return r.SuspectServices })
}

// services returns the union of the services that listed returns for each shard's
// report.
func (n *Node) services(listed func(event.ShardReport) []types.ServiceName) map[types.ServiceName]bool {
	out := make(map[types.ServiceName]bool)
	for _, r := range n.shards {
		for _, s := range listed(r) {
			out[s] = true
		}
	}
	return out
}

// silentSince returns, by service, since when the primary has answered no requests of a
// shard: the earliest instant that a shard reports.
func (n *Node) silentSince() map[types.ServiceName]types.Instant {
	return mergeInstants(n.shards, func(r event.ShardReport) map[types.ServiceName]types.Instant { return r.SilentSince }, earlier)
}

// answeredAt returns when primaries last answered a request of any shard.
func (n *Node) answeredAt() map[types.TargetRef]types.Instant {
	return mergeInstants(n.shards, func(r event.ShardReport) map[types.TargetRef]types.Instant { return r.AnsweredAt }, later)
}

func earlier(a, b types.Instant) types.Instant { return min(a, b) }
func later(a, b types.Instant) types.Instant   { return max(a, b) }

// mergeInstants merges the values of all shards' reports. pick chooses one of two values
// of the same key.
func mergeInstants[K comparable](
	shards map[int]event.ShardReport, values func(event.ShardReport) map[K]types.Instant, pick func(a, b types.Instant) types.Instant,
) map[K]types.Instant {
	out := make(map[K]types.Instant)
	for _, r := range shards {
		for k, at := range values(r) {
			if previous, ok := out[k]; ok {
				at = pick(previous, at)
			}
			out[k] = at
		}
	}
	return out
}

// quiesced returns the quiescing services for which no shard has a write or transaction
// in progress on the primary. No service is quiesced until all shards have applied the
// current view, since a shard with an older one may still start work.
func (n *Node) quiesced() []types.ServiceName {
	if n.clusterView == nil || n.minAppliedVersion() < n.clusterView.Version {
		return nil
	}
	writing := n.services(func(r event.ShardReport) []types.ServiceName { return r.WritingServices })
	var out []types.ServiceName
	for _, name := range slices.Sorted(maps.Keys(n.clusterView.Groups)) {
		if n.clusterView.Groups[name].Phase == types.GroupQuiescing && !writing[name] {
			out = append(out, name)
		}
	}
	return out
}

// heldShares returns the most that the shards may use of each target: the larger of what
// recent views allowed and the connections that they hold. Of managed targets it returns
// those of which the shards hold or could use more connections than they keep.
func (n *Node) heldShares() []proto.ShareHeld {
	if n.clusterView == nil {
		return nil
	}
	open := make(map[types.TargetRef]int)
	for _, r := range n.shards {
		for ref, count := range r.Connections {
			open[ref] += count
		}
	}
	held := make(map[types.TargetRef]proto.ShareHeld)
	n.addStrictShares(held, open)
	n.addManagedUses(held, open)
	out := make([]proto.ShareHeld, 0, len(held))
	for _, ref := range sortedRefs(held) {
		out = append(out, held[ref])
	}
	return out
}

// addStrictShares adds what the shards may use of targets that are not managed.
func (n *Node) addStrictShares(held map[types.TargetRef]proto.ShareHeld, open map[types.TargetRef]int) {
	config := n.clusterView.Config
	if config.AllManaged() {
		return
	}
	most := n.shares.largest(n.now)
	demand := n.demand.peaks(n.now)
	for _, known := range []map[types.TargetRef]int{open, demand} {
		for ref := range known {
			if _, ok := most[ref]; !ok {
				most[ref] = types.Share{}
			}
		}
	}
	for ref, share := range most {
		if !config.Managed(ref.Service) {
			share.Connections = max(share.Connections, open[ref])
			held[ref] = proto.ShareHeld{Ref: ref, Share: share, Demand: demand[ref]}
		}
	}
}

// addManagedUses adds what the shards use of managed targets beyond what they keep.
func (n *Node) addManagedUses(held map[types.TargetRef]proto.ShareHeld, open map[types.TargetRef]int) {
	config := n.clusterView.Config
	demand := n.demand.current
	for ref, share := range n.holder.Shares() {
		kept := share.Connections - share.Shared
		full := n.isFull(ref)
		if config.Managed(ref.Service) && (full || max(open[ref], demand[ref]) > kept) {
			held[ref] = proto.ShareHeld{Ref: ref, Share: types.Share{Connections: open[ref]}, Demand: demand[ref], Full: full}
		}
	}
}

// isFull reports whether a target recently rejected a connection of a shard or a probe.
func (n *Node) isFull(ref types.TargetRef) bool {
	if n.prober.Full(ref, n.now) {
		return true
	}
	for _, r := range n.shards {
		if r.Full[ref] {
			return true
		}
	}
	return false
}

// totalDemand returns how many connections of each target all shards together
// could use.
func (n *Node) totalDemand() map[types.TargetRef]int {
	out := make(map[types.TargetRef]int)
	for _, r := range n.shards {
		for ref, count := range r.Demand {
			out[ref] += count
		}
	}
	return out
}

func sortedRefs[V any](m map[types.TargetRef]V) []types.TargetRef {
	return slices.SortedFunc(maps.Keys(m), types.TargetRef.Compare)
}

// quotaUses returns what all shards together use and lack of the limits of organisations.
// A part is divided evenly among the shards, so that the one which needs most counts.
func (n *Node) quotaUses() map[types.OrganisationName]event.QuotaUse {
	out := make(map[types.OrganisationName]event.QuotaUse)
	for _, r := range n.shards {
		for name, use := range r.QuotaUse {
			most := out[name]
			most.Used, most.Waiting, most.Refused = max(most.Used, use.Used), max(most.Waiting, use.Waiting), max(most.Refused, use.Refused)
			out[name] = most
		}
	}
	if n.options.Shards > 1 {
		for name, use := range out {
			out[name] = event.QuotaUse{Used: use.Used * n.options.Shards, Waiting: use.Waiting * n.options.Shards, Refused: use.Refused * n.options.Shards}
		}
	}
	return out
}
