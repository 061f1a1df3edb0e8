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

// Connections that are not divided. Each proxy uses one more for its probes.
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
	grants map[types.HostID]map[types.TargetRef][]granted
	news   []effect.Effect // changes of shares since the last step
}

// granted is a share that a proxy may have taken, or may take yet.
type granted struct {
	seq         uint64 // of the grant
	connections int
	until       types.Instant // the proxy can't take it later
}

// New returns a divider that has granted nothing.
func New(state *cluster.State, leases *lease.Table) *Divider {
	return &Divider{
		state: state, leases: leases,
		grants: make(map[types.HostID]map[types.TargetRef][]granted),
	}
}

// Step takes in one event.
func (d *Divider) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		if d.role.Change(e) {
			clear(d.grants)
		}
	case event.Committed:
		if p := e.Entry.Command.Proxy; p != nil && p.Remove {
			delete(d.grants, p.Host)
		}
	}
	news := d.news
	d.news = nil
	return news
}

// Shares returns what a proxy may use of each target. The table calls it when
// it answers the proxy's last request.
func (d *Divider) Shares(proxy types.HostID) []proto.ShareGrant {
	holds := d.leases.Holds()
	at := slices.IndexFunc(holds, func(h lease.Hold) bool { return h.Host == proxy })
	if at < 0 {
		return nil
	}
	var out []proto.ShareGrant
	config := d.state.Config()
	for _, name := range d.state.Services() {
		svc := config.Services[name]
		for _, t := range d.state.Group(name).Members {
			ref := types.TargetRef{Service: name, Name: t.Name}
			out = append(out, proto.ShareGrant{Ref: ref, Share: d.share(svc, ref, holds, at)})
		}
	}
	return out
}

// share decides on the share of the proxy holds[at] and remembers it.
func (d *Divider) share(svc types.Service, ref types.TargetRef, holds []lease.Hold, at int) types.Share {
	total := max(0, svc.Connections-controlConnections-spareProbes-len(holds))
	free := total
	for i, h := range holds {
		if i != at {
			free -= d.bound(h, ref, total)
		}
	}
	h := holds[at]
	n := min(divide(total, wants(holds, ref))[at], max(0, free))
	d.remember(h, ref, n)
	return types.Share{Connections: n, Slots: max(1, equal(svc.Slots, len(holds), at))}
}

// bound returns the most connections that a proxy may hold or come to hold. A
// proxy that this leader has not heard may hold all of them.
func (d *Divider) bound(h lease.Hold, ref types.TargetRef, total int) int {
	switch {
	case !h.Live:
		return 0
	case !h.Known:
		return total
	}
	most := held(h.Request, ref).Share.Connections
	for _, g := range d.open(h, ref) {
		most = max(most, g.connections)
	}
	return most
}

// open returns the grants that may still count: the proxy has not confirmed a
// later one, and has time left to take them.
func (d *Divider) open(h lease.Hold, ref types.TargetRef) []granted {
	now := d.leases.Now()
	var out []granted
	for _, g := range d.grants[h.Host][ref] {
		if g.seq > h.Request.Taken && now < g.until {
			out = append(out, g)
		}
	}
	return out
}

func (d *Divider) remember(h lease.Hold, ref types.TargetRef, n int) {
	if d.grants[h.Host] == nil {
		d.grants[h.Host] = make(map[types.TargetRef][]granted)
	}
	if before := held(h.Request, ref).Share.Connections; before != n {
		d.news = append(d.news, effect.Decide{
			Kind: effect.DecideShare, Service: ref.Service, Target: ref.Name, Host: h.Host,
			Reason: fmt.Sprintf("%d connections instead of %d", n, before),
		})
	}
	until := d.leases.Now().Add(lease.Duration)
	d.grants[h.Host][ref] = append(d.open(h, ref), granted{seq: h.Request.Seq, connections: n, until: until})
}

// held returns what a request says of a target.
func held(r proto.LeaseRequest, ref types.TargetRef) proto.ShareHeld {
	for _, s := range r.Held {
		if s.Ref == ref {
			return s
		}
	}
	return proto.ShareHeld{Ref: ref}
}

// wants returns how many connections each proxy could use, with zero for those
// that can use none.
func wants(holds []lease.Hold, ref types.TargetRef) []int {
	out := make([]int, len(holds))
	for i, h := range holds {
		if h.Live && h.Known {
			out[i] = max(1, held(h.Request, ref).Wanted)
		}
	}
	return out
}
