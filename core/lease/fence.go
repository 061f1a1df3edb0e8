package lease

import (
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Fenced reports whether every proxy acts on a view of at least version, or
// holds no lease.
func (t *Table) Fenced(version uint64, now types.Instant) bool {
	return t.role.Leading && now >= t.FencedAt(version)
}

// FencedAt returns the instant from which on version is fenced even if no
// proxy is heard again.
func (t *Table) FencedAt(version uint64) types.Instant {
	var at types.Instant
	for _, reg := range t.state.Proxies() {
		p := t.proxies[reg.Host]
		if p != nil && p.seen < version {
			at = max(at, p.until)
		}
	}
	return at
}

// Waiting returns the proxies that version is not fenced from yet.
func (t *Table) Waiting(version uint64, now types.Instant) []types.HostID {
	var out []types.HostID
	for _, reg := range t.state.Proxies() {
		if p := t.proxies[reg.Host]; p != nil && p.seen < version && now < p.until {
			out = append(out, reg.Host)
		}
	}
	return out
}

// Requests returns the last request of each proxy whose lease is live.
func (t *Table) Requests(now types.Instant) []proto.LeaseRequest {
	var out []proto.LeaseRequest
	for _, reg := range t.state.Proxies() {
		if p := t.proxies[reg.Host]; p != nil && p.heard != 0 && now < p.until {
			out = append(out, p.request)
		}
	}
	return out
}

// Hold is what the leader knows of a proxy's use of shares.
type Hold struct {
	Host    types.HostID
	Known   bool // it asked this leader
	Live    bool // it may hold a lease
	Until   types.Instant
	Request proto.LeaseRequest // the last one, if Known
}

// Holds returns what is known of each registered proxy, in order of host.
func (t *Table) Holds() []Hold {
	var out []Hold
	for _, reg := range t.state.Proxies() {
		p := t.proxies[reg.Host]
		if p == nil {
			out = append(out, Hold{Host: reg.Host})
			continue
		}
		out = append(out, Hold{
			Host: reg.Host, Known: p.heard != 0, Live: t.now < p.until, Until: p.until, Request: p.request,
		})
	}
	return out
}

// Now returns the time of the event that the table took in last.
func (t *Table) Now() types.Instant { return t.now }

// Leading reports whether this host leads.
func (t *Table) Leading() bool { return t.role.Leading }

// Leader returns the control leader as this host knows it, or "", and its term.
func (t *Table) Leader() (types.HostID, proto.ControlTerm) { return t.role.Leader, t.role.Term }

// Live returns how many proxies may hold a lease.
func (t *Table) Live(now types.Instant) int {
	live := 0
	for host := range t.proxies {
		if t.LiveProxy(host, now) {
			live++
		}
	}
	return live
}

// LiveProxy reports whether a proxy may hold a lease.
func (t *Table) LiveProxy(host types.HostID, now types.Instant) bool {
	p := t.proxies[host]
	_, registered := t.state.Proxy(host)
	return p != nil && registered && now < p.until
}

// Status returns what is known of each registered proxy.
func (t *Table) Status() []proto.ProxyStatus {
	var out []proto.ProxyStatus
	for _, reg := range t.state.Proxies() {
		st := proto.ProxyStatus{Host: reg.Host, AvailabilityZone: reg.AvailabilityZone}
		if p := t.proxies[reg.Host]; p != nil {
			st.LeaseLive = t.now < p.until
			st.Have, st.Seen = p.request.Have, p.seen
		}
		out = append(out, st)
	}
	return out
}
