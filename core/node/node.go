// Package node implements the control state of a proxy: it renews the lease, probes the
// targets and publishes the view that the shards apply.
package node

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/organisation"
	"github.com/camphorpaddle/camphorpaddle/core/probe"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Options configures a Node.
type Options struct {
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	Shards           int
}

// Node is the control state of one proxy.
type Node struct {
	options       Options
	holder        *lease.Holder
	prober        *probe.Prober
	shards        map[int]event.ShardReport
	announcements announcements
	shares        shareHistory
	sharesVersion uint64 // of the holder's shares in the history
	demand        demandHistory
	quotas        quotas
	draining      bool

	now            types.Instant // time of the event in progress
	appliedVersion uint64        // highest view version that all shards have reported as applied
	clusterView    *types.ClusterView
	keyHolders     map[types.KeyDigest]types.OrganisationName // of the configuration of clusterView
	leaseUntil     types.Instant                              // end of the lease as published
	changed        bool                                       // something to publish at once differs from the last published view
	healthChanged  bool                                       // a target was probed since the last published view
	publishedAt    types.Instant                              // when the last view was published
	publishArmed   bool                                       // the timer of the next view is armed
}

// publishInterval is the minimum time between two published views that differ only in
// the health of targets for whose positions no shard waits.
const publishInterval = 5 * time.Millisecond

// New returns a node without a lease.
func New(o Options) *Node {
	n := &Node{
		options:       o,
		prober:        probe.New(),
		shards:        make(map[int]event.ShardReport),
		announcements: newAnnouncements(),
	}
	n.holder = lease.NewHolder(o.Host, o.AvailabilityZone, n.fillRequest)
	n.holder.SetApply(n.applyQuotas)
	return n
}

// Step processes one event.
func (n *Node) Step(in event.Input) []effect.Effect {
	n.now = in.Now
	if _, ok := in.Event.(event.Start); ok {
		n.quotas.start(in.Seed, in.Now)
	}
	out := n.handleOwn(in)
	out = append(out, n.holder.Step(in)...)
	out = append(out, n.prober.Step(in)...)
	g, granted := in.Event.(event.LeaseGranted)
	if granted {
		n.announcements.confirm(g.Grant)
	}
	if granted && g.Grant.NotLeader {
		n.quotas.refused(g.Grant)
	}
	out = append(out, n.updateFromHolder(granted)...)
	return append(out, n.publish()...)
}

// handleOwn processes the events that the node itself reacts to, before the holder and
// the prober do.
func (n *Node) handleOwn(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.DrainBegan:
		n.draining, n.changed = true, true
		return []effect.Effect{effect.Decide{
			Kind: effect.DecideDrain, Host: n.options.Host, Reason: "the proxy was asked to stop",
		}}
	case event.Announced:
		if n.announcements.add(in.Now, e.Announcement) {
			return n.holder.RequestSoon(in.Now)
		}
	case event.ShardReported:
		return n.handleShardReport(e.Report)
	case event.Probed:
		n.healthChanged = true
		n.changed = n.changed || n.waiting()[e.Ref.Service]
	case event.TimerFired:
		n.publishArmed = n.publishArmed && e.ID.Domain != event.DomainNode
	}
	return nil
}

// handleShardReport replaces the last report of a shard. A lease request is sent early
// if all shards have applied a newer view or more services are quiesced.
func (n *Node) handleShardReport(r event.ShardReport) []effect.Effect {
	quiescedBefore := len(n.quiesced())
	n.shards[r.Shard] = r
	n.demand.set(n.totalDemand(), n.now)
	var out []effect.Effect
	if version := n.minAppliedVersion(); version > n.appliedVersion || len(n.quiesced()) > quiescedBefore {
		n.appliedVersion = version
		out = n.holder.RequestSoon(n.now)
	}
	if n.quotas.setUses(n.quotaUses()) {
		out = append(out, n.holder.RequestWhenAnswered(n.now)...)
	}
	n.prober.SetAnsweredAt(n.answeredAt())
	n.prober.SetSilentSince(n.silentSince())
	out = append(out, n.prober.SetSuspects(n.suspects(), n.now)...)
	return append(out, n.prober.SetWaiting(n.waiting(), n.now)...)
}

// updateFromHolder applies the lease, the shares and the cluster view of the holder, and
// after a grant what it says of the other proxies.
func (n *Node) updateFromHolder(granted bool) []effect.Effect {
	if until := n.holder.Until(); until != n.leaseUntil {
		n.leaseUntil, n.changed = until, true
	}
	if version := n.holder.SharesVersion(); version != n.sharesVersion {
		n.sharesVersion, n.changed = version, true
		n.shares.set(n.holder.Shares(), n.now)
		n.prober.SetShares(n.holder.Shares())
	}
	var out []effect.Effect
	if view := n.holder.Cluster(); view != n.clusterView {
		if n.clusterView == nil || n.clusterView.Config != view.Config {
			n.keyHolders = organisation.KeyHolders(view.Config)
		}
		out = n.recordConfig(view)
		n.clusterView, n.changed = view, true
		n.quotas.dropUnlimited(view.Config, n.now)
		out = append(out, n.prober.SetView(view, n.now)...)
	}
	if granted {
		out = append(out, n.prober.SetFleet(n.holder.Fleet(), n.holder.Suspects(), n.now)...)
	}
	if n.prober.TakeReportDue() {
		out = append(out, n.holder.RequestSoon(n.now)...)
	}
	return out
}

// recordConfig returns the log record of a view whose configuration is new.
func (n *Node) recordConfig(view *types.ClusterView) []effect.Effect {
	if view.Config == nil || n.clusterView != nil && n.clusterView.Config == view.Config {
		return nil
	}
	return []effect.Effect{effect.Decide{
		Kind: effect.DecideView, Host: n.options.Host, Version: view.Version,
		Reason: fmt.Sprintf("applied a view with configuration version %d", view.Config.Version),
	}}
}

// applyQuotas applies the parts of limits in a grant.
func (n *Node) applyQuotas(g proto.LeaseGrant) {
	n.changed = n.quotas.apply(g, n.now, n.leaseUntil) || n.changed
}

// publish publishes a new view to the shards if anything in it changed. Positions for
// which no shard waits are batched until publishInterval has passed.
func (n *Node) publish() []effect.Effect {
	next := n.publishedAt.Add(publishInterval)
	switch {
	case n.clusterView == nil || !n.changed && !n.healthChanged:
		return nil
	case !n.changed && n.now < next:
		return n.armPublish(next)
	}
	n.changed, n.healthChanged, n.publishedAt = false, false, n.now
	return []effect.Effect{effect.PublishView{View: &types.NodeView{
		Cluster:    n.clusterView,
		LeaseUntil: n.leaseUntil,
		Health:     n.prober.Health(),
		Shares:     n.holder.Shares(),
		Draining:   n.draining,
		KeyHolders: n.keyHolders,
		Proxies:    n.holder.Fleet().Proxies,
		Quotas:     n.quotas.published,
	}}}
}

// armPublish arms the timer of the next view unless it is already armed.
func (n *Node) armPublish(at types.Instant) []effect.Effect {
	if n.publishArmed {
		return nil
	}
	n.publishArmed = true
	return []effect.Effect{effect.ArmTimer{ID: event.TimerID{Domain: event.DomainNode}, At: at}}
}
