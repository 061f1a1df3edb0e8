package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/limits"
	"github.com/camphorpaddle/camphorpaddle/core/membership"
	"github.com/camphorpaddle/camphorpaddle/core/node"
	"github.com/camphorpaddle/camphorpaddle/core/operator"
	"github.com/camphorpaddle/camphorpaddle/core/promotion"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/session"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	benchMembers  = 3
	benchSlots    = 5
	benchConns    = 20000
	renewInterval = 300 * time.Millisecond
)

// permanentLeader is a leadership that never expires.
type permanentLeader struct{}

func (permanentLeader) LeadsUntil() types.Instant { return 1 << 62 }

func serviceName(i int) types.ServiceName { return types.ServiceName(fmt.Sprintf("service-%04d", i)) }

func proxyName(i int) types.HostID { return types.HostID(fmt.Sprintf("proxy-%04d", i)) }

// benchState returns a replicated state with the given numbers of serving groups
// and registered proxies.
func benchState(services, proxies int, managed bool) proto.ClusterState {
	st := proto.ClusterState{Config: &types.Config{
		Version:  1,
		Services: make(map[types.ServiceName]types.Service),
		Profiles: map[types.ProfileName]types.Profile{"p": {Name: "p", Weight: 1}},
	}}
	for i := range services {
		name := serviceName(i)
		st.Config.Services[name] = types.Service{
			Name: name, Members: benchMembers, Slots: benchSlots, Connections: benchConns,
			DefaultProfile: "p", Profiles: []types.ProfileName{"p"}, Managed: managed,
		}
		st.Groups = append(st.Groups, benchGroup(name))
	}
	for i := range proxies {
		st.Proxies = append(st.Proxies, proto.SetProxy{Host: proxyName(i)})
	}
	return st
}

func benchGroup(name types.ServiceName) *types.Group {
	g := &types.Group{
		Service: name, Term: 1, Phase: types.GroupServing, Primary: "member-0",
		History: types.TermHistory{{Term: 1}},
	}
	for i := range benchMembers {
		g.Members = append(g.Members, types.Target{
			Name:    types.TargetName(fmt.Sprintf("member-%d", i)),
			Address: types.Address(fmt.Sprintf("10.0.0.%d:5432", i)),
		})
	}
	return g
}

// benchLeader returns the reducer of a control host without consensus that leads for good.
func benchLeader() *core.Reducer {
	state := cluster.New()
	leases := lease.NewTable("control-1", state, permanentLeader{})
	shares := limits.New(state, leases)
	leases.SetShares(shares)
	return core.New(state, leases, shares, membership.New(state), promotion.New(state, leases), operator.New("control-1", state, leases))
}

// BenchmarkLeaseRequest measures the cost of one lease request on the control
// leader, at three sizes of the system.
func BenchmarkLeaseRequest(b *testing.B) {
	for _, size := range []struct{ proxies, services int }{{13, 22}, {130, 220}, {1300, 2200}} {
		b.Run(fmt.Sprintf("proxies=%d/services=%d", size.proxies, size.services), func(b *testing.B) {
			r := benchLeader()
			now := types.Instant(time.Hour)
			step := func(ev event.Event) []effect.Effect { return r.Step(event.Input{Now: now, Event: ev}) }
			step(event.Start{})
			step(event.Restored{Snapshot: proto.Snapshot{Index: 10, State: benchState(size.services, size.proxies, false)}})
			step(event.RoleChanged{Leading: true, Leader: "control-1", Term: 1})
			n := 0
			for b.Loop() {
				now = now.Add(renewInterval / time.Duration(size.proxies))
				req := proto.LeaseRequest{Proxy: proxyName(n % size.proxies), Seq: uint64(n), ViewVersion: 10, AppliedVersion: 10}
				step(event.LeaseRequested{Request: req})
				n++
			}
		})
	}
}

// BenchmarkManagedLeaseRequest measures the cost of one lease request on the control
// leader when all services are managed, for proxies that use more than they keep of three
// targets each, at three sizes of the system.
func BenchmarkManagedLeaseRequest(b *testing.B) {
	const services = 20
	for _, proxies := range []int{30, 300, 1300} {
		b.Run(fmt.Sprintf("proxies=%d", proxies), func(b *testing.B) {
			r := benchLeader()
			now := types.Instant(time.Hour)
			step := func(ev event.Event) []effect.Effect { return r.Step(event.Input{Now: now, Event: ev}) }
			step(event.Start{})
			step(event.Restored{Snapshot: proto.Snapshot{Index: 10, State: benchState(services, proxies, true)}})
			step(event.RoleChanged{Leading: true, Leader: "control-1", Term: 1})
			n := 0
			for b.Loop() {
				now = now.Add(renewInterval / time.Duration(proxies))
				req := proto.LeaseRequest{Proxy: proxyName(n % proxies), Seq: uint64(n + 1), ViewVersion: 10, AppliedVersion: 10}
				for i := range 3 {
					ref := types.TargetRef{Service: serviceName((n + i) % services), Name: "member-0"}
					req.Held = append(req.Held, proto.ShareHeld{Ref: ref, Share: types.Share{Connections: 2}, Demand: 3})
					req.Reports = append(req.Reports, proto.TargetReport{Ref: ref, Status: types.TargetStatus{Term: 1, Primary: true}})
				}
				step(event.LeaseRequested{Request: req})
				n++
			}
		})
	}
}

// BenchmarkProbed measures the cost of one probe result on a proxy's control
// goroutine, at three numbers of database groups.
func BenchmarkProbed(b *testing.B) {
	for _, groups := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			r := core.NewProxy(node.Options{Host: "proxy-0", Shards: 1})
			now := types.Instant(time.Hour)
			step := func(ev event.Event) []effect.Effect { return r.Step(event.Input{Now: now, Event: ev}) }
			grantView(step(event.Start{}), step, groups)
			n := 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				ref := types.TargetRef{Service: serviceName(n % groups), Name: "member-0"}
				step(event.Probed{Ref: ref, ProbedAt: now.Add(-time.Millisecond), Status: types.TargetStatus{
					Term: 1, Primary: true, Pos: types.LogPos{Term: 1, Offset: uint64(n)},
				}})
				n++
			}
		})
	}
}

// grantView answers the lease requests in effects with a full view.
func grantView(effects []effect.Effect, step func(event.Event) []effect.Effect, groups int) {
	st := benchState(groups, 1, false)
	for _, eff := range effects {
		if req, ok := eff.(effect.RequestLease); ok {
			step(event.LeaseGranted{From: "control-1", Grant: proto.LeaseGrant{
				Proxy: "proxy-0", Seq: req.Request.Seq, SentAt: req.Request.SentAt,
				Duration: 24 * time.Hour, Term: 1,
				View: &proto.ViewUpdate{Version: 10, Config: st.Config, Groups: st.Groups},
			}})
		}
	}
}

// BenchmarkIdleSessions measures the heap used by each idle session of a shard.
func BenchmarkIdleSessions(b *testing.B) {
	for _, sessions := range []int{10_000, 20_000, 40_000} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			st := benchState(1, 1, false)
			view := &types.NodeView{LeaseUntil: 1 << 62, Cluster: &types.ClusterView{
				Version: 10, Config: st.Config,
				Groups: map[types.ServiceName]*types.Group{serviceName(0): st.Groups[0]},
			}}
			for b.Loop() {
				before := heapBytes()
				r := core.NewShard(session.Options{Host: "proxy-0"})
				for i := range sessions {
					r.Step(event.Input{Now: types.Instant(time.Hour), View: view, Event: event.SessionOpened{
						Session: types.SessionID(i), Params: types.SessionParams{Service: serviceName(0)},
					}})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(sessions), "B/session")
				runtime.KeepAlive(r)
			}
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
