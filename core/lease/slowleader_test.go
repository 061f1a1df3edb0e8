package lease_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// slowLeader simulates many proxies of managed services, a leader that handles one
// request at a time, the latest of each proxy, and followers that name the leader.
type slowLeader struct {
	now       types.Instant
	cost      time.Duration // of one request at the leader
	table     *lease.Table
	state     *cluster.State
	index     uint64
	holders   []*lease.Holder
	timers    []map[event.TimerID]types.Instant
	random    *rand.Rand
	events    instantQueue
	scheduled int // actions so far
	busyUntil types.Instant
	order     []types.HostID // proxies whose requests wait for the leader
	queued    map[types.HostID]proto.LeaseRequest
}

const (
	leaderHop      = 8 * time.Millisecond // one way between a proxy and a control host
	followersOfTen = 8                    // how many of ten control hosts don't lead
)

// instantQueue orders actions by time.
type instantQueue []timedAction

type timedAction struct {
	at  types.Instant
	seq int
	do  func()
}

func (q instantQueue) Len() int { return len(q) }
func (q instantQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q instantQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *instantQueue) Push(x any)   { *q = append(*q, x.(timedAction)) }
func (q *instantQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSlowLeader(proxies int, cost time.Duration) *slowLeader {
	s := &slowLeader{now: types.Instant(time.Second), cost: cost, state: cluster.New(), random: rand.New(rand.NewPCG(1, 2)), queued: make(map[types.HostID]proto.LeaseRequest)}
	s.table = lease.NewTable("c1", s.state, permanentLeader{})
	s.commit(proto.Command{Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{
		Services: map[types.ServiceName]types.Service{"s": {Name: "s", Connections: 144, Managed: true}},
	}}})
	s.stepTable(event.RoleChanged{Leading: true, Leader: "c1", Term: 1})
	for i := range proxies {
		var holder *lease.Holder
		holder = lease.NewHolder(types.HostID(fmt.Sprintf("p%03d", i)), "z", func(r *proto.LeaseRequest) {
			if v := holder.Cluster(); v != nil {
				r.AppliedVersion = v.Version
			}
		})
		s.holders = append(s.holders, holder)
		s.timers = append(s.timers, map[event.TimerID]types.Instant{})
		s.after(time.Duration(s.random.Int64N(int64(300*time.Millisecond))), func() { s.stepHolder(i, event.Start{}) })
	}
	return s
}

// permanentLeader is a leadership that never expires.
type permanentLeader struct{}

func (permanentLeader) LeadsUntil() types.Instant { return 1 << 62 }

func (s *slowLeader) after(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, timedAction{at: s.now.Add(d), seq: s.scheduled, do: do})
}

func (s *slowLeader) runUntil(end types.Instant) {
	for len(s.events) > 0 && s.events[0].at <= end {
		a := heap.Pop(&s.events).(timedAction)
		s.now = a.at
		a.do()
	}
	s.now = end
}

func (s *slowLeader) commit(c proto.Command) {
	s.index++
	ev := event.Committed{Entry: proto.Entry{Index: s.index, Command: c}}
	s.state.Step(event.Input{Now: s.now, Event: ev})
	s.stepTable(ev)
}

func (s *slowLeader) stepTable(ev event.Event) {
	for _, eff := range s.table.Step(event.Input{Now: s.now, Event: ev}) {
		switch e := eff.(type) {
		case effect.Propose:
			s.after(2*leaderHop, func() { s.commit(e.Command) })
		case effect.GrantLease:
			s.answer(e.Grant, "c1")
		}
	}
}

func (s *slowLeader) answer(g proto.LeaseGrant, from types.HostID) {
	var i int
	_, _ = fmt.Sscanf(string(g.Proxy), "p%d", &i)
	s.after(leaderHop, func() { s.stepHolder(i, event.LeaseGranted{From: from, Grant: g}) })
}

func (s *slowLeader) stepHolder(i int, ev event.Event) {
	in := event.Input{Now: s.now, Seed: uint64(i) << 32, Event: ev}
	for _, eff := range s.holders[i].Step(in) {
		switch e := eff.(type) {
		case effect.ArmTimer:
			s.timers[i][e.ID] = e.At
			s.after(e.At.Sub(s.now), func() {
				if s.timers[i][e.ID] == e.At {
					delete(s.timers[i], e.ID)
					s.stepHolder(i, event.TimerFired{ID: e.ID})
				}
			})
		case effect.StopTimer:
			delete(s.timers[i], e.ID)
		case effect.RequestLease:
			s.request(e)
		}
	}
}

// request sends a request to the leader, which handles it after those before it, or to
// a follower, which names the leader at once.
func (s *slowLeader) request(e effect.RequestLease) {
	if e.To == "" && s.random.IntN(10) < followersOfTen {
		s.after(leaderHop, func() {
			s.answer(proto.LeaseGrant{Proxy: e.Request.Proxy, Seq: e.Request.Seq, SentAt: e.Request.SentAt, NotLeader: true, Leader: "c1"}, "c2")
		})
		return
	}
	s.after(leaderHop, func() {
		if _, waits := s.queued[e.Request.Proxy]; !waits {
			s.order = append(s.order, e.Request.Proxy)
		}
		s.queued[e.Request.Proxy] = e.Request
		if len(s.order) == 1 {
			s.handleNext()
		}
	})
}

// handleNext handles the latest request of the proxy that has waited longest.
func (s *slowLeader) handleNext() {
	s.busyUntil = max(s.busyUntil, s.now).Add(s.cost)
	s.after(s.busyUntil.Sub(s.now), func() {
		proxy := s.order[0]
		s.order = s.order[1:]
		request := s.queued[proxy]
		delete(s.queued, proxy)
		s.stepTable(event.LeaseRequested{Request: request})
		if len(s.order) > 0 {
			s.handleNext()
		}
	})
}

func (s *slowLeader) liveLeases() int {
	live := 0
	for _, h := range s.holders {
		if s.now < h.Until() {
			live++
		}
	}
	return live
}

// TestLeasesComeBackAfterALeaderWasSlow stops a leader for 2 s whose regular work takes
// nine tenths of its time, or more than all of it. Neither requests that would be
// answered too late nor answers that come late may keep it from renewing all leases.
func TestLeasesComeBackAfterALeaderWasSlow(t *testing.T) {
	const proxies = 78
	second := types.Instant(time.Second)
	for _, cost := range []time.Duration{3500 * time.Microsecond, 5 * time.Millisecond, 8 * time.Millisecond} {
		s := newSlowLeader(proxies, cost)
		s.runUntil(6 * second)
		assert.Equal(t, s.liveLeases(), proxies, "%s a request, before the leader is slow", cost)
		s.busyUntil = max(s.busyUntil, s.now).Add(2 * time.Second)
		s.runUntil(11 * second)
		for range 20 {
			s.runUntil(s.now.Add(100 * time.Millisecond))
			assert.Equal(t, s.liveLeases(), proxies, "%s a request, %s after the leader was slow", cost, s.now.Sub(8*second))
		}
	}
}
