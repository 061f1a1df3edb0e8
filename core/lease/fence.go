package lease

import (
	"math"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// fenceCache is the last computed fenced version.
type fenceCache struct {
	version    uint64        // a version up to which all are fenced
	computedAt types.Instant // when version was the highest such version, or zero
}

// countCache is the last count of the proxies that may hold a lease.
type countCache struct {
	count     int
	countedAt types.Instant // zero if a lease has changed since
}

// Fenced reports whether every registered proxy has applied at least version of the
// view or holds no lease, so that no proxy serves by an older view.
func (t *Table) Fenced(version uint64, now types.Instant) bool {
	return t.role.Leading && (t.fence.version >= version || t.FencedVersion(now) >= version)
}

// FencedVersion returns the highest version of the view that is fenced: the lowest one
// that a proxy with a lease may act on.
func (t *Table) FencedVersion(now types.Instant) uint64 {
	if t.fence.computedAt == now {
		return t.fence.version
	}
	t.fence = fenceCache{version: math.MaxUint64, computedAt: now}
	for _, reg := range t.state.Proxies() {
		if p := t.proxies[reg.Host]; p != nil && now < p.until {
			t.fence.version = min(t.fence.version, p.appliedVersion)
		}
	}
	return t.fence.version
}

// FencedAt returns the instant at which version becomes fenced even if no proxy
// sends another request.
func (t *Table) FencedAt(version uint64) types.Instant {
	var at types.Instant
	for _, reg := range t.state.Proxies() {
		p := t.proxies[reg.Host]
		if p != nil && p.appliedVersion < version {
			at = max(at, p.until)
		}
	}
	return at
}

// Unfenced returns the proxies that may hold a lease and have applied only a view before
// version.
func (t *Table) Unfenced(version uint64, now types.Instant) []types.HostID {
	var out []types.HostID
	for _, reg := range t.state.Proxies() {
		if p := t.proxies[reg.Host]; p != nil && p.appliedVersion < version && now < p.until {
			out = append(out, reg.Host)
		}
	}
	return out
}

// LastRequest returns the last request of a registered proxy.
func (t *Table) LastRequest(host types.HostID) (proto.LeaseRequest, bool) {
	p := t.proxies[host]
	_, registered := t.state.Proxy(host)
	if p == nil || !registered {
		return proto.LeaseRequest{}, false
	}
	return p.request, true
}

// ProxyLease is what the leader knows of one proxy's lease and last request.
type ProxyLease struct {
	Host    types.HostID
	Known   bool               // the proxy has sent a request to this leader
	Live    bool               // the proxy may hold a lease
	Until   types.Instant      // the lease may be live until then
	Request proto.LeaseRequest // the last request, if Known
}

// ProxyLeases returns a ProxyLease for each registered proxy, in order of host.
func (t *Table) ProxyLeases() []ProxyLease {
	var out []ProxyLease
	for _, reg := range t.state.Proxies() {
		p := t.proxies[reg.Host]
		if p == nil {
			out = append(out, ProxyLease{Host: reg.Host})
			continue
		}
		out = append(out, ProxyLease{
			Host: reg.Host, Known: p.lastContact != 0, Live: t.now < p.until, Until: p.until, Request: p.request,
		})
	}
	return out
}

// Now returns the time of the last event that the table processed.
func (t *Table) Now() types.Instant { return t.now }

// Leading reports whether this host leads.
func (t *Table) Leading() bool { return t.role.Leading }

// Leader returns the control leader as this host knows it, or "", and its term.
func (t *Table) Leader() (types.HostID, proto.ControlTerm) { return t.role.Leader, t.role.Term }

// LiveLeases returns the number of proxies that may hold a lease.
func (t *Table) LiveLeases(now types.Instant) int {
	if t.live.countedAt == now {
		return t.live.count
	}
	t.live = countCache{countedAt: now}
	for host := range t.proxies {
		if t.LeaseLive(host, now) {
			t.live.count++
		}
	}
	return t.live.count
}

// LeaseLive reports whether a proxy may hold a lease.
func (t *Table) LeaseLive(host types.HostID, now types.Instant) bool {
	p := t.proxies[host]
	_, registered := t.state.Proxy(host)
	return p != nil && registered && now < p.until
}

// Status returns the status of each registered proxy, as operators see it.
func (t *Table) Status() []proto.ProxyStatus {
	var out []proto.ProxyStatus
	for _, reg := range t.state.Proxies() {
		st := proto.ProxyStatus{Host: reg.Host, AvailabilityZone: reg.AvailabilityZone}
		if p := t.proxies[reg.Host]; p != nil {
			st.LeaseLive = t.now < p.until
			st.ViewVersion, st.AppliedVersion = p.request.ViewVersion, p.appliedVersion
		}
		out = append(out, st)
	}
	return out
}
