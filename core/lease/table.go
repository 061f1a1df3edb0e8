package lease

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Leadership reports until when no other control host can be elected leader.
type Leadership interface {
	LeadsUntil() types.Instant
}

// ShareSource decides the shares that a proxy is granted of each target.
type ShareSource interface {
	Shares(proxy types.HostID) []proto.ShareGrant
	// Fleet returns the place of the proxy among those with a lease.
	Fleet(proxy types.HostID) types.Fleet
}

// SuspectSource names the managed services whose primary fails for some proxy.
type SuspectSource interface {
	Suspects(now types.Instant) []types.ServiceName
}

// QuotaSource divides the limits of organisations.
type QuotaSource interface {
	// Quotas returns the parts that change for the proxy, and whether its next request has
	// to name all that it holds.
	Quotas(proxy types.HostID) ([]proto.QuotaGrant, bool)
}

// Table holds the leases that this control host granted as leader.
type Table struct {
	self       types.HostID
	state      *cluster.State
	leadership Leadership
	shares     ShareSource
	suspects   SuspectSource
	quotas     QuotaSource

	now         types.Instant // time of the event in progress
	role        role.Role
	leaderSince types.Instant // when this host became leader
	proxies     map[types.HostID]*proxyRecord
	fence       fenceCache
	live        countCache
	pushedAt    types.Instant // when a new view was last sent to the proxies, or zero
	pushArmed   bool          // the timer of the next time is armed
}

// proxyRecord holds the last request and the lease of one proxy.
type proxyRecord struct {
	request              proto.LeaseRequest
	lastContact          types.Instant // time of the last request to this leader, or zero
	until                types.Instant // the lease may be live until then
	appliedVersion       uint64        // highest view version that all its shards have applied
	sentVersion          uint64        // version of the last complete view sent to it
	dueVersion           uint64        // version that its shards have to apply by dueAt
	dueAt                types.Instant
	awaitsRegistration   bool // its last request is answered after the registration
	registrationProposed bool // its registration was proposed and isn't committed yet
	removalProposed      bool // its removal was proposed
}

// NewTable returns a table without leases.
func NewTable(self types.HostID, state *cluster.State, lead Leadership) *Table {
	return &Table{self: self, state: state, leadership: lead, proxies: make(map[types.HostID]*proxyRecord)}
}

// SetShares sets the source of the shares in grants.
func (t *Table) SetShares(s ShareSource) { t.shares = s }

// SetSuspects sets the source of the suspects in grants.
func (t *Table) SetSuspects(s SuspectSource) { t.suspects = s }

// SetQuotas sets the source of the parts of limits in grants.
func (t *Table) SetQuotas(s QuotaSource) { t.quotas = s }

// Step processes one event and returns the grants and proposals that follow from it.
func (t *Table) Step(in event.Input) []effect.Effect {
	t.now = in.Now
	switch e := in.Event.(type) {
	case event.RoleChanged:
		return t.handleRoleChange(e)
	case event.LeaseRequested:
		return t.handleRequest(e.Request)
	case event.Committed:
		if e.Entry.Command.Proxy != nil {
			return t.handleRegistration(*e.Entry.Command.Proxy)
		}
		if !t.concernsProxies(e.Entry.Command) {
			return nil
		}
		return t.viewChanged()
	case event.TimerFired:
		switch e.ID {
		case tableTimer(timerSweep):
			return t.removeProxies()
		case tableTimer(timerPush):
			return t.pushView()
		}
	}
	return nil
}

// handleRoleChange discards all records. A new leader assumes that each registered
// proxy may still hold a lease that the previous leader granted.
func (t *Table) handleRoleChange(e event.RoleChanged) []effect.Effect {
	if !t.role.Update(e) {
		return nil
	}
	t.proxies = make(map[types.HostID]*proxyRecord)
	t.fence, t.live, t.pushArmed = fenceCache{}, countCache{}, false
	if !e.Leading {
		return nil
	}
	t.leaderSince = t.now
	for _, p := range t.state.Proxies() {
		t.proxies[p.Host] = &proxyRecord{until: t.now.Add(Duration + driftMargin)}
	}
	return []effect.Effect{t.armSweep()}
}

func (t *Table) handleRequest(r proto.LeaseRequest) []effect.Effect {
	if !t.ConfirmedLeader() {
		return t.refuse(r)
	}
	p := t.proxies[r.Proxy]
	if p == nil {
		if r.Draining {
			return nil
		}
		p = &proxyRecord{}
		t.proxies[r.Proxy] = p
	}
	if p.lastContact != 0 && stale(r.Seq, p.request.Seq) {
		return nil
	}
	p.request, p.lastContact = r, t.now
	if r.AppliedVersion > p.appliedVersion {
		p.appliedVersion = r.AppliedVersion
		t.fence.computedAt = 0
	}
	if reg, ok := t.state.Proxy(r.Proxy); !ok || reg.AvailabilityZone != r.AvailabilityZone {
		return t.proposeRegistration(p)
	}
	return t.grant(p)
}

// staleWindow is how many sequence numbers back a request is treated as an older
// one of the same process. Each process starts at a random number.
const staleWindow = 1 << 20

// stale reports whether seq equals last or is less than staleWindow before it.
func stale(seq, last uint64) bool { return last-seq < staleWindow }

// ConfirmedLeader reports whether this host leads and no other host can have been
// elected by the time of the event in progress.
func (t *Table) ConfirmedLeader() bool { return t.role.Leading && t.now < t.leadership.LeadsUntil() }

// refuse answers a request that only the leader may grant, and names the leader if
// another host is known to lead.
func (t *Table) refuse(r proto.LeaseRequest) []effect.Effect {
	g := proto.LeaseGrant{
		Proxy: r.Proxy, Seq: r.Seq, SentAt: r.SentAt, Term: t.role.Term, NotLeader: true,
		Hosts: proto.Addresses(t.state.Voters()),
	}
	if t.role.Leader != t.self {
		g.Leader = t.role.Leader
	}
	if t.state.AllManaged() {
		// This host's view is committed but may be outdated. Proxies of managed
		// services may serve by it, since that requires no lease.
		g.View = t.state.NextPart(r.ViewVersion, r.Cursor)
	}
	return []effect.Effect{effect.GrantLease{Grant: g}}
}

// proposeRegistration proposes the registration of a proxy. The proxy's last request
// is answered once the registration is committed.
func (t *Table) proposeRegistration(p *proxyRecord) []effect.Effect {
	p.awaitsRegistration = true
	if p.registrationProposed {
		return nil
	}
	p.registrationProposed = true
	return []effect.Effect{effect.Propose{Command: proto.Command{Proxy: &proto.SetProxy{
		Host: p.request.Proxy, AvailabilityZone: p.request.AvailabilityZone,
	}}}}
}

func (t *Table) handleRegistration(c proto.SetProxy) []effect.Effect {
	p := t.proxies[c.Host]
	t.fence.computedAt, t.live.countedAt = 0, 0
	switch {
	case !t.role.Leading || p == nil:
		return nil
	case c.Remove:
		delete(t.proxies, c.Host)
		return nil
	}
	p.registrationProposed = false
	if !p.awaitsRegistration || !t.ConfirmedLeader() {
		return nil
	}
	p.awaitsRegistration = false
	return t.grant(p)
}

// grant answers the last request of a proxy. The lease isn't extended if the proxy
// is draining, lacks further parts of the view or has shards that apply views too
// late. There is no answer while the removal of the proxy is pending.
func (t *Table) grant(p *proxyRecord) []effect.Effect {
	if p.removalProposed {
		return nil
	}
	g := proto.LeaseGrant{
		Proxy: p.request.Proxy, Seq: p.request.Seq, SentAt: p.request.SentAt,
		Term: t.role.Term, View: t.state.NextPart(p.request.ViewVersion, p.request.Cursor), Hosts: proto.Addresses(t.state.Voters()),
	}
	complete := g.View == nil || !g.View.More
	p.sentVersion = p.request.ViewVersion
	if complete {
		p.sentVersion = t.state.Version()
	}
	if complete && !p.request.Draining && t.appliesViewsInTime(p) {
		g.Duration = Duration
		p.until = t.now.Add(Duration + driftMargin)
		t.fence.version = min(t.fence.version, p.appliedVersion)
		t.live.countedAt = 0
	}
	if t.shares != nil {
		g.Shares = t.shares.Shares(p.request.Proxy)
		g.Fleet = t.shares.Fleet(p.request.Proxy)
	}
	if t.quotas != nil && g.Duration > 0 {
		g.Quotas, g.NameQuotas = t.quotas.Quotas(p.request.Proxy)
	}
	if t.suspects != nil {
		g.Suspects = t.suspects.Suspects(t.now)
	}
	return []effect.Effect{effect.GrantLease{Grant: g}}
}

// appliesViewsInTime reports whether the shards of a proxy apply new views within
// viewApplyTimeout. Otherwise a shard that hangs would block every promotion.
func (t *Table) appliesViewsInTime(p *proxyRecord) bool {
	if p.appliedVersion >= p.dueVersion {
		p.dueVersion = t.state.Version()
		p.dueAt = t.now.Add(viewApplyTimeout)
	}
	return p.appliedVersion >= p.dueVersion || t.now < p.dueAt
}

// concernsProxies reports whether proxies have to hear of a change before their next
// request. They use no member of a group that never had a primary.
func (t *Table) concernsProxies(c proto.Command) bool {
	var service types.ServiceName
	switch {
	case c.Member != nil:
		service = c.Member.Service
	case c.BeginTerm != nil:
		service = c.BeginTerm.Service
	default:
		return true
	}
	g := t.state.Group(service)
	return g != nil && g.Served()
}

// viewChanged sends a new view to the proxies at once, or a moment later together with
// further changes, so that many changes don't take the time that leases need.
func (t *Table) viewChanged() []effect.Effect {
	if !t.ConfirmedLeader() || t.pushArmed {
		return nil
	}
	interval := time.Duration(len(t.state.Proxies())) * time.Second / pushesPerSecond
	if next := t.pushedAt.Add(interval); t.pushedAt != 0 && t.now < next {
		t.pushArmed = true
		return []effect.Effect{effect.ArmTimer{ID: tableTimer(timerPush), At: next}}
	}
	return t.pushView()
}

// pushView sends a new view to the proxies that hold a lease, as another answer to
// their last request, without an extension of the lease and without shares. A view
// in several parts isn't pushed: proxies request each part.
func (t *Table) pushView() []effect.Effect {
	t.pushArmed = false
	if !t.ConfirmedLeader() {
		return nil
	}
	t.pushedAt = t.now
	version := t.state.Version()
	updates := make(map[uint64]*proto.ViewUpdate) // by the version that they build on
	var out []effect.Effect
	for _, reg := range t.state.Proxies() {
		p := t.proxies[reg.Host]
		if p == nil || p.lastContact == 0 || t.now >= p.until || p.sentVersion >= version {
			continue
		}
		update, ok := updates[p.sentVersion]
		if !ok {
			update = t.state.NextPart(p.sentVersion, proto.ViewCursor{})
			updates[p.sentVersion] = update
		}
		if update.More {
			continue
		}
		out = append(out, effect.GrantLease{Grant: proto.LeaseGrant{
			Proxy: reg.Host, Seq: p.request.Seq, SentAt: p.request.SentAt, Term: t.role.Term, View: update,
		}})
		p.sentVersion = version
	}
	return out
}

// Keys of the table's timers.
const (
	timerSweep uint64 = iota
	timerPush
)

func tableTimer(key uint64) event.TimerID {
	return event.TimerID{Domain: event.DomainLeaseTable, Key: key}
}

func (t *Table) armSweep() effect.Effect {
	return effect.ArmTimer{ID: tableTimer(timerSweep), At: t.now.Add(sweepInterval)}
}

// removeProxies proposes the removal of proxies whose lease has ended and that drain
// or have sent no request for removeAfter.
func (t *Table) removeProxies() []effect.Effect {
	if !t.role.Leading {
		return nil
	}
	out := []effect.Effect{t.armSweep()}
	for _, reg := range t.state.Proxies() {
		p := t.proxies[reg.Host]
		if p == nil || t.now < p.until || !t.removable(p) {
			continue
		}
		p.removalProposed = true
		out = append(out, effect.Propose{Command: proto.Command{Proxy: &proto.SetProxy{Host: reg.Host, Remove: true}}})
	}
	return out
}

// removable reports whether a proxy without a lease may be removed.
func (t *Table) removable(p *proxyRecord) bool {
	if p.request.Draining {
		return true
	}
	return t.now.Sub(max(p.lastContact, t.leaderSince)) >= removeAfter
}
