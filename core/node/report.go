package node

import (
	"maps"
	"slices"
	"strings"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// fill completes a lease request with what this proxy has to report.
func (n *Node) fill(r *proto.LeaseRequest) {
	r.Seen = n.minSeen()
	r.Reports = n.prober.Reports(n.now)
	r.Held = n.held()
	r.Announcements = n.news.next(n.now, r.Seq)
	r.Quiet = n.quiet()
	r.Draining = n.draining && n.idle()
}

// minSeen returns the version that all shards act on, zero while one has not
// reported.
func (n *Node) minSeen() uint64 {
	if len(n.shards) < n.options.Shards || len(n.shards) == 0 {
		return 0
	}
	seen := n.shards[0].Seen
	for _, r := range n.shards {
		seen = min(seen, r.Seen)
	}
	return seen
}

// idle reports whether no shard has a session left.
func (n *Node) idle() bool {
	for _, r := range n.shards {
		if r.Sessions > 0 || r.Busy > 0 {
			return false
		}
	}
	return len(n.shards) == n.options.Shards
}

// waiting returns the services whose positions some shard waits for.
func (n *Node) waiting() map[types.ServiceName]bool {
	return n.services(func(r event.ShardReport) []types.ServiceName { return r.Waiting })
}

// suspects returns the services whose primary failed some shard.
func (n *Node) suspects() map[types.ServiceName]bool {
	return n.services(func(r event.ShardReport) []types.ServiceName { return r.Suspect })
}

// services returns the services that some shard lists in a part of its report.
func (n *Node) services(listed func(event.ShardReport) []types.ServiceName) map[types.ServiceName]bool {
	out := make(map[types.ServiceName]bool)
	for _, r := range n.shards {
		for _, s := range listed(r) {
			out[s] = true
		}
	}
	return out
}

// silent returns since when primaries answer no requests of some shard.
func (n *Node) silent() map[types.ServiceName]types.Instant {
	return merged(n.shards, func(r event.ShardReport) map[types.ServiceName]types.Instant { return r.Silent }, earlier)
}

// served returns when primaries last answered a request of some shard.
func (n *Node) served() map[types.TargetRef]types.Instant {
	return merged(n.shards, func(r event.ShardReport) map[types.TargetRef]types.Instant { return r.Served }, later)
}

func earlier(a, b types.Instant) types.Instant { return min(a, b) }
func later(a, b types.Instant) types.Instant   { return max(a, b) }

// merged puts together what shards report; pick chooses among two of them.
func merged[K comparable](
	shards map[int]event.ShardReport, of func(event.ShardReport) map[K]types.Instant, pick func(a, b types.Instant) types.Instant,
) map[K]types.Instant {
	out := make(map[K]types.Instant)
	for _, r := range shards {
		for k, at := range of(r) {
			if have, ok := out[k]; ok {
				at = pick(have, at)
			}
			out[k] = at
		}
	}
	return out
}

// quiet returns the quiescing services without work under way on the primary.
// All shards must act on the view that said so: until then none is quiet.
func (n *Node) quiet() []types.ServiceName {
	if n.cluster == nil || n.minSeen() < n.cluster.Version {
		return nil
	}
	writing := n.services(func(r event.ShardReport) []types.ServiceName { return r.Writing })
	var out []types.ServiceName
	for _, name := range slices.Sorted(maps.Keys(n.cluster.Groups)) {
		if n.cluster.Groups[name].Phase == types.GroupQuiescing && !writing[name] {
			out = append(out, name)
		}
	}
	return out
}

// held returns what the shards may at most use of each target: what they hold,
// and what the last views allowed them.
func (n *Node) held() []proto.ShareHeld {
	most := n.shares.most(n.now)
	open := make(map[types.TargetRef]int)
	wanted := n.wanted.peaks(n.now)
	for _, r := range n.shards {
		for ref, count := range r.Open {
			open[ref] += count
		}
	}
	refs := make(map[types.TargetRef]bool)
	for ref := range most {
		refs[ref] = true
	}
	for ref := range open {
		refs[ref] = true
	}
	for ref := range wanted {
		refs[ref] = true
	}
	out := make([]proto.ShareHeld, 0, len(refs))
	for _, ref := range sortedRefs(refs) {
		share := most[ref]
		share.Connections = max(share.Connections, open[ref])
		out = append(out, proto.ShareHeld{Ref: ref, Share: share, Wanted: wanted[ref]})
	}
	return out
}

// wants returns how many connections of each target all shards could use.
func (n *Node) wants() map[types.TargetRef]int {
	out := make(map[types.TargetRef]int)
	for _, r := range n.shards {
		for ref, count := range r.Wanted {
			out[ref] += count
		}
	}
	return out
}

func sortedRefs[V any](m map[types.TargetRef]V) []types.TargetRef {
	return slices.SortedFunc(maps.Keys(m), func(a, b types.TargetRef) int {
		return strings.Compare(a.String(), b.String())
	})
}
