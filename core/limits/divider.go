// Package limits divides the connections and slots of each target among the
// proxies. A share shrinks before another grows, so that the sum never passes
// what the target accepts.
package limits

import (
	"fmt"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Connections that are not divided.
const (
	// controlConnections is how many connections to a target control uses.
	controlConnections = 1
	// spareProbes is kept for the probes of a proxy that joins, while the
	// others have not given up what they held beside it.
	spareProbes = 1
)

// Divider holds the shares that this host granted as leader.
type Divider struct {
	state  *cluster.State
	leases *lease.Table
	role   role.Role
	uses   map[types.TargetRef]map[types.HostID]*use
	news   []effect.Effect // changes of shares since the last step
}

// New returns a divider that has granted nothing.
func New(state *cluster.State, leases *lease.Table) *Divider {
	return &Divider{
		state: state, leases: leases,
		uses: make(map[types.TargetRef]map[types.HostID]*use),
	}
}

// Step takes in one event.
func (d *Divider) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		if d.role.Change(e) {
			clear(d.uses)
		}
	case event.Committed:
		if p := e.Entry.Command.Proxy; p != nil && p.Remove {
			d.forget(p.Host)
		}
	}
	news := d.news
	d.news = nil
	return news
}

// Shares returns what a proxy may use of each target. The table calls it when
// it answers the proxy's last request.
func (d *Divider) Shares(proxy types.HostID) []proto.ShareGrant {
	holds := d.leases.ProxyLeases()
	at := slices.IndexFunc(holds, func(h lease.ProxyLease) bool { return h.Host == proxy })
	if at < 0 {
		return nil
	}
	held := make(map[types.TargetRef]proto.ShareHeld, len(holds[at].Request.Held))
	for _, h := range holds[at].Request.Held {
		held[h.Ref] = h
	}
	var out []proto.ShareGrant
	config := d.state.Config()
	for _, name := range d.state.Services() {
		svc := config.Services[name]
		for _, t := range d.state.Group(name).Members {
			ref := types.TargetRef{Service: name, Name: t.Name}
			d.use(ref, proxy).report(held[ref], holds[at].Request.Taken, d.leases.Now())
			out = append(out, proto.ShareGrant{Ref: ref, Share: d.share(slotsOf(svc, t), ref, holds, at)})
		}
	}
	return out
}

// working returns the proxies that may hold a lease, and the new place of
// holds[at] among them.
func working(holds []lease.ProxyLease, at int) ([]lease.ProxyLease, int) {
	var out []lease.ProxyLease
	place := 0
	for i, h := range holds {
		if i == at {
			place = len(out)
		}
		if i == at || h.Live {
			out = append(out, h)
		}
	}
	return out, place
}

// slotsOf returns the service with the slots that the target announced, if it
// did.
func slotsOf(svc types.Service, t types.Target) types.Service {
	if t.Slots > 0 {
		svc.Slots = t.Slots
	}
	return svc
}

// share decides on the share of the proxy holds[at] and remembers it.
func (d *Divider) share(svc types.Service, ref types.TargetRef, holds []lease.ProxyLease, at int) types.Share {
	now := d.leases.Now()
	uses := d.uses[ref]
	if svc.Managed {
		holds, at = working(holds, at)
	}
	total := divisible(svc, len(holds))
	free := total
	wants := make([]int, len(holds))
	for i, h := range holds {
		u := uses[h.Host]
		switch {
		case svc.Managed && !h.Known:
			// It may hold connections as well, but the target refuses what is too
			// much: nobody has to wait until the lease of a process that is gone
			// runs out. It counts like the proxy that asks.
			wants[i] = max(1, uses[holds[at].Host].wanted)
			continue
		case h.Live && u != nil:
			wants[i] = max(1, u.wanted)
		}
		if i != at {
			free -= bound(h, u, total, now)
		}
	}
	n := min(divide(total, wants)[at], max(0, free))
	d.remember(ref, holds[at], n)
	return types.Share{Connections: n, Slots: slotShare(svc.Slots, len(holds), at)}
}

// divisible returns how many connections of a target are divided among so many
// proxies. Each keeps one more for its probes; those of a managed service need that
// on occasion only, and each of them has to reach the target.
func divisible(svc types.Service, proxies int) int {
	all := svc.Connections - controlConnections - spareProbes
	total := all - proxies
	if svc.Managed {
		total = max(total, min(proxies, all))
	}
	return max(0, total)
}

func (d *Divider) remember(ref types.TargetRef, h lease.ProxyLease, n int) {
	u := d.use(ref, h.Host)
	if u.held != n {
		d.news = append(d.news, effect.Decide{
			Kind: effect.DecideShare, Service: ref.Service, Target: ref.Name, Host: h.Host,
			Reason: fmt.Sprintf("%d connections instead of %d", n, u.held),
		})
	}
	u.open = append(u.open, granted{
		seq: h.Request.Seq, connections: n, until: d.leases.Now().Add(lease.Duration),
	})
}

// use returns what is known of a proxy's use of a target.
func (d *Divider) use(ref types.TargetRef, proxy types.HostID) *use {
	uses := d.uses[ref]
	if uses == nil {
		uses = make(map[types.HostID]*use)
		d.uses[ref] = uses
	}
	u := uses[proxy]
	if u == nil {
		u = &use{}
		uses[proxy] = u
	}
	return u
}

func (d *Divider) forget(proxy types.HostID) {
	for _, uses := range d.uses {
		delete(uses, proxy)
	}
}
