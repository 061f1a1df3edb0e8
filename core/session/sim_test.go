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

// simTarget is a target that serves with a number of slots and queues the rest.
type simTarget struct {
	slots   int
	service time.Duration // mean time of a statement
	lag     time.Duration // of its replication
	busy    int
	queue   []func()
}

// simStatement is a caller's statement and the position at which it ran.
type simStatement struct {
	write    bool
	work     time.Duration // mean time on a member of a fleet
	position uint64
}

// sim drives one shard and one prober in virtual time against targets that
// queue, replicate late and answer over a network.
type sim struct {
	shard   *Shard
	prober  *probe.Prober
	rand    *rand.Rand
	now     types.Instant
	agenda  agenda
	numbers int
	timers  map[event.TimerID]int // number of the setting that counts
	conns   map[types.ConnID]types.TargetName
	targets map[types.TargetName]*simTarget
	cluster *types.ClusterView
	view    *types.NodeView
	shares  map[types.TargetRef]types.Share
	wrote   []types.Instant // when each entry of the log was written

	replied  func(types.SessionID, *types.Refusal)
	observed func(effect.Observation)
}

const (
	simNetwork = 1500 * time.Microsecond // one way, between availability zones
	simDial    = 12 * time.Millisecond
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
	s.control(s.prober.SetView(s.cluster, s.now))
	s.probeStep(event.Start{})
	return s
}

// after runs do once d has passed.
func (s *sim) after(d time.Duration, do func()) {
	s.numbers++
	heap.Push(&s.agenda, appointment{s.now.Add(d), s.numbers, do})
}

// run goes on until the given instant.
func (s *sim) run(until types.Instant) {
	for len(s.agenda) > 0 && s.agenda[0].at <= until {
		next := heap.Pop(&s.agenda).(appointment)
		s.now = max(s.now, next.at)
		next.do()
	}
	s.now = until
}

// position returns where a target stands now.
func (s *sim) position(name types.TargetName) uint64 {
	until := s.now.Add(-s.targets[name].lag)
	n := len(s.wrote)
	for n > 0 && s.wrote[n-1] > until {
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
		s.traffic(eff)
	}
}

func (s *sim) traffic(eff effect.Effect) {
	switch e := eff.(type) {
	case effect.DialTarget:
		s.conns[e.Conn] = e.Ref.Name
		s.after(simDial, func() { s.step(event.TargetConnected{Conn: e.Conn}) })
	case effect.SendTarget:
		sent := s.now
		s.after(simNetwork, func() { s.serve(e, sent) })
	case effect.AnswerCaller:
		s.replied(e.Session, nil)
	case effect.RefuseCaller:
		s.replied(e.Session, &e.Refusal)
	case effect.Observe:
		s.observed(e.Observation)
	case effect.ReportShard:
		waiting := make(map[types.ServiceName]bool)
		for _, name := range e.Report.Waiting {
			waiting[name] = true
		}
		s.control(s.prober.SetWaiting(waiting, s.now))
	case effect.ArmTimer:
		s.arm(e, s.step)
	case effect.StopTimer:
		delete(s.timers, e.ID)
	}
}

func (s *sim) arm(e effect.ArmTimer, step func(event.Event)) {
	s.after(max(0, e.At.Sub(s.now)), func() {})
	number := s.numbers
	s.timers[e.ID] = number
	s.after(max(0, e.At.Sub(s.now)), func() {
		if s.timers[e.ID] == number {
			delete(s.timers, e.ID)
			step(event.TimerFired{ID: e.ID})
		}
	})
}

// serve runs an exchange when the target has a free slot.
func (s *sim) serve(e effect.SendTarget, sent types.Instant) {
	t := s.targets[s.conns[e.Conn]]
	if t.busy >= t.slots {
		t.queue = append(t.queue, func() { s.serve(e, sent) })
		return
	}
	t.busy++
	s.after(time.Duration(s.rand.ExpFloat64()*float64(t.service)), func() {
		t.busy--
		s.finish(e, sent)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
	})
}

func (s *sim) finish(e effect.SendTarget, sent types.Instant) {
	st := e.Operations[0].Payload.(*simStatement)
	if st.write {
		s.wrote = append(s.wrote, s.now)
	}
	st.position = s.position(s.conns[e.Conn])
	ev := event.TargetAnswered{
		Conn: e.Conn, Seq: e.Seq, Sent: true,
		Results: []types.Result{{}, {Status: s.status(s.conns[e.Conn])}},
	}
	s.after(simNetwork, func() {
		ev.Took = s.now.Sub(sent)
		s.step(ev)
	})
}

func (s *sim) probeStep(ev event.Event) {
	s.control(s.prober.Step(event.Input{Now: s.now, Seed: s.rand.Uint64(), Event: ev}))
	if _, ok := ev.(event.TimerFired); ok {
		return
	}
	s.view = &types.NodeView{Cluster: s.cluster, LeaseUntil: s.now.Add(time.Hour), Health: s.prober.Health(), Shares: s.shares}
	s.step(event.ViewChanged{})
}

func (s *sim) control(effs []effect.Effect) {
	for _, eff := range effs {
		switch e := eff.(type) {
		case effect.ArmTimer:
			s.arm(e, s.probeStep)
		case effect.StopTimer:
			delete(s.timers, e.ID)
		case effect.Probe:
			asked := s.now
			s.after(simNetwork, func() {
				st := s.status(e.Ref.Name)
				s.after(simNetwork, func() { s.probeStep(event.Probed{Ref: e.Ref, AskedAt: asked, Status: st}) })
			})
		}
	}
}

// appointment is something that happens at an instant.
type appointment struct {
	at     types.Instant
	number int
	do     func()
}

// agenda orders appointments by instant, then by number.
type agenda []appointment

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a *agenda) Push(x any) { *a = append(*a, x.(appointment)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
