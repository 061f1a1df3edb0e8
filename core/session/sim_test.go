package session

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/probe"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// simTarget is a target that runs as many statements at a time as it has slots
// and queues the rest.
type simTarget struct {
	slots       int
	serviceTime time.Duration // mean time of a statement
	lag         time.Duration // replication lag
	busy        int
	queue       []func()
}

// simStatement is a caller's statement and the log position after it ran.
type simStatement struct {
	begin       bool // begins a transaction
	write       bool
	serviceTime time.Duration // mean time; for the members of a fleet, since a simTarget has its own
	position    uint64
}

// sim simulates one shard and one prober in virtual time against targets that
// queue statements, replicate with a lag and answer over a network.
type sim struct {
	shard       *Shard
	prober      *probe.Prober
	rand        *rand.Rand
	now         types.Instant
	events      eventQueue
	lastNumber  int
	timers      map[event.TimerID]int // number of the last arming, which supersedes earlier ones
	conns       map[types.ConnID]types.TargetName
	targets     map[types.TargetName]*simTarget
	cluster     *types.ClusterView
	view        *types.NodeView
	shares      map[types.TargetRef]types.Share
	commitTimes []types.Instant // when each entry of the log was written

	onReply       func(types.SessionID, *types.Refusal)
	onObservation func(effect.Observation)
}

const (
	simNetworkDelay = 1500 * time.Microsecond // one way, between availability zones
	simDialTime     = 12 * time.Millisecond
)

func newSim(o Options, config *types.Config, targets map[types.TargetName]*simTarget) *sim {
	g := &types.Group{Service: svcName, Term: 1, Phase: types.GroupServing, Primary: "a", History: types.TermHistory{{Term: 1}}}
	s := &sim{
		shard: NewShard(o), prober: probe.New(), rand: rand.New(rand.NewPCG(1, 1)),
		now: types.Instant(time.Second), timers: make(map[event.TimerID]int),
		conns: make(map[types.ConnID]types.TargetName), targets: targets,
		shares:  make(map[types.TargetRef]types.Share),
		cluster: &types.ClusterView{Version: 1, Config: config, Groups: map[types.ServiceName]*types.Group{svcName: g}},
	}
	for _, name := range sortedKeys(targets) {
		g.Members = append(g.Members, types.Target{Name: name, Address: types.Address(name)})
		s.shares[ref(name)] = types.Share{Connections: 20, Slots: targets[name].slots}
	}
	s.executeProber(s.prober.SetView(s.cluster, s.now))
	s.stepProber(event.Start{})
	return s
}

// after schedules run for when delay has passed.
func (s *sim) after(delay time.Duration, run func()) {
	s.lastNumber++
	heap.Push(&s.events, scheduledEvent{s.now.Add(delay), s.lastNumber, run})
}

// run runs the scheduled events up to the given instant.
func (s *sim) run(until types.Instant) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(scheduledEvent)
		s.now = max(s.now, next.at)
		next.run()
	}
	s.now = until
}

// position returns the log position of a target.
func (s *sim) position(name types.TargetName) uint64 {
	until := s.now.Add(-s.targets[name].lag)
	n := len(s.commitTimes)
	for n > 0 && s.commitTimes[n-1] > until {
		n--
	}
	return uint64(n)
}

func (s *sim) status(name types.TargetName) types.TargetStatus {
	return types.TargetStatus{Term: 1, Primary: name == "a", Pos: pos(s.position(name))}
}

func (s *sim) step(ev event.Event) {
	in := event.Input{Now: s.now, Seed: s.rand.Uint64(), View: s.view, Event: ev}
	for _, eff := range s.shard.Step(in) {
		s.execute(eff)
	}
}

// execute executes the shard's effects.
func (s *sim) execute(eff effect.Effect) {
	switch e := eff.(type) {
	case effect.DialTarget:
		s.conns[e.Conn] = e.Ref.Name
		s.after(simDialTime, func() { s.step(event.TargetConnected{Conn: e.Conn}) })
	case effect.SendTarget:
		sentAt := s.now
		s.after(simNetworkDelay, func() { s.serve(e, sentAt) })
	case effect.AnswerCaller:
		s.onReply(e.Session, nil)
	case effect.RefuseCaller:
		s.onReply(e.Session, &e.Refusal)
	case effect.Observe:
		s.onObservation(e.Observation)
	case effect.ReportShard:
		waiting := make(map[types.ServiceName]bool)
		for _, name := range e.Report.WaitingServices {
			waiting[name] = true
		}
		s.executeProber(s.prober.SetWaiting(waiting, s.now))
	case effect.ArmTimer:
		s.armTimer(e, s.step)
	case effect.StopTimer:
		delete(s.timers, e.ID)
	}
}

func (s *sim) armTimer(e effect.ArmTimer, step func(event.Event)) {
	s.after(max(0, e.At.Sub(s.now)), func() {}) // only draws the number of this arming
	number := s.lastNumber
	s.timers[e.ID] = number
	s.after(max(0, e.At.Sub(s.now)), func() {
		if s.timers[e.ID] == number {
			delete(s.timers, e.ID)
			step(event.TimerFired{ID: e.ID})
		}
	})
}

// serve runs an exchange in a slot of its target, or queues it until one is
// free.
func (s *sim) serve(e effect.SendTarget, sentAt types.Instant) {
	t := s.targets[s.conns[e.Conn]]
	if t.busy >= t.slots {
		t.queue = append(t.queue, func() { s.serve(e, sentAt) })
		return
	}
	t.busy++
	s.after(time.Duration(s.rand.ExpFloat64()*float64(t.serviceTime)), func() {
		t.busy--
		s.finish(e, sentAt)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
	})
}

// finish applies the statement of an exchange and sends its answer.
func (s *sim) finish(e effect.SendTarget, sentAt types.Instant) {
	stmt := e.Operations[0].Payload.(*simStatement)
	if stmt.write {
		s.commitTimes = append(s.commitTimes, s.now)
	}
	stmt.position = s.position(s.conns[e.Conn])
	ev := event.TargetAnswered{
		Conn: e.Conn, Seq: e.Seq, Sent: true,
		Results: []types.Result{{}, {Status: s.status(s.conns[e.Conn])}},
	}
	s.after(simNetworkDelay, func() {
		ev.Latency = s.now.Sub(sentAt)
		s.step(ev)
	})
}

func (s *sim) stepProber(ev event.Event) {
	s.executeProber(s.prober.Step(event.Input{Now: s.now, Seed: s.rand.Uint64(), Event: ev}))
	if _, ok := ev.(event.TimerFired); ok {
		return
	}
	s.view = &types.NodeView{Cluster: s.cluster, LeaseUntil: s.now.Add(time.Hour), Health: s.prober.Health(), Shares: s.shares}
	s.step(event.ViewChanged{})
}

// executeProber executes the prober's effects.
func (s *sim) executeProber(effs []effect.Effect) {
	for _, eff := range effs {
		switch e := eff.(type) {
		case effect.ArmTimer:
			s.armTimer(e, s.stepProber)
		case effect.StopTimer:
			delete(s.timers, e.ID)
		case effect.Probe:
			probedAt := s.now
			s.after(simNetworkDelay, func() {
				status := s.status(e.Ref.Name)
				s.after(simNetworkDelay, func() { s.stepProber(event.Probed{Ref: e.Ref, ProbedAt: probedAt, Status: status}) })
			})
		}
	}
}

// scheduledEvent is a function that runs at an instant.
type scheduledEvent struct {
	at     types.Instant
	number int
	run    func()
}

// eventQueue is a heap of events in the order of instant, then number.
type eventQueue []scheduledEvent

func (a eventQueue) Len() int      { return len(a) }
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a *eventQueue) Push(x any) { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
