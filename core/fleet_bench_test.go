package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/node"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// servicesPerProxy is the ratio of the size that the users expect: 2,200 services before
// 1,300 proxies.
const servicesPerProxy = 1.7

// fleetSizes are numbers of proxies.
var fleetSizes = []int{30, 300, 1300}

// fleetLeader is a leader of managed services with proxies that hold leases.
type fleetLeader struct {
	reducer  *core.Reducer
	now      types.Instant
	proxies  int
	services int
	version  uint64
	seq      uint64
}

func newFleetLeader(proxies int) *fleetLeader {
	l := &fleetLeader{
		reducer: benchLeader(), now: types.Instant(time.Hour), proxies: proxies, services: int(servicesPerProxy * float64(proxies)), version: 10,
	}
	st := benchState(l.services, proxies, true)
	l.step(event.Start{})
	l.step(event.Restored{Snapshot: proto.Snapshot{Index: 10, State: st}})
	l.step(event.RoleChanged{Leading: true, Leader: "control-1", Term: 1})
	for i := range proxies {
		l.request(i)
	}
	return l
}

func (l *fleetLeader) step(ev event.Event) []effect.Effect {
	return l.reducer.Step(event.Input{Now: l.now, Event: ev})
}

func (l *fleetLeader) request(proxy int) []effect.Effect {
	l.seq++
	l.now = l.now.Add(renewInterval / time.Duration(l.proxies))
	return l.step(event.LeaseRequested{Request: proto.LeaseRequest{
		Proxy: proxyName(proxy), Seq: l.seq, ViewVersion: l.version, AppliedVersion: l.version,
	}})
}

func (l *fleetLeader) commit(c proto.Command) []effect.Effect {
	l.version++
	l.now = l.now.Add(time.Millisecond)
	return l.step(event.Committed{Entry: proto.Entry{Index: l.version, Term: 1, Command: c}})
}

func benchFleets(b *testing.B, prepare func(l *fleetLeader), do func(l *fleetLeader, n int)) {
	for _, proxies := range fleetSizes {
		b.Run(fmt.Sprintf("proxies=%d", proxies), func(b *testing.B) {
			l := newFleetLeader(proxies)
			prepare(l)
			n := 0
			for b.Loop() {
				do(l, n)
				n++
			}
		})
	}
}

// settled prepares nothing: every group serves.
func settled(*fleetLeader) {}

// BenchmarkFleetRenewal measures a lease request without news.
func BenchmarkFleetRenewal(b *testing.B) {
	benchFleets(b, settled, func(l *fleetLeader, n int) { l.request(n % l.proxies) })
}

// heldPerProxy is how many targets a proxy uses at a time in BenchmarkFleetRenewalUnderLoad.
const heldPerProxy = 10

// BenchmarkFleetRenewalUnderLoad measures a lease request that names the targets that the
// proxy uses. All proxies together use every target.
func BenchmarkFleetRenewalUnderLoad(b *testing.B) {
	use := func(l *fleetLeader, proxy int) {
		l.seq++
		l.now = l.now.Add(renewInterval / time.Duration(l.proxies))
		r := proto.LeaseRequest{Proxy: proxyName(proxy), Seq: l.seq, ViewVersion: l.version, AppliedVersion: l.version}
		for i := range heldPerProxy {
			at := proxy*heldPerProxy + i
			r.Held = append(r.Held, proto.ShareHeld{
				Ref:   types.TargetRef{Service: serviceName(at / benchMembers % l.services), Name: types.TargetName(fmt.Sprintf("member-%d", at%benchMembers))},
				Share: types.Share{Connections: 2}, Demand: 2,
			})
		}
		l.step(event.LeaseRequested{Request: r})
	}
	benchFleets(b, func(l *fleetLeader) {
		for i := range l.proxies {
			use(l, i)
		}
	}, func(l *fleetLeader, n int) { use(l, n%l.proxies) })
}

// BenchmarkFleetRenewalWhileFencing measures a lease request while every group is in a new
// term, as after a start of everything.
func BenchmarkFleetRenewalWhileFencing(b *testing.B) {
	benchFleets(b, func(l *fleetLeader) {
		for i := range l.services {
			l.step(event.Committed{Entry: proto.Entry{Index: uint64(11 + i), Term: 1, Command: proto.Command{
				BeginTerm: &proto.BeginTerm{Service: serviceName(i), Term: 2},
			}}})
		}
	}, func(l *fleetLeader, n int) { l.request(n % l.proxies) })
}

// BenchmarkFleetMemberChange measures a committed change of one member.
func BenchmarkFleetMemberChange(b *testing.B) {
	benchFleets(b, settled, func(l *fleetLeader, n int) {
		l.commit(proto.Command{Member: &proto.SetMember{
			Service: serviceName(n % l.services),
			Target:  types.Target{Name: "member-1", Address: types.Address(fmt.Sprintf("10.0.0.1:%d", n%60000))},
		}})
	})
}

// BenchmarkFleetAnnouncement measures a repeated announcement of a member.
func BenchmarkFleetAnnouncement(b *testing.B) {
	benchFleets(b, settled, func(l *fleetLeader, n int) {
		l.now = l.now.Add(time.Millisecond)
		l.step(event.OperatorCalled{Call: uint64(n), Request: proto.OperatorRequest{Announce: &proto.Announcement{
			Service: serviceName(n % l.services), Name: "member-1", Address: "10.0.0.1:5432", Seq: uint64(n),
		}}})
	})
}

// fleetProxy is the control goroutine of a proxy that knows the views of a fleet.
type fleetProxy struct {
	reducer *core.Reducer
	now     types.Instant
	groups  []*types.Group
	request proto.LeaseRequest // the last one
	version uint64
}

func newFleetProxy(proxies int) *fleetProxy {
	st := benchState(int(servicesPerProxy*float64(proxies)), 1, true)
	p := &fleetProxy{
		reducer: core.NewProxy(node.Options{Host: "proxy-0", Shards: 1}), now: types.Instant(time.Hour), groups: st.Groups, version: 10,
	}
	p.step(event.Start{})
	p.grant(&proto.ViewUpdate{Version: p.version, Config: st.Config, Groups: st.Groups})
	return p
}

func (p *fleetProxy) step(ev event.Event) {
	for _, eff := range p.reducer.Step(event.Input{Now: p.now, Event: ev}) {
		if e, ok := eff.(effect.RequestLease); ok {
			p.request = e.Request
		}
	}
}

// grant answers the last request.
func (p *fleetProxy) grant(u *proto.ViewUpdate) {
	p.step(event.LeaseGranted{From: "control-1", Grant: proto.LeaseGrant{
		Proxy: "proxy-0", Seq: p.request.Seq, SentAt: p.request.SentAt, Duration: 24 * time.Hour, Term: 1, View: u,
	}})
}

func benchFleetProxies(b *testing.B, do func(p *fleetProxy, n int)) {
	for _, proxies := range fleetSizes {
		b.Run(fmt.Sprintf("proxies=%d", proxies), func(b *testing.B) {
			p := newFleetProxy(proxies)
			n := 0
			for b.Loop() {
				p.now = p.now.Add(time.Millisecond)
				do(p, n)
				n++
			}
		})
	}
}

// BenchmarkFleetViewChange measures what a change of one group costs a proxy.
func BenchmarkFleetViewChange(b *testing.B) {
	benchFleetProxies(b, func(p *fleetProxy, n int) {
		g := *p.groups[n%len(p.groups)]
		g.Term = types.Term(n + 2)
		p.version++
		p.grant(&proto.ViewUpdate{Base: p.version - 1, Version: p.version, Groups: []*types.Group{&g}})
	})
}

// BenchmarkFleetGrant measures what a renewed lease costs a proxy.
func BenchmarkFleetGrant(b *testing.B) {
	benchFleetProxies(b, func(p *fleetProxy, _ int) { p.grant(nil) })
}
