// Package node is the control part of a proxy: it keeps the lease, probes the
// targets and publishes to the shards the view that they act on.
package node

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/probe"
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
	options  Options
	holder   *lease.Holder
	prober   *probe.Prober
	shards   map[int]event.ShardReport
	news     announcements
	shares   shareLog
	wanted   wantLog
	draining bool

	now     types.Instant // of the event that is under way
	seen    uint64        // version that all shards were known to act on
	cluster *types.ClusterView
	until   types.Instant // end of the lease as published
	changed bool          // something that shards wait for differs from the last view
	moved   bool          // the health of a target does
	shown   types.Instant // when the last view was published
	armed   bool          // the timer of the next view is
}

// publishInterval is the least time between two views of which only positions
// differ that no shard waits for.
const publishInterval = 5 * time.Millisecond

// New returns a node without a lease.
func New(o Options) *Node {
	n := &Node{
		options: o,
		prober:  probe.New(),
		shards:  make(map[int]event.ShardReport),
		news:    newAnnouncements(),
	}
	n.holder = lease.NewHolder(o.Host, o.AvailabilityZone, n.fill)
	return n
}

// Step takes in one event.
func (n *Node) Step(in event.Input) []effect.Effect {
	n.now = in.Now
	out := n.handle(in)
	out = append(out, n.holder.Step(in)...)
	out = append(out, n.prober.Step(in)...)
	if g, ok := in.Event.(event.LeaseGranted); ok {
		n.news.granted(g.Grant)
	}
	out = append(out, n.follow()...)
	return append(out, n.publish()...)
}

// handle takes in the events that are the node's own.
func (n *Node) handle(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.DrainBegan:
		n.draining, n.changed = true, true
		return []effect.Effect{effect.Decide{
			Kind: effect.DecideDrain, Host: n.options.Host, Reason: "the proxy was asked to stop",
		}}
	case event.Announced:
		if n.news.hear(in.Now, e.Announcement) {
			return n.holder.Hurry(in.Now)
		}
	case event.ShardReported:
		return n.shardReported(e.Report)
	case event.Probed:
		n.moved = true
		n.changed = n.changed || n.waiting()[e.Ref.Service]
	case event.TimerFired:
		n.armed = n.armed && e.ID.Domain != event.DomainNode
	}
	return nil
}

func (n *Node) shardReported(r event.ShardReport) []effect.Effect {
	quiet := len(n.quiet())
	n.shards[r.Shard] = r
	n.wanted.set(n.wants(), n.now)
	var out []effect.Effect
	if seen := n.minSeen(); seen > n.seen || len(n.quiet()) > quiet {
		n.seen = seen
		out = n.holder.Hurry(n.now)
	}
	n.prober.SetServed(n.served())
	n.prober.SetSilent(n.silent())
	out = append(out, n.prober.SetSuspects(n.suspects(), n.now)...)
	return append(out, n.prober.SetWaiting(n.waiting(), n.now)...)
}

// follow takes over what the holder has learnt.
func (n *Node) follow() []effect.Effect {
	if until := n.holder.Until(); until != n.until {
		n.until, n.changed = until, true
	}
	if n.shares.set(n.holder.Shares(), n.now) {
		n.changed = true
	}
	var out []effect.Effect
	if view := n.holder.Cluster(); view != n.cluster {
		out = n.applied(view)
		n.cluster, n.changed = view, true
		out = append(out, n.prober.SetView(view, n.now)...)
	}
	if n.prober.TakeNews() {
		out = append(out, n.holder.Hurry(n.now)...)
	}
	return out
}

// applied records a view with another configuration.
func (n *Node) applied(view *types.ClusterView) []effect.Effect {
	if view.Config == nil || n.cluster != nil && n.cluster.Config == view.Config {
		return nil
	}
	return []effect.Effect{effect.Decide{
		Kind: effect.DecideView, Host: n.options.Host, Version: view.Version,
		Reason: fmt.Sprintf("brought configuration %d", view.Config.Version),
	}}
}

// publish gives the shards a new view if anything in it changed. Positions that
// no shard waits for are put together.
func (n *Node) publish() []effect.Effect {
	next := n.shown.Add(publishInterval)
	switch {
	case n.cluster == nil || !n.changed && !n.moved:
		return nil
	case !n.changed && n.now < next:
		return n.publishAt(next)
	}
	n.changed, n.moved, n.shown = false, false, n.now
	return []effect.Effect{effect.PublishView{View: &types.NodeView{
		Cluster:    n.cluster,
		LeaseUntil: n.until,
		Health:     n.prober.Health(),
		Shares:     n.holder.Shares(),
		Draining:   n.draining,
	}}}
}

// publishAt arms the timer of the next view, if it is not armed already.
func (n *Node) publishAt(at types.Instant) []effect.Effect {
	if n.armed {
		return nil
	}
	n.armed = true
	return []effect.Effect{effect.ArmTimer{ID: event.TimerID{Domain: event.DomainNode}, At: at}}
}
