package systemtest

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	fleetVoters  = 5
	fleetMembers = 3 // of each service
	// fleetAnnounceInterval is the time between two announcements of a target.
	fleetAnnounceInterval = 1200 * time.Millisecond
	fleetLogTerm          = types.Term(7) // term that the targets report
	// allocatedPerSecond is how many bytes a control host allocates in a second of work. A
	// step takes as long as that follows from what it allocates, so that its duration
	// doesn't depend on the machine.
	allocatedPerSecond = 100 << 20
)

// fleet is a system of control hosts, the lease holders of many proxies, and managed
// services whose targets announce themselves. The control hosts take time for their work.
type fleet struct {
	t        *testing.T
	cluster  *coretest.Cluster
	holders  map[types.HostID]*lease.Holder
	services int
	leader   types.HostID
	elected  int // number of elections
}

func newFleet(t *testing.T, proxies, services int) *fleet {
	f := &fleet{t: t, holders: make(map[types.HostID]*lease.Holder), services: services}
	f.cluster = coretest.NewCluster(1, f.build)
	f.cluster.Network.DelayMin, f.cluster.Network.DelayMax = time.Millisecond, 8*time.Millisecond
	f.cluster.Effect = f.execute
	first := &proto.Snapshot{Index: 1, Term: 1}
	for i := range fleetVoters {
		first.Voters = append(first.Voters, proto.Voter{Host: controlName(i)})
	}
	for _, v := range first.Voters {
		h := &coretest.Host{
			ID: v.Host, SyncTime: time.Millisecond,
			Disk: consensus.PersistentState{HardState: proto.HardState{Term: 1, Commit: 1}, Snapshot: first},
		}
		h.SetWork(allocated)
		f.cluster.Hosts[v.Host] = h
	}
	for _, v := range first.Voters {
		f.cluster.Start(v.Host)
	}
	for i := range proxies {
		id := types.HostID(fmt.Sprintf("proxy-%d", i))
		f.cluster.Schedule(time.Duration(i%30)*10*time.Millisecond, func() { f.cluster.Start(id) })
	}
	for i := range services {
		for m := range fleetMembers {
			phase := fleetAnnounceInterval * time.Duration(i*fleetMembers+m) / time.Duration(services*fleetMembers)
			f.cluster.Schedule(phase, func() { f.announce(i, m) })
		}
	}
	f.cluster.Schedule(2*time.Second, f.configure)
	return f
}

func controlName(i int) types.HostID { return types.HostID(fmt.Sprintf("control-%d", i)) }

func fleetService(i int) types.ServiceName { return types.ServiceName(fmt.Sprintf("service-%03d", i)) }

// allocated executes a step and returns how long a control host takes for what the step
// allocates.
func allocated(step func()) time.Duration {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	step()
	runtime.ReadMemStats(&after)
	return time.Duration(after.TotalAlloc-before.TotalAlloc) * time.Second / allocatedPerSecond
}

func (f *fleet) build(h *coretest.Host) coretest.Stepper {
	if h.Disk.Snapshot != nil {
		return core.NewControlHost(proto.Voter{Host: h.ID}, h.Disk, consensus.Policy{Voters: fleetVoters, VoterSilence: time.Minute})
	}
	var holder *lease.Holder
	holder = lease.NewHolder(h.ID, "z", func(r *proto.LeaseRequest) {
		if v := holder.Cluster(); v != nil {
			r.AppliedVersion = v.Version
		}
	})
	f.holders[h.ID] = holder
	return holder
}

func (f *fleet) execute(h *coretest.Host, eff effect.Effect) {
	switch e := eff.(type) {
	case effect.GrantLease:
		f.cluster.Send(h.ID, e.Grant.Proxy, event.LeaseGranted{From: h.ID, Grant: e.Grant})
	case effect.RequestLease:
		to := e.To
		if to == "" {
			to = controlName(int(f.cluster.Random() % fleetVoters))
		}
		f.cluster.Send(h.ID, to, event.LeaseRequested{Request: e.Request})
	case effect.CallTarget:
		f.cluster.Schedule(2*f.cluster.Delay(), func() {
			f.cluster.Deliver(h.ID, event.TargetReplied{Call: e.Call, Result: types.Result{Status: targetStatus(e.Target.Name)}})
		})
	case effect.Decide:
		if e.Kind == effect.DecideLeader {
			f.leader = h.ID
			f.elected++
		}
	}
}

// targetStatus returns the status of a target: the first member of each group is primary.
func targetStatus(name types.TargetName) types.TargetStatus {
	return types.TargetStatus{Term: fleetLogTerm, Primary: name == "member-0", Pos: types.LogPos{Term: fleetLogTerm, Offset: 1}}
}

// announce sends the announcement of a target to a random control host, which may pass it
// on to the leader.
func (f *fleet) announce(service, member int) {
	f.cluster.Schedule(fleetAnnounceInterval, func() { f.announce(service, member) })
	call := event.OperatorCalled{Request: proto.OperatorRequest{Announce: &proto.Announcement{
		Service: fleetService(service), Name: types.TargetName(fmt.Sprintf("member-%d", member)),
		Address: types.Address(fmt.Sprintf("10.0.%d.%d:1", service, member)), AvailabilityZone: "z", Slots: 4,
		Seq: uint64(f.cluster.Now()),
	}}}
	first := controlName(int(f.cluster.Random() % fleetVoters))
	f.cluster.Send("", first, call)
	if first != f.leader {
		f.cluster.Schedule(f.cluster.Delay(), func() { f.cluster.Send("", f.leader, call) })
	}
}

// configure sends the configuration to the leader until it is in force there.
func (f *fleet) configure() {
	config := &types.Config{Services: make(map[types.ServiceName]types.Service)}
	for i := range f.services {
		config.Services[fleetService(i)] = types.Service{Name: fleetService(i), Connections: 144, Slots: 4, Managed: true}
	}
	f.cluster.Deliver(f.leader, event.OperatorCalled{Request: proto.OperatorRequest{
		Change: &proto.ChangeConfig{Number: 1, Config: config},
	}})
	f.cluster.Schedule(time.Second, func() {
		if f.servingProxies() == 0 {
			f.configure()
		}
	})
}

// servingProxies returns how many proxies hold a lease and know a primary of each service.
func (f *fleet) servingProxies() int {
	n := 0
	for id, holder := range f.holders {
		if f.cluster.LocalTime(f.cluster.Hosts[id]) < holder.Until() && f.knowsPrimaries(holder.Cluster()) {
			n++
		}
	}
	return n
}

func (f *fleet) knowsPrimaries(v *types.ClusterView) bool {
	if v == nil || len(v.Groups) < f.services {
		return false
	}
	for _, g := range v.Groups {
		if g.Phase != types.GroupServing {
			return false
		}
	}
	return true
}

// awaitServing runs until every proxy serves, and returns how long that took.
func (f *fleet) awaitServing(proxies int, bound time.Duration) time.Duration {
	f.t.Helper()
	start := f.cluster.Now()
	for f.cluster.Now() < start+bound {
		f.cluster.Run(50 * time.Millisecond)
		if f.servingProxies() == proxies {
			return f.cluster.Now() - start
		}
	}
	f.t.Fatalf("%d of %d proxies serve after %v; %d elections", f.servingProxies(), proxies, bound, f.elected)
	return 0
}

// TestFleetStartsAndRecovers starts a fleet with all its targets at once, and holds up the
// control leader for 2 s after that.
func TestFleetStartsAndRecovers(t *testing.T) {
	const services = 170
	for _, proxies := range []int{100, 300} {
		t.Run(fmt.Sprint(proxies), func(t *testing.T) {
			f := newFleet(t, proxies, services)
			started := f.awaitServing(proxies, 12*time.Second)
			elections := f.elected
			f.cluster.Run(3 * time.Second)
			f.cluster.Busy(f.leader, 2*time.Second)
			f.cluster.Run(2 * time.Second)
			recovered := f.awaitServing(proxies, 6*time.Second)
			t.Logf("started within %v after %d elections, recovered within %v after %d more", started, elections, recovered, f.elected-elections)
		})
	}
}
