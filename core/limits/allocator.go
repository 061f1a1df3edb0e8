// Package limits divides the connections and slots of each target among the
// proxies. A proxy's part is called its share. One share shrinks before another
// grows, so that the sum of connections never exceeds what the target accepts.
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

// Connections to each target that are reserved rather than divided.
const (
	// controlConnections is the number of connections that the control hosts use.
	controlConnections = 1
	// joinConnections is reserved for the probes of a proxy that joins, until
	// the other proxies have reduced their shares.
	joinConnections = 1
)

// Allocator holds the shares that this host granted as leader.
type Allocator struct {
	state  *cluster.State
	leases *lease.Table
	role   role.Role
	usages map[types.TargetRef]map[types.HostID]*usage
	// decisions are the changes of shares since the last step.
	decisions []effect.Effect
}

// New returns an allocator without granted shares.
func New(state *cluster.State, leases *lease.Table) *Allocator {
	return &Allocator{
		state: state, leases: leases,
		usages: make(map[types.TargetRef]map[types.HostID]*usage),
	}
}

// Step handles one event and returns the decisions since the last step.
func (a *Allocator) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		if a.role.Update(e) {
			clear(a.usages)
		}
	case event.Committed:
		if p := e.Entry.Command.Proxy; p != nil && p.Remove {
			a.forget(p.Host)
		}
	}
	decisions := a.decisions
	a.decisions = nil
	return decisions
}

// Shares returns the proxy's share of each target. The lease table calls it
// when it answers the proxy's last request.
func (a *Allocator) Shares(proxy types.HostID) []proto.ShareGrant {
	holds := a.leases.ProxyLeases()
	at := slices.IndexFunc(holds, func(h lease.ProxyLease) bool { return h.Host == proxy })
	if at < 0 {
		return nil
	}
	held := make(map[types.TargetRef]proto.ShareHeld, len(holds[at].Request.Held))
	for _, h := range holds[at].Request.Held {
		held[h.Ref] = h
	}
	var out []proto.ShareGrant
	config := a.state.Config()
	for _, name := range a.state.Services() {
		svc := config.Services[name]
		for _, t := range a.state.Group(name).Members {
			ref := types.TargetRef{Service: name, Name: t.Name}
			a.usage(ref, proxy).update(held[ref], holds[at].Request.SharesSeq, a.leases.Now())
			out = append(out, proto.ShareGrant{Ref: ref, Share: a.share(withAnnouncedSlots(svc, t), ref, holds, at)})
		}
	}
	return out
}

// liveHolds returns the proxies that may hold a lease, holds[at] included, and
// the index of holds[at] in the result.
func liveHolds(holds []lease.ProxyLease, at int) ([]lease.ProxyLease, int) {
	var out []lease.ProxyLease
	index := 0
	for i, h := range holds {
		if i == at {
			index = len(out)
		}
		if i == at || h.Live {
			out = append(out, h)
		}
	}
	return out, index
}

// withAnnouncedSlots returns the service with the target's announced number of
// slots, if it announced one.
func withAnnouncedSlots(svc types.Service, t types.Target) types.Service {
	if t.Slots > 0 {
		svc.Slots = t.Slots
	}
	return svc
}

// share computes and records the share of the proxy holds[at].
func (a *Allocator) share(svc types.Service, ref types.TargetRef, holds []lease.ProxyLease, at int) types.Share {
	now := a.leases.Now()
	usages := a.usages[ref]
	if svc.Managed {
		holds, at = liveHolds(holds, at)
	}
	total := divisibleConnections(svc, len(holds))
	free := total
	demands := make([]int, len(holds))
	for i, h := range holds {
		u := usages[h.Host]
		switch {
		case svc.Managed && !h.Known:
			// This proxy may hold connections too. It does not reduce free, because the
			// target itself refuses connections above its limit, and a proxy should not
			// wait for the lease of a process that is gone to expire. Its demand is
			// taken to equal that of the requesting proxy.
			demands[i] = max(1, usages[holds[at].Host].demand)
			continue
		case h.Live && u != nil:
			demands[i] = max(1, u.demand)
		}
		if i != at {
			free -= maxHeld(h, u, total, now)
		}
	}
	n := min(allocate(total, demands)[at], max(0, free))
	a.record(ref, holds[at], n)
	return types.Share{Connections: n, Slots: slotShare(svc.Slots, len(holds), at)}
}

// divisibleConnections returns how many connections of a target are divided among
// the given number of proxies. Each proxy has one more, outside its share, for its
// probes. Proxies of a managed service probe only occasionally, and each has to reach
// the target, so that their shares may use the connections for probes too.
func divisibleConnections(svc types.Service, proxies int) int {
	all := svc.Connections - controlConnections - joinConnections
	total := all - proxies
	if svc.Managed {
		total = max(total, min(proxies, all))
	}
	return max(0, total)
}

// record remembers a granted share of n connections until its grant can no longer
// be applied.
func (a *Allocator) record(ref types.TargetRef, h lease.ProxyLease, n int) {
	u := a.usage(ref, h.Host)
	if u.held != n {
		a.decisions = append(a.decisions, effect.Decide{
			Kind: effect.DecideShare, Service: ref.Service, Target: ref.Name, Host: h.Host,
			Reason: fmt.Sprintf("connection share changes from %d to %d", u.held, n),
		})
	}
	u.grants = append(u.grants, grant{
		seq: h.Request.Seq, connections: n, until: a.leases.Now().Add(lease.Duration),
	})
}

// usage returns the record of a proxy's usage of a target and creates it if missing.
func (a *Allocator) usage(ref types.TargetRef, proxy types.HostID) *usage {
	usages := a.usages[ref]
	if usages == nil {
		usages = make(map[types.HostID]*usage)
		a.usages[ref] = usages
	}
	u := usages[proxy]
	if u == nil {
		u = &usage{}
		usages[proxy] = u
	}
	return u
}

// forget drops the records of a proxy that was removed.
func (a *Allocator) forget(proxy types.HostID) {
	for _, usages := range a.usages {
		delete(usages, proxy)
	}
}
