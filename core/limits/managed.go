package limits

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// This file divides the connections of managed targets. Such a target refuses
// connections beyond its limit, so that every proxy may open connections as it needs
// them. The leader intervenes only at a target whose connections are nearly all in use.

const (
	// divideInterval is the minimum time between two divisions of the same target.
	divideInterval = 50 * time.Millisecond
	// fleetInterval is the minimum time between two counts of the proxies with a lease.
	fleetInterval = 250 * time.Millisecond
	// reservedFraction is the part of a target's connections that is not divided, so
	// that control, probes and proxies that join still get one.
	reservedFraction = 1.0 / 8
	// dividedSlack is how many connections beyond its part a proxy may open. Which proxies
	// need theirs changes faster than grants; the target refuses what is too much.
	dividedSlack = 3
)

// managedPool is the use of one managed target by all proxies.
type managedPool struct {
	uses  map[types.HostID]use // of the proxies that reported one
	sum   int                  // connections in uses
	full  int                  // how many of uses say that the target is full
	unmet int                  // how many of uses demand more than they hold

	contended bool
	parts     map[types.HostID]int // connections of each proxy in uses, by the last division
	rest      int                  // connections of each other proxy
	dividedAt types.Instant
}

// use is what a proxy holds of a managed target and what it could use now, and whether
// the target rejected a connection of it.
type use struct {
	held, demand int
	full         bool
}

func (u use) connections() int { return max(u.held, u.demand) }

func (p *managedPool) add(proxy types.HostID, u use) {
	p.remove(proxy)
	p.uses[proxy] = u
	p.sum += u.connections()
	if u.full {
		p.full++
	}
	if u.demand > u.held {
		p.unmet++
	}
}

func (p *managedPool) remove(proxy types.HostID) {
	u, ok := p.uses[proxy]
	if !ok {
		return
	}
	delete(p.uses, proxy)
	p.sum -= u.connections()
	if u.full {
		p.full--
	}
	if u.demand > u.held {
		p.unmet--
	}
}

// fleet is the order of the proxies with a lease.
type fleet struct {
	index     map[types.HostID]int
	countedAt types.Instant
}

// Fleet returns the place of a proxy among those that may hold a lease. The lease
// table calls it when it answers the proxy's last request.
func (a *Allocator) Fleet(proxy types.HostID) types.Fleet {
	now := a.leases.Now()
	if _, ok := a.fleet.index[proxy]; !ok || now.Sub(a.fleet.countedAt) >= fleetInterval {
		a.countFleet(now, proxy)
	}
	return types.Fleet{Proxies: len(a.fleet.index), Index: a.fleet.index[proxy]}
}

// countFleet counts the proxies with a lease and the given one, whose lease is about
// to begin.
func (a *Allocator) countFleet(now types.Instant, proxy types.HostID) {
	a.fleet = fleet{index: make(map[types.HostID]int), countedAt: now}
	for _, reg := range a.state.Proxies() {
		if reg.Host == proxy || a.leases.LeaseLive(reg.Host, now) {
			a.fleet.index[reg.Host] = len(a.fleet.index)
		}
	}
}

// updateUses replaces the uses of managed targets that a proxy reported.
func (a *Allocator) updateUses(proxy types.HostID, held []proto.ShareHeld) {
	a.dropUses(proxy)
	config := a.state.Config()
	for _, h := range held {
		if !config.Managed(h.Ref.Service) || !a.isMember(h.Ref) {
			continue
		}
		p := a.pools[h.Ref]
		if p == nil {
			p = &managedPool{uses: make(map[types.HostID]use)}
			a.pools[h.Ref] = p
		}
		p.add(proxy, use{held: clampCount(h.Share.Connections), demand: clampCount(h.Demand), full: h.Full})
		a.reported[proxy] = append(a.reported[proxy], h.Ref)
		a.near[h.Ref] = true
	}
}

func (a *Allocator) isMember(ref types.TargetRef) bool {
	g := a.state.Group(ref.Service)
	if g == nil {
		return false
	}
	_, ok := g.Target(ref.Name)
	return ok
}

// dropUses forgets the uses that a proxy reported last.
func (a *Allocator) dropUses(proxy types.HostID) {
	for _, ref := range a.reported[proxy] {
		p := a.pools[ref]
		if p == nil {
			continue
		}
		p.remove(proxy)
		if len(p.uses) == 0 && !p.contended {
			delete(a.pools, ref)
		}
	}
	delete(a.reported, proxy)
}

// managedShares returns the proxy's shares of the managed targets whose connections
// are nearly all in use.
func (a *Allocator) managedShares(proxy types.HostID) []proto.ShareGrant {
	place := a.Fleet(proxy)
	var out []proto.ShareGrant
	for _, ref := range a.busyPools() {
		svc := a.state.Config().Services[ref.Service]
		p := a.pools[ref]
		a.divide(ref, p, svc)
		if !p.contended {
			if len(p.uses) == 0 {
				delete(a.pools, ref)
			}
			continue
		}
		n, ok := p.parts[proxy]
		if !ok {
			n = p.rest
		}
		member, _ := a.state.Group(ref.Service).Target(ref.Name)
		share := capacity.ManagedShare(svc, member, place)
		share.Shared = max(0, n-capacity.KeptWhileContended(svc, place.Proxies))
		share.Connections, share.Contended = n, true
		out = append(out, proto.ShareGrant{Ref: ref, Share: share})
	}
	return out
}

// busyPools returns the targets that are contended or whose reported uses alone may
// make them so, in order. It drops the pools of targets that are no longer members. It
// looks at all pools once for each count of the fleet, and otherwise at those of which a
// use has changed.
func (a *Allocator) busyPools() []types.TargetRef {
	if a.nearAt != a.fleet.countedAt {
		a.nearAt = a.fleet.countedAt
		for ref := range a.pools {
			a.near[ref] = true
		}
	}
	var out []types.TargetRef
	maps.DeleteFunc(a.near, func(ref types.TargetRef, _ bool) bool {
		svc, ok := a.state.Config().Services[ref.Service]
		p := a.pools[ref]
		if p == nil || !ok || !svc.Managed || !a.isMember(ref) {
			delete(a.pools, ref)
			return true
		}
		busy := p.contended || a.nearlyFull(p, svc)
		if busy {
			out = append(out, ref)
		}
		return !busy
	})
	slices.SortFunc(out, types.TargetRef.Compare)
	return out
}

// occupied returns the connections in use at a target. A proxy that reported nothing
// holds what it keeps while idle.
func (a *Allocator) occupied(p *managedPool, svc types.Service) int {
	n := len(a.fleet.index)
	return p.sum + capacity.KeptByOthers(svc, n, max(0, n-len(p.uses)))
}

// nearlyFull reports whether nearly all connections of a target are in use, as far as the
// proxies know. Where every proxy keeps some, that is usual, and one has to need more.
func (a *Allocator) nearlyFull(p *managedPool, svc types.Service) bool {
	n := len(a.fleet.index)
	keepsNone := capacity.KeptByOthers(svc, n, n) == 0
	return p.full > 0 || (keepsNone || p.unmet > 0) && a.occupied(p, svc) > divisible(svc)
}

// divisible returns how many connections of a managed target are in use until the
// leader divides them.
func divisible(svc types.Service) int {
	all := capacity.Managed(svc)
	return all - int(float64(all)*reservedFraction)
}

// divide has idle connections of a target closed while nearly all are in use, and
// divides them by max-min fairness of the demands if these alone need nearly all.
func (a *Allocator) divide(ref types.TargetRef, p *managedPool, svc types.Service) {
	now := a.leases.Now()
	if p.dividedAt != 0 && now.Sub(p.dividedAt) < divideInterval {
		return
	}
	p.dividedAt = now
	a.dropDeadUses(p, now)
	a.setContended(ref, p, a.nearlyFull(p, svc))
	if !p.contended {
		return
	}
	hosts := slices.Sorted(maps.Keys(p.uses))
	others := max(0, len(a.fleet.index)-len(hosts))
	demands := make([]int, len(hosts)+others)
	sum := others * capacity.KeptWhileContended(svc, len(a.fleet.index))
	for i := range demands {
		demands[i] = 1
		if i < len(hosts) {
			demands[i] = max(1, p.uses[hosts[i]].demand)
			sum += p.uses[hosts[i]].demand
		}
	}
	p.parts = make(map[types.HostID]int, len(hosts))
	if sum <= divisible(svc) {
		p.rest = capacity.Managed(svc) // enough once idle connections are closed
		return
	}
	parts := allocate(divisible(svc), demands)
	p.rest = 1
	for i, host := range hosts {
		p.parts[host] = max(1, parts[i]) + dividedSlack
	}
	if others > 0 {
		p.rest = max(1, parts[len(parts)-1]) + dividedSlack
	}
}

// dropDeadUses forgets the uses of proxies without a lease.
func (a *Allocator) dropDeadUses(p *managedPool, now types.Instant) {
	for host := range p.uses {
		if !a.leases.LeaseLive(host, now) {
			p.remove(host)
		}
	}
}

// setContended sets whether a target is contended, and records a change.
func (a *Allocator) setContended(ref types.TargetRef, p *managedPool, contended bool) {
	if p.contended == contended {
		return
	}
	p.contended = contended
	reason := "connections are free again; every proxy may use them"
	if contended {
		reason = fmt.Sprintf("%d proxies use %d connections; the connections are divided", len(p.uses), p.sum)
	}
	a.decisions = append(a.decisions, effect.Decide{Kind: effect.DecideShare, Service: ref.Service, Target: ref.Name, Reason: reason})
}
