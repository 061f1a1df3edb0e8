// Package limits divides the connections and slots of each target among the
// proxies. A proxy's part is called its share. One share shrinks before another
// grows, so that the sum of connections never exceeds what the target accepts.
package limits

import (
	"fmt"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Allocator holds the shares that this host granted as leader.
type Allocator struct {
	state  *cluster.State
	leases *lease.Table
	role   role.Role
	usages map[types.TargetRef]map[types.HostID]*usage // of targets of services that are not managed
	fleet  fleet

	pools    map[types.TargetRef]*managedPool
	near     map[types.TargetRef]bool           // pools that may be nearly full: they were, or a use or the fleet has changed since
	nearAt   types.Instant                      // count of the fleet at which all pools were added to near
	reported map[types.HostID][]types.TargetRef // managed targets in each proxy's last request

	// decisions are the changes of shares since the last step.
	decisions []effect.Effect
}

// New returns an allocator without granted shares.
func New(state *cluster.State, leases *lease.Table) *Allocator {
	return &Allocator{
		state: state, leases: leases,
		usages:   make(map[types.TargetRef]map[types.HostID]*usage),
		pools:    make(map[types.TargetRef]*managedPool),
		near:     make(map[types.TargetRef]bool),
		reported: make(map[types.HostID][]types.TargetRef),
	}
}

// Step handles one event and returns the decisions since the last step.
func (a *Allocator) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		if a.role.Update(e) {
			clear(a.usages)
			clear(a.pools)
			clear(a.near)
			clear(a.reported)
			a.fleet = fleet{}
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

// Shares returns the proxy's share of each target that has no free connections, and of
// each target of a service that is not managed. The lease table calls it when it
// answers the proxy's last request.
func (a *Allocator) Shares(proxy types.HostID) []proto.ShareGrant {
	request, ok := a.leases.LastRequest(proxy)
	if !ok {
		return nil
	}
	a.updateUses(proxy, request.Held)
	out := a.managedShares(proxy)
	if a.state.AllManaged() {
		return out
	}
	return append(out, a.strictShares(proxy)...)
}

// strictShares returns the proxy's share of each target of the services that are not
// managed. The sum of these shares never exceeds what a target accepts.
func (a *Allocator) strictShares(proxy types.HostID) []proto.ShareGrant {
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
		if svc.Managed {
			continue
		}
		for _, t := range a.state.Group(name).Members {
			ref := types.TargetRef{Service: name, Name: t.Name}
			a.usage(ref, proxy).update(held[ref], holds[at].Request.SharesSeq, a.leases.Now())
			svc.Slots = capacity.SlotsOf(config.Services[name], t)
			out = append(out, proto.ShareGrant{Ref: ref, Share: a.share(svc, ref, holds, at)})
		}
	}
	return out
}

// share computes and records the share of the proxy holds[at].
func (a *Allocator) share(svc types.Service, ref types.TargetRef, holds []lease.ProxyLease, at int) types.Share {
	now := a.leases.Now()
	usages := a.usages[ref]
	total := divisibleConnections(svc, len(holds))
	free := total
	demands := make([]int, len(holds))
	for i, h := range holds {
		u := usages[h.Host]
		if h.Live && u != nil {
			demands[i] = max(1, u.demand)
		}
		if i != at {
			free -= maxHeld(h, u, total, now)
		}
	}
	n := min(allocate(total, demands)[at], max(0, free))
	a.record(ref, holds[at], n)
	return types.Share{Connections: n, Slots: capacity.Slots(svc.Slots, len(holds), at)}
}

// divisibleConnections returns how many connections of a target are divided among
// the given number of proxies. Each proxy has one more, outside its share, for its
// probes.
func divisibleConnections(svc types.Service, proxies int) int {
	return max(0, svc.Connections-capacity.ControlConnections-capacity.JoinConnections-proxies)
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
	a.dropUses(proxy)
}
