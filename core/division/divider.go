// Package division divides the limits of organisations among the proxies. The unit is a
// right: one operation that may begin in any period. A proxy is given no right that
// another one may still hold or have used within the period.
package division

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/quota"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// sweepInterval is the minimum time between two searches for silent proxies.
	sweepInterval = 250 * time.Millisecond
	// forgottenAfter is how long ago a process ended at least that a new leader knows
	// nothing of because its proxy was removed.
	forgottenAfter = 6 * time.Second
	// recordInterval is the minimum time between two log records of one organisation.
	recordInterval = time.Second
)

// Divider holds the rights that this host granted as leader.
type Divider struct {
	state  *cluster.State
	leases *lease.Table
	role   role.Role

	config *types.Config // of which limits is made
	window time.Duration
	limits map[types.OrganisationName]quota.Limit // of the organisations with one
	// lowered are the organisations whose proxies have larger parts than the limit allows.
	lowered []types.OrganisationName

	pools   map[types.OrganisationName]*pool
	proxies map[types.HostID]*proxyRecord
	unheard map[types.HostID]types.Instant // proxies that may hold rights that this leader doesn't know, until then
	// restartedAt is when the last process may have ended of which this leader knows nothing.
	restartedAt types.Instant
	sweptAt     types.Instant

	decisions []effect.Effect // since the last step
}

// proxyRecord is the process that a proxy's requests come from. Proxies are known by their
// configured names: a new process of the same name shows that the earlier one has ended.
type proxyRecord struct {
	process     uint64
	earlier     []uint64 // processes that it replaced; their late requests don't count
	lastContact types.Instant
}

// maxEarlier bounds the processes of one proxy that are remembered.
const maxEarlier = 8

// New returns a divider that has granted nothing.
func New(state *cluster.State, leases *lease.Table) *Divider {
	return &Divider{
		state: state, leases: leases,
		pools:   make(map[types.OrganisationName]*pool),
		proxies: make(map[types.HostID]*proxyRecord),
		unheard: make(map[types.HostID]types.Instant),
	}
}

// Step handles one event and returns the decisions since the last step.
func (d *Divider) Step(in event.Input) []effect.Effect {
	if e, ok := in.Event.(event.RoleChanged); ok && d.role.Update(e) {
		d.reset(in.Now)
	}
	decisions := d.decisions
	d.decisions = nil
	return decisions
}

// reset begins a leadership. Each registered proxy may hold rights that the previous
// leader granted.
func (d *Divider) reset(now types.Instant) {
	clear(d.pools)
	clear(d.proxies)
	clear(d.unheard)
	d.restartedAt, d.decisions = 0, nil
	if !d.role.Leading {
		return
	}
	d.restartedAt = now.Add(-forgottenAfter)
	d.updateLimits()
	for _, reg := range d.state.Proxies() {
		d.unheard[reg.Host.Name()] = now.Add(quota.HeldFor(lease.Duration, d.window))
	}
}

// updateLimits computes the limits of a changed configuration.
func (d *Divider) updateLimits() {
	config := d.state.Config()
	if config == d.config && d.limits != nil {
		return
	}
	d.config, d.window = config, 0
	d.limits = make(map[types.OrganisationName]quota.Limit)
	if config == nil {
		return
	}
	d.window = config.QuotaWindow
	for name, o := range config.Organisations {
		if limit, ok := quota.LimitOf(o, d.window); ok {
			d.limits[name] = limit
		}
	}
	d.lowered = nil
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		if d.pools[name].parts > d.limits[name].Rights {
			d.lowered = append(d.lowered, name)
		}
	}
}

// Quotas returns the parts of limits that change for a proxy, and whether its next request
// has to name all rights that it holds. The lease table calls it when it grants a lease
// for the proxy's last request.
func (d *Divider) Quotas(proxy types.HostID) ([]proto.QuotaGrant, bool) {
	request, ok := d.leases.LastRequest(proxy)
	if !ok {
		return nil, false
	}
	proxy = proxy.Name()
	now := d.leases.Now()
	d.updateLimits()
	d.expire(now)
	if !d.recordProcess(request, now) {
		return nil, true
	}
	for _, use := range request.QuotaUses {
		if p := d.pool(use.Organisation); p != nil {
			p.report(proxy, use, request.SharesSeq)
		}
	}
	if request.QuotasFull {
		d.recordFull(request, now)
	}
	return d.divide(request, now), false
}

// pool returns the pool of an organisation, or nil if it is not configured. One without a
// limit has a pool while proxies hold rights of an earlier limit.
func (d *Divider) pool(name types.OrganisationName) *pool {
	p := d.pools[name]
	if p == nil {
		if d.config == nil {
			return nil
		}
		if _, configured := d.config.Organisations[name]; !configured {
			return nil
		}
		p = &pool{holdings: make(map[types.HostID]*holding)}
		d.pools[name] = p
	}
	return p
}

// recordProcess records the process that a request comes from. It reports false if it
// isn't known what the process holds, or if a later process has replaced it. A process
// that appears under this leader has no rights of an earlier one.
func (d *Divider) recordProcess(r proto.LeaseRequest, now types.Instant) bool {
	name := r.Proxy.Name()
	p := d.proxies[name]
	if p != nil && p.process == r.Process {
		p.lastContact = now
		return true
	}
	if p != nil && slices.Contains(p.earlier, r.Process) {
		return false
	}
	if _, unheard := d.unheard[name]; unheard && !r.QuotasFull {
		return false
	}
	next := &proxyRecord{process: r.Process, lastContact: now}
	if p != nil {
		next.earlier = append(p.earlier, p.process)
		next.earlier = next.earlier[max(0, len(next.earlier)-maxEarlier):]
		d.retire(name, now)
	}
	d.proxies[name] = next
	return true
}

// retire counts the rights of a process that was replaced until none of the operations
// that it began is within the period any more.
func (d *Divider) retire(proxy types.HostID, now types.Instant) {
	for name, p := range d.pools {
		if rights := p.drop(proxy); rights > 0 {
			p.past = append(p.past, pastRights{rights: rights, since: now, until: now.Add(d.limits[name].Occupied())})
		}
	}
}

// recordFull applies a request that names all rights that a proxy holds. Its process may
// follow one of which this leader knows nothing.
func (d *Divider) recordFull(r proto.LeaseRequest, now types.Instant) {
	named := make(map[types.OrganisationName]bool, len(r.QuotaUses))
	proxy := r.Proxy.Name()
	_, unheard := d.unheard[proxy]
	for _, use := range r.QuotaUses {
		named[use.Organisation] = true
		if p := d.pool(use.Organisation); p != nil {
			p.withdraw(proxy)
			if unheard {
				p.reported += p.holdings[proxy].counted
			}
		}
	}
	for name, p := range d.pools {
		if !named[name] {
			p.drop(proxy)
		}
	}
	if !unheard {
		return
	}
	d.restartedAt = max(d.restartedAt, now.Add(-r.Uptime))
	delete(d.unheard, proxy)
}

// expire forgets what can't be held or used within the period any more.
func (d *Divider) expire(now types.Instant) {
	if now.Sub(d.sweptAt) < sweepInterval {
		return
	}
	d.sweptAt = now
	maps.DeleteFunc(d.unheard, func(_ types.HostID, until types.Instant) bool { return until <= now })
	held := quota.HeldFor(lease.Duration, d.window)
	for host, p := range d.proxies {
		if now.Sub(p.lastContact) >= held {
			delete(d.proxies, host)
			for _, pool := range d.pools {
				pool.drop(host)
			}
		}
	}
	maps.DeleteFunc(d.pools, func(_ types.OrganisationName, p *pool) bool { return p.sweep() })
	d.lowered = slices.DeleteFunc(d.lowered, func(name types.OrganisationName) bool {
		return d.pools[name] == nil || d.pools[name].parts <= d.limits[name].Rights
	})
}

// divide returns the parts that change with the answer to a request: of the organisations
// that it names, and of those whose limit is lower than what is held.
func (d *Divider) divide(r proto.LeaseRequest, now types.Instant) []proto.QuotaGrant {
	var out []proto.QuotaGrant
	proxy := r.Proxy.Name()
	named := make(map[types.OrganisationName]bool, len(r.QuotaUses))
	for _, use := range r.QuotaUses {
		named[use.Organisation] = true
		p := d.pool(use.Organisation)
		if p == nil {
			continue
		}
		limit := d.limits[use.Organisation]
		part := p.part(proxy, use, limit, d.available(p, limit, now), now)
		lacks := part < use.Used+use.Waiting
		spent := lacks && len(d.unheard) == 0 && p.spent(limit, now)
		if part != use.Part || spent {
			p.grant(proxy, r.Seq, part)
			out = append(out, proto.QuotaGrant{Organisation: use.Organisation, Rights: part, Spent: spent})
		}
		d.recordDivision(use.Organisation, p, spent, now)
	}
	for _, name := range d.lowered {
		p := d.pools[name]
		if p == nil || named[name] || p.holdings[proxy] == nil {
			continue
		}
		h := p.holdings[proxy]
		if part := p.scaled(h.part(), d.limits[name].Rights); part < h.part() {
			p.grant(proxy, r.Seq, part)
			out = append(out, proto.QuotaGrant{Organisation: name, Rights: part})
		}
	}
	return out
}

// available returns how many rights of an organisation proxies and their processes may have
// in all. A new leader gives no more than what those hold that it has heard. Once it has
// heard all, earlier processes may still have used the rest.
func (d *Divider) available(p *pool, limit quota.Limit, now types.Instant) int {
	if len(d.unheard) == 0 {
		p.allowance.begin(limit, now.Sub(d.restartedAt))
	}
	available := limit.Rights - p.pastRights(limit, now)
	unknown := max(0, limit.Rights-p.reported)
	switch since := now.Sub(d.restartedAt); {
	case len(d.unheard) > 0:
		return available - unknown
	case since < limit.Occupied():
		return available - max(0, unknown-limit.Regained(since))
	}
	return available
}

// recordDivision records that an organisation has reached its limit.
func (d *Divider) recordDivision(name types.OrganisationName, p *pool, spent bool, now types.Instant) {
	if !spent || p.recordedAt != 0 && now.Sub(p.recordedAt) < recordInterval {
		return
	}
	p.recordedAt = now
	d.decisions = append(d.decisions, effect.Decide{Kind: effect.DecideQuota, Organisation: name, Reason: fmt.Sprintf(
		"organisation %q needs more than its limit of %d operations in %s; %d proxies hold %d of them, %d are counted for earlier processes and %d proxies are unheard",
		name, d.limits[name].Rights, d.limits[name].Period, len(p.holdings), p.held, p.pastRights(d.limits[name], now), len(d.unheard))})
}

// Uses returns the use of all limits, in order of organisation, while this host leads.
func (d *Divider) Uses() []proto.OrganisationUse {
	if !d.role.Leading {
		return nil
	}
	d.updateLimits()
	var out []proto.OrganisationUse
	for _, name := range slices.Sorted(maps.Keys(d.limits)) {
		use := proto.OrganisationUse{Organisation: name, Limit: d.limits[name].Rights, Period: d.limits[name].Period}
		if p := d.pools[name]; p != nil {
			use.Held, use.Used = p.held, p.used
		}
		out = append(out, use)
	}
	return out
}
