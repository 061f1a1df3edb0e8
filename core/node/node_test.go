package node_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/node"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const (
	ms      = types.Instant(time.Millisecond)
	service = types.ServiceName("a")
)

var ref = types.TargetRef{Service: service, Name: "t1"}

// proxy steps a node with two shards and records its lease requests and views.
type proxy struct {
	t        *testing.T
	node     *node.Node
	now      types.Instant
	requests []proto.LeaseRequest
	views    []*types.NodeView
}

func newProxy(t *testing.T) *proxy {
	p := &proxy{t: t, now: 1000 * ms, node: node.New(node.Options{Host: "p1", Shards: 2})}
	p.step(event.Start{})
	return p
}

func (p *proxy) step(ev event.Event) {
	published := 0
	for _, eff := range p.node.Step(event.Input{Now: p.now, Seed: 9, Event: ev}) {
		switch e := eff.(type) {
		case effect.RequestLease:
			p.requests = append(p.requests, e.Request)
		case effect.PublishView:
			p.views = append(p.views, e.View)
			published++
		}
	}
	assert.Assert(p.t, published <= 1, "%d views published in one step", published)
}

// advance moves the clock by d, sends the next lease request and returns it.
func (p *proxy) advance(d types.Instant) proto.LeaseRequest {
	p.now += d
	p.step(event.TimerFired{ID: event.TimerID{Domain: event.DomainLeaseHolder}})
	return p.request()
}

func (p *proxy) request() proto.LeaseRequest   { return p.requests[len(p.requests)-1] }
func (p *proxy) view() *types.NodeView         { return p.views[len(p.views)-1] }
func (p *proxy) report(r event.ShardReport)    { p.step(event.ShardReported{Report: r}) }
func (p *proxy) announce(a proto.Announcement) { p.step(event.Announced{Announcement: a}) }

func (p *proxy) grant(version uint64, phase types.GroupPhase, share int) {
	r := p.request()
	p.step(event.LeaseGranted{From: "c1", Grant: proto.LeaseGrant{
		Proxy: "p1", Seq: r.Seq, SentAt: r.SentAt, Duration: lease.Duration, Term: 1,
		View: &proto.ViewUpdate{Version: version, Groups: []*types.Group{{
			Service: service, Term: 1, Phase: phase, Primary: "t1", Members: []types.Target{{Name: "t1"}},
		}}},
		Shares: []proto.ShareGrant{{Ref: ref, Share: types.Share{Connections: share, Slots: 1}}},
	}})
}

func TestSeenIsTheLowestOfAllShards(t *testing.T) {
	p := newProxy(t)
	p.grant(5, types.GroupServing, 3)
	p.report(event.ShardReport{Shard: 0, AppliedVersion: 5})
	assert.Equal(t, p.advance(300*ms).AppliedVersion, uint64(0), "a shard has not reported")
	p.report(event.ShardReport{Shard: 1, AppliedVersion: 4})
	assert.Equal(t, p.advance(300*ms).AppliedVersion, uint64(4))
	before := len(p.requests)
	p.now += 30 * ms
	p.report(event.ShardReport{Shard: 1, AppliedVersion: 5})
	assert.Equal(t, len(p.requests), before+1, "no early request confirms the view to the control hosts")
	assert.Equal(t, p.request().AppliedVersion, uint64(5))
}

func TestServiceIsQuiescedOnceAllShardsAre(t *testing.T) {
	p := newProxy(t)
	p.grant(5, types.GroupQuiescing, 3)
	p.report(event.ShardReport{Shard: 0, AppliedVersion: 5})
	p.report(event.ShardReport{Shard: 1, AppliedVersion: 4})
	assert.Equal(t, len(p.advance(300*ms).Quiesced), 0)
	p.report(event.ShardReport{Shard: 1, AppliedVersion: 5, WritingServices: []types.ServiceName{service}})
	assert.Equal(t, len(p.advance(300*ms).Quiesced), 0)
	p.report(event.ShardReport{Shard: 1, AppliedVersion: 5})
	assert.DeepEqual(t, p.advance(300*ms).Quiesced, []types.ServiceName{service})
}

func TestHeldShareFallsOnceShardsDropTheReplacedOne(t *testing.T) {
	p := newProxy(t)
	p.grant(5, types.GroupServing, 8)
	p.report(event.ShardReport{Shard: 0, Connections: map[types.TargetRef]int{ref: 4}})
	p.advance(300 * ms)
	p.grant(6, types.GroupServing, 2)
	assert.Equal(t, p.advance(20 * ms).Held[0].Share.Connections, 8, "a shard may still act on the earlier share")
	assert.Equal(t, p.advance(50 * ms).Held[0].Share.Connections, 4, "a shard still holds connections")
	p.report(event.ShardReport{Shard: 0, Demand: map[types.TargetRef]int{ref: 7}})
	held := p.advance(20 * ms).Held[0]
	assert.Equal(t, held.Share.Connections, 2)
	assert.Equal(t, held.Demand, 7)
}

// TestRepeatedAnnouncementWaitsForTheInterval covers a target that announces the same
// state again under a higher number.
func TestRepeatedAnnouncementWaitsForTheInterval(t *testing.T) {
	p := newProxy(t)
	for seq := uint64(1); seq < 4; seq++ {
		p.now += 100 * ms
		before := len(p.requests)
		p.announce(proto.Announcement{Service: service, Name: "t1", Seq: seq})
		assert.Equal(t, len(p.requests) > before, seq == 1, "announcement %d", seq)
	}
}

func TestAnnouncementsRepeatUntilGranted(t *testing.T) {
	p := newProxy(t)
	p.now += 100 * ms
	p.announce(proto.Announcement{Service: service, Name: "t1"})
	assert.Equal(t, len(p.request().Announcements), 1, "the announcement is not sent before the next interval")
	again := p.advance(300 * ms)
	assert.Equal(t, again.Announcements[0].Age, 300*time.Millisecond)
	p.grant(5, types.GroupServing, 1)
	assert.Equal(t, len(p.advance(300*ms).Announcements), 0)
}

func TestDrainingIsReportedOnceTheProxyIsIdle(t *testing.T) {
	p := newProxy(t)
	p.grant(5, types.GroupServing, 1)
	p.step(event.DrainBegan{})
	assert.Equal(t, p.view().Draining, true)
	p.report(event.ShardReport{Shard: 0, AppliedVersion: 5})
	p.report(event.ShardReport{Shard: 1, AppliedVersion: 5, Sessions: 1})
	assert.Equal(t, p.advance(300*ms).Draining, false)
	p.report(event.ShardReport{Shard: 1, AppliedVersion: 5})
	assert.Equal(t, p.advance(300*ms).Draining, true)
}

func TestExpiredLeaseRemovesTheShares(t *testing.T) {
	p := newProxy(t)
	p.grant(5, types.GroupServing, 1)
	assert.Equal(t, len(p.view().Shares), 1)
	p.now = p.view().LeaseUntil
	p.step(event.TimerFired{ID: event.TimerID{Domain: event.DomainLeaseHolder, Key: 2}})
	assert.Equal(t, len(p.view().Shares), 0)
	assert.Equal(t, p.view().LeaseLive(p.now), false)
}

func TestShortDropIsHiddenFromReportedDemand(t *testing.T) {
	p := newProxy(t)
	p.grant(5, types.GroupServing, 4)
	want := func(n int) { p.report(event.ShardReport{Demand: map[types.TargetRef]int{ref: n}}) }
	want(9)
	p.advance(2000 * ms)
	assert.Equal(t, p.request().Held[0].Demand, 9)
	want(0)
	assert.Equal(t, p.advance(300 * ms).Held[0].Demand, 9)
	want(2)
	assert.Equal(t, p.advance(300 * ms).Held[0].Demand, 9)
	assert.Equal(t, p.advance(500 * ms).Held[0].Demand, 2)
}

func TestPositionsThatNoShardWaitsForAreBatched(t *testing.T) {
	p := newProxy(t)
	p.grant(5, types.GroupServing, 1)
	before := len(p.views)
	probed := func() { p.step(event.Probed{Ref: ref, ProbedAt: p.now}) }
	for range 3 {
		p.now += ms
		probed()
	}
	assert.Equal(t, len(p.views), before)
	p.now += 2 * ms
	p.step(event.TimerFired{ID: event.TimerID{Domain: event.DomainNode}})
	assert.Equal(t, len(p.views), before+1)
	p.report(event.ShardReport{WaitingServices: []types.ServiceName{service}})
	p.now += ms
	probed()
	assert.Equal(t, len(p.views), before+2, "a position that a shard waits for is not published at once")
}

// TestProxyReportsWhatItUsesOfManagedTargets covers a managed target of which the proxy
// keeps nothing while idle: what it holds, and what it could use now, is reported, and
// nothing once it uses none.
func TestProxyReportsWhatItUsesOfManagedTargets(t *testing.T) {
	p := newProxy(t)
	r := p.request()
	p.step(event.LeaseGranted{From: "c1", Grant: proto.LeaseGrant{
		Proxy: "p1", Seq: r.Seq, SentAt: r.SentAt, Duration: lease.Duration, Term: 1,
		View: &proto.ViewUpdate{
			Version: 5, Groups: []*types.Group{{Service: service, Members: []types.Target{{Name: "t1", Address: "1"}}}},
			Config: &types.Config{Services: map[types.ServiceName]types.Service{service: {Name: service, Connections: 48, Managed: true}}},
		},
		Fleet: types.Fleet{Proxies: 34, Index: 3},
	}})
	assert.Equal(t, len(p.advance(300*ms).Held), 0)
	p.report(event.ShardReport{Shard: 0, Connections: map[types.TargetRef]int{ref: 2}, Demand: map[types.TargetRef]int{ref: 5}})
	p.report(event.ShardReport{Shard: 1, Connections: map[types.TargetRef]int{ref: 1}})
	assert.DeepEqual(t, p.advance(300*ms).Held, []proto.ShareHeld{{Ref: ref, Share: types.Share{Connections: 3}, Demand: 5}})
	p.report(event.ShardReport{Shard: 0})
	p.report(event.ShardReport{Shard: 1})
	assert.Equal(t, len(p.advance(300*ms).Held), 0)
}

// TestViewHasKeyHolders checks that a published view knows the keys of its own
// configuration.
func TestViewHasKeyHolders(t *testing.T) {
	p := newProxy(t)
	publish := func(version uint64, keys ...types.KeyDigest) {
		r := p.request()
		p.step(event.LeaseGranted{From: "c1", Grant: proto.LeaseGrant{
			Proxy: "p1", Seq: r.Seq, SentAt: r.SentAt, Duration: lease.Duration, Term: 1,
			View: &proto.ViewUpdate{Version: version, Config: &types.Config{
				Version: version, Organisations: map[types.OrganisationName]types.Organisation{"mill": {Name: "mill", Keys: keys}},
			}},
		}})
	}
	publish(5, types.KeyDigest{1}, types.KeyDigest{2})
	assert.DeepEqual(t, p.view().KeyHolders, map[types.KeyDigest]types.OrganisationName{{1}: "mill", {2}: "mill"})
	p.advance(300 * ms)
	publish(6, types.KeyDigest{2})
	assert.DeepEqual(t, p.view().KeyHolders, map[types.KeyDigest]types.OrganisationName{{2}: "mill"})
}

const limited = types.OrganisationName("north")

// grantQuota grants a lease and rights of an organisation for a request.
func (p *proxy) grantQuota(r proto.LeaseRequest, rights int) {
	p.step(event.LeaseGranted{From: "c1", Grant: proto.LeaseGrant{
		Proxy: "p1", Seq: r.Seq, SentAt: r.SentAt, Duration: lease.Duration, Term: 1,
		View: &proto.ViewUpdate{Version: 1, Config: &types.Config{
			Version: 1, QuotaWindow: 5 * time.Second,
			Organisations: map[types.OrganisationName]types.Organisation{limited: {Name: limited, Rate: 4}},
			Services:      map[types.ServiceName]types.Service{service: {Name: service, Managed: true}},
		}},
		Quotas: []proto.QuotaGrant{{Organisation: limited, Rights: rights}},
	}})
}

// TestNewLeaderIsToldAllThatIsHeld covers a control host that does not know the proxy.
func TestNewLeaderIsToldAllThatIsHeld(t *testing.T) {
	p := newProxy(t)
	p.grantQuota(p.request(), 2)
	assert.Equal(t, p.view().Quotas[limited].Rights, 2)
	current := p.advance(300 * ms)
	p.step(event.LeaseGranted{From: "c1", Grant: proto.LeaseGrant{
		Proxy: "p1", Seq: current.Seq, SentAt: current.SentAt, Duration: lease.Duration, Term: 1, NameQuotas: true,
	}})
	all := p.advance(300 * ms)
	assert.Assert(t, all.QuotasFull)
	assert.DeepEqual(t, all.QuotaUses, []proto.QuotaUse{{Organisation: limited, Part: 2}})
}

// TestLateGrantOfAnEarlierLeaderBringsNoRights covers a grant for a request that was sent
// before the last one that told control all that the proxy holds.
func TestLateGrantOfAnEarlierLeaderBringsNoRights(t *testing.T) {
	p := newProxy(t)
	p.grantQuota(p.request(), 2)
	assert.Assert(t, p.advance(10000*ms).QuotasFull, "all parts have ended")
	late := p.advance(300 * ms)
	assert.Assert(t, !late.QuotasFull)
	all := p.advance(400 * ms)
	assert.Assert(t, all.QuotasFull)
	p.grantQuota(late, 9)
	assert.Equal(t, p.view().Quotas[limited].Rights, 0)
	p.grantQuota(all, 9)
	assert.Equal(t, p.view().Quotas[limited].Rights, 9)
}

// TestReplacedPartIsReportedWhileShardsMayActOnIt covers a part that becomes smaller.
func TestReplacedPartIsReportedWhileShardsMayActOnIt(t *testing.T) {
	p := newProxy(t)
	p.grantQuota(p.request(), 5)
	p.advance(300 * ms)
	p.grantQuota(p.request(), 2)
	assert.Equal(t, p.advance(20 * ms).QuotaUses[0].Part, 5)
	assert.Equal(t, p.advance(40 * ms).QuotaUses[0].Part, 2)
}

// TestPartsEndSomeTimeAfterTheLease covers a proxy that was cut off: afterwards it tells
// control that it holds nothing.
func TestPartsEndSomeTimeAfterTheLease(t *testing.T) {
	p := newProxy(t)
	p.grantQuota(p.request(), 5)
	p.advance(300 * ms)
	assert.Assert(t, !p.request().QuotasFull)
	back := p.advance(10000 * ms)
	assert.Assert(t, back.QuotasFull)
	assert.Equal(t, len(back.QuotaUses), 0)
}
