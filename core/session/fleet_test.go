package session

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/capacity"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/organisation"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// fleet simulates many proxies, each with one shard, in virtual time against
// the members of one managed service. A member runs a limited number of
// statements at a time, queues some and rejects the rest.
type fleet struct {
	config      fleetConfig
	now         types.Instant
	rand        *rand.Rand
	events      eventQueue
	lastNumber  int
	proxies     []*fleetProxy
	members     map[types.TargetName]*fleetMember
	commitTimes []types.Instant // when each entry of the log was written
	lastSession types.SessionID
	callers     map[types.SessionID]*fleetCaller
	classes     []*requestClass

	latencies       []time.Duration // of the operations that were answered
	exchanges       int
	regionCrossings int // exchanges between regions
	zoneCrossings   int // exchanges between availability zones of one region
	decisions       map[effect.Decision]int
}

// fleetConfig holds the size of a fleet and its load.
type fleetConfig struct {
	proxies        int
	slots          int           // statements that a member runs at a time
	maxQueue       int           // statements that a member queues
	networkDelay   time.Duration // one way
	lag            time.Duration // of the replicas
	raisedLag      time.Duration // lag of the replicas from lagRaisedAt on
	lagRaisedAt    time.Duration // if set, only operations that arrive later are counted
	classes        []requestClass
	duration       time.Duration
	pausedAt       time.Duration // when all members stop answering
	pause          time.Duration // how long they do not answer
	members        int           // 3 if not set
	lastProxyRatio float64       // fraction of the callers sent to the last proxy; the others pick any
	priorityOrder  bool          // Config.PriorityOrder
	surge          surge
	slow           slowness
	failing        partialFailure
	crowded        bool // the proxies know how many they are

	policy    routing.Policy                                         // of the proxies
	delay     func(proxy int, member types.TargetName) time.Duration // one way; networkDelay if not set
	connLimit int                                                    // connections that a member accepts, with handshake; no limit if not set
	handshake time.Duration                                          // of a slot, for a new connection
	swing     func(proxy int, at types.Instant) float64              // relative number of callers of a proxy

	organisations organisationLoad // none if not set
}

// requestClass is a kind of operation with its arrival rate and the counts of
// its results.
type requestClass struct {
	database         types.DatabaseName
	profile          types.Profile
	perSecond        float64
	serviceTime      time.Duration // mean time of a statement on a member
	writeRatio       float64       // fraction of the operations that are single writes
	transactionRatio float64       // fraction that are transactions of three statements

	sent, inTime, late, failed int
	seconds                    []secondCount  // by the second in which the operation arrived
	byOrganisation             [2]secondCount // of the first organisation and of the others, during the surge
}

// fleetMember is a member of the service and its utilisation.
type fleetMember struct {
	name          types.TargetName
	busy          int // slots in use
	queue         []func()
	statements    int           // number of statements run
	conns         int           // open connections
	opened        int           // connections opened so far
	rejected      int           // connections rejected because of the limit
	idleTime      time.Duration // of its slots, up to the last change of busy
	busyChangedAt types.Instant
}

type fleetProxy struct {
	fleet  *fleet
	index  int
	shard  *Shard
	view   *types.NodeView
	timers map[event.TimerID]int
	conns  map[types.ConnID]*fleetConn
}

type fleetConn struct {
	member *fleetMember
	open   bool
	delay  time.Duration // one way
	inTx   bool
}

// fleetCaller is a caller with one operation, which it may attempt several
// times.
type fleetCaller struct {
	organisation int
	class        *requestClass
	proxy        *fleetProxy
	arrived      types.Instant
	counted      bool // whether the operation counts in the results of its class
	retries      int
	remaining    []types.Request // not sent yet in this attempt
	statements   []types.Request // of the whole operation
	seq          types.RequestSeq
}

// maxCallerRetries bounds how often a caller retries an operation that was not
// run; known callers retry this often.
const maxCallerRetries = 2

func newFleet(c fleetConfig, seed uint64) *fleet {
	f := &fleet{
		config: c, now: types.Instant(time.Second), rand: rand.New(rand.NewPCG(seed, 1)),
		members: make(map[types.TargetName]*fleetMember), callers: make(map[types.SessionID]*fleetCaller),
		decisions: make(map[effect.Decision]int),
	}
	config := testConfig()
	config.PriorityOrder = c.priorityOrder
	svc := config.Services[svcName]
	svc.Managed, svc.Members = true, 0
	config.Services[svcName] = svc
	config.Profiles = make(map[types.ProfileName]types.Profile)
	config.Routes = make(map[types.DatabaseName]types.Route)
	for _, class := range c.classes {
		config.Profiles[class.profile.Name] = class.profile
		config.Routes[class.database] = types.Route{Database: class.database, Service: svcName, Profile: class.profile.Name}
		f.classes = append(f.classes, &class)
	}
	config.Organisations = c.organisations.configuration()
	g := &types.Group{
		Service: svcName, Term: 1, LogTerm: logTerm, Phase: types.GroupServing, Primary: "a",
		History: types.TermHistory{{Term: logTerm}},
	}
	for _, name := range []types.TargetName{"a", "b", "c", "d", "e"}[:cmp.Or(c.members, 3)] {
		f.members[name] = &fleetMember{name: name, busyChangedAt: f.now}
		g.Members = append(g.Members, types.Target{Name: name, Address: types.Address(name), Slots: c.slots})
	}
	for i := range c.proxies {
		f.addProxy(i, config, g)
	}
	return f
}

func (f *fleet) addProxy(index int, config *types.Config, g *types.Group) {
	p := &fleetProxy{
		fleet: f, index: index, shard: NewShard(Options{Host: types.HostID(fmt.Sprint("proxy-", index)), Policy: f.config.policy}),
		timers: make(map[event.TimerID]int), conns: make(map[types.ConnID]*fleetConn),
	}
	slots := f.config.slots / f.config.proxies
	if index < f.config.slots%f.config.proxies {
		slots++
	}
	if slots == 0 && f.config.proxies < 2*f.config.slots {
		slots = 1 // same rounding as package limits
	}
	p.view = &types.NodeView{
		Cluster:    &types.ClusterView{Version: 1, Config: config, Groups: map[types.ServiceName]*types.Group{svcName: g}},
		LeaseUntil: f.now.Add(time.Hour), Health: make(map[types.TargetRef]types.TargetHealth),
		Shares: make(map[types.TargetRef]types.Share),
	}
	if f.config.crowded {
		p.view.Proxies = f.config.proxies
	}
	for _, m := range g.Members {
		p.view.KeyHolders = organisation.KeyHolders(config)
		p.view.Health[ref(m.Name)] = types.TargetHealth{Term: logTerm, Primary: m.Name == "a", LastContact: f.now}
		p.view.Shares[ref(m.Name)] = f.share(index, slots)
	}
	f.proxies = append(f.proxies, p)
	p.step(event.ViewChanged{})
}

// share returns a proxy's share of a member.
func (f *fleet) share(proxy, slots int) types.Share {
	if f.config.connLimit == 0 {
		return types.Share{Connections: 8, Slots: slots}
	}
	svc := types.Service{Connections: f.config.connLimit, Slots: f.config.slots, Managed: true}
	return capacity.ManagedShare(svc, types.Target{}, types.Fleet{Proxies: f.config.proxies, Index: proxy})
}

// after schedules run for when delay has passed.
func (f *fleet) after(delay time.Duration, run func()) {
	f.lastNumber++
	heap.Push(&f.events, scheduledEvent{f.now.Add(delay), f.lastNumber, run})
}

// run applies the load and continues until all requests are answered, for at
// most 10 s after the end of the load.
func (f *fleet) run() {
	end := f.now.Add(f.config.duration)
	for _, c := range f.classes {
		f.scheduleArrival(c, end)
	}
	for len(f.events) > 0 && f.events[0].at <= end.Add(10*time.Second) {
		next := heap.Pop(&f.events).(scheduledEvent)
		f.now = max(f.now, next.at)
		next.run()
	}
}

// scheduleArrival schedules the next operation of a class, with exponentially
// distributed intervals.
func (f *fleet) scheduleArrival(c *requestClass, end types.Instant) {
	perSecond := c.perSecond * f.loadFactor()
	f.after(time.Duration(f.rand.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if f.now >= end {
			return
		}
		caller := &fleetCaller{organisation: f.drawOrganisation(), class: c, arrived: f.now, statements: f.drawOperation(c), counted: f.lagRaised() || f.config.lagRaisedAt == 0}
		if caller.counted {
			c.sent++
			c.second(f.now).sent++
		}
		f.countOrganisation(caller, func(s *secondCount) { s.sent++ })
		f.startAttempt(caller)
		f.scheduleArrival(c, end)
	})
}

// drawOperation draws the statements of one operation.
func (f *fleet) drawOperation(c *requestClass) []types.Request {
	read := types.Request{Class: types.ClassRead, DiscardedOnClose: true, Payload: &simStatement{serviceTime: c.serviceTime}}
	write := types.Request{Class: types.ClassWrite, Fenced: true, MayCommit: true, Payload: &simStatement{write: true, serviceTime: c.serviceTime}}
	switch x := f.rand.Float64(); {
	case x < c.transactionRatio:
		begin := types.Request{Class: types.ClassWrite, BeginsTx: true, Fenced: true, DiscardedOnClose: true, Idempotent: true, Payload: &simStatement{begin: true, serviceTime: c.serviceTime}}
		inTx := types.Request{Class: types.ClassWrite, Fenced: true, DiscardedOnClose: true, Payload: &simStatement{serviceTime: c.serviceTime}}
		return []types.Request{begin, inTx, inTx, write}
	case x < c.transactionRatio+c.writeRatio:
		return []types.Request{write}
	}
	return []types.Request{read}
}

// startAttempt starts an operation in a new session on a random proxy.
func (f *fleet) startAttempt(caller *fleetCaller) {
	f.lastSession++
	id := f.lastSession
	caller.proxy, caller.remaining = f.pickProxy(), caller.statements
	params := types.SessionParams{Database: caller.class.database}
	if o := f.config.organisations; o.names > 0 {
		params.Key = o.key(caller.organisation)
		if !o.hot {
			caller.proxy = f.proxies[o.pickProxy(f.rand, caller.organisation, len(f.proxies))]
		}
	}
	f.callers[id] = caller
	caller.proxy.step(event.SessionOpened{Session: id, Params: params})
	f.sendNext(id, caller)
}

func (f *fleet) pickProxy() *fleetProxy {
	if f.rand.Float64() < f.config.lastProxyRatio {
		return f.proxies[len(f.proxies)-1]
	}
	for {
		i := f.rand.IntN(len(f.proxies))
		if f.config.swing == nil || f.rand.Float64()*2 < f.config.swing(i, f.now) {
			return f.proxies[i]
		}
	}
}

func (f *fleet) sendNext(id types.SessionID, caller *fleetCaller) {
	r := caller.remaining[0]
	caller.remaining = caller.remaining[1:]
	caller.seq++
	r.Seq = caller.seq
	caller.proxy.step(event.RequestArrived{Session: id, Request: r})
}

func (f *fleet) handleAnswer(id types.SessionID, failed bool) {
	caller := f.callers[id]
	if caller == nil {
		return
	}
	if failed {
		f.handleRefusal(id, types.Refusal{})
		return
	}
	if len(caller.remaining) > 0 {
		f.after(0, func() {
			if f.callers[id] == caller {
				f.sendNext(id, caller)
			}
		})
		return
	}
	f.closeSession(id, caller)
	f.latencies = append(f.latencies, f.now.Sub(caller.arrived))
	switch {
	case !caller.counted:
	case f.now.Sub(caller.arrived) <= caller.class.profile.Objective:
		caller.class.inTime++
		caller.class.second(caller.arrived).inTime++
		f.countOrganisation(caller, func(s *secondCount) { s.inTime++ })
	default:
		caller.class.late++
	}
}

func (f *fleet) handleRefusal(id types.SessionID, refusal types.Refusal) {
	caller := f.callers[id]
	if caller == nil {
		return
	}
	f.closeSession(id, caller)
	if caller.retries++; caller.retries > maxCallerRetries || refusal.Outcome != types.NotRun {
		if caller.counted {
			caller.class.failed++
		}
		return
	}
	delay := time.Duration(50+f.rand.IntN(100)) * time.Millisecond
	f.after(max(delay, refusal.RetryAfter), func() { f.startAttempt(caller) })
}

func (f *fleet) closeSession(id types.SessionID, caller *fleetCaller) {
	delete(f.callers, id)
	f.after(0, func() { caller.proxy.step(event.SessionClosed{Session: id}) })
}

func (p *fleetProxy) step(ev event.Event) {
	in := event.Input{Now: p.fleet.now, Seed: p.fleet.rand.Uint64(), View: p.view, Event: ev}
	for _, eff := range p.shard.Step(in) {
		p.execute(eff)
	}
}

func (p *fleetProxy) execute(eff effect.Effect) {
	f := p.fleet
	switch e := eff.(type) {
	case effect.DialTarget:
		c := &fleetConn{member: f.members[e.Ref.Name], delay: f.config.networkDelay}
		if f.config.delay != nil {
			c.delay = f.config.delay(p.index, e.Ref.Name)
		}
		p.conns[e.Conn] = c
		if f.config.handshake == 0 {
			f.after(2*c.delay, func() { p.step(event.TargetConnected{Conn: e.Conn}) })
		} else {
			f.after(c.delay, func() { f.accept(p, c, e.Conn) })
		}
	case effect.CloseConn:
		if c := p.conns[e.Conn]; c != nil && c.open {
			c.member.conns--
		}
		delete(p.conns, e.Conn)
	case effect.SendTarget:
		if c := p.conns[e.Conn]; c != nil {
			sentAt := f.now
			f.countExchange(c)
			f.after(c.delay, func() { f.receive(p, c, e, sentAt) })
		}
	case effect.AnswerCaller:
		f.handleAnswer(e.Session, e.Answer.Payload == errStatementFailed)
	case effect.RefuseCaller:
		f.handleRefusal(e.Session, e.Refusal)
	case effect.EndSession:
		f.handleRefusal(e.Session, e.Refusal)
	case effect.Decide:
		f.decisions[e.Kind]++
	case effect.ArmTimer:
		p.arm(e)
	case effect.StopTimer:
		delete(p.timers, e.ID)
	}
}

func (p *fleetProxy) arm(e effect.ArmTimer) {
	f := p.fleet
	f.lastNumber++
	number := f.lastNumber
	p.timers[e.ID] = number
	f.after(max(0, e.At.Sub(f.now)), func() {
		if p.timers[e.ID] == number {
			delete(p.timers, e.ID)
			p.step(event.TimerFired{ID: e.ID})
		}
	})
}

// countExchange counts an exchange by the distance between its ends.
func (f *fleet) countExchange(c *fleetConn) {
	f.exchanges++
	switch {
	case c.delay >= 8*time.Millisecond:
		f.regionCrossings++
	case c.delay > time.Millisecond:
		f.zoneCrossings++
	}
}

// accept handles a new connection that has arrived at a member.
func (f *fleet) accept(p *fleetProxy, c *fleetConn, id types.ConnID) {
	if p.conns[id] != c {
		return
	}
	m := c.member
	if f.config.connLimit > 0 && m.conns >= f.config.connLimit {
		m.rejected++
		f.after(c.delay, func() {
			if p.conns[id] == c {
				p.step(event.TargetConnected{Conn: id, Err: errFull, Full: true})
			}
		})
		return
	}
	m.conns++
	m.opened++
	c.open = true
	f.occupy(m, func() time.Duration { return f.config.handshake }, func() {
		f.after(c.delay, func() { p.step(event.TargetConnected{Conn: id}) })
	})
}

var (
	errStatementFailed = errors.New("the member failed the statement")
	errFull            = errors.New("the member has too many connections")
)

// receive handles an exchange that has arrived at a member.
func (f *fleet) receive(p *fleetProxy, c *fleetConn, e effect.SendTarget, sentAt types.Instant) {
	m, op := c.member, e.Operations[0]
	if remaining := f.pauseRemaining(); remaining > 0 {
		f.after(remaining, func() { f.receive(p, c, e, sentAt) })
		return
	}
	reply := func(kind types.TargetErrorKind) {
		f.after(c.delay, func() { f.reply(p, c, e, sentAt, kind) })
	}
	if f.config.failing.applies(m, p.index, f.now) && f.rand.Float64() < f.config.failing.part {
		f.occupy(m, func() time.Duration { return time.Millisecond }, func() {
			if !f.config.failing.mute {
				reply(types.TargetErrFailed)
			}
		})
		return
	}
	switch {
	case op.Kind == types.OpBegin:
		c.inTx = true
		reply(types.TargetErrNone)
	case op.Floor.Offset > f.position(m):
		reply(types.TargetErrBehind)
	case m.busy >= f.config.slots && len(m.queue) >= f.config.maxQueue:
		reply(types.TargetErrBusy)
	default:
		f.runStatement(m, op, reply)
	}
}

// lagRaised reports whether the replicas have the raised lag.
func (f *fleet) lagRaised() bool {
	return f.config.raisedLag > 0 && f.now >= types.Instant(time.Second).Add(f.config.lagRaisedAt)
}

// pauseRemaining returns how much longer the members do not answer.
func (f *fleet) pauseRemaining() time.Duration {
	at := types.Instant(time.Second).Add(f.config.pausedAt)
	if f.now < at {
		return 0
	}
	return at.Add(f.config.pause).Sub(f.now)
}

// position returns the log position of a member.
func (f *fleet) position(m *fleetMember) uint64 {
	if m.name == "a" {
		return uint64(len(f.commitTimes))
	}
	n, lag := len(f.commitTimes), f.config.lag
	if f.lagRaised() {
		lag = f.config.raisedLag
	}
	for n > 0 && f.commitTimes[n-1] > f.now.Add(-lag) {
		n--
	}
	return uint64(n)
}

// runStatement runs a statement of a caller on a member.
func (f *fleet) runStatement(m *fleetMember, op types.Operation, reply func(types.TargetErrorKind)) {
	m.statements++
	stmt := op.Payload.(*simStatement)
	f.occupy(m, func() time.Duration { return f.drawStatementTime(m, stmt) }, func() {
		if stmt.write {
			f.commitTimes = append(f.commitTimes, f.now)
		}
		reply(types.TargetErrNone)
	})
}

// drawStatementTime draws how long a statement that starts now takes.
func (f *fleet) drawStatementTime(m *fleetMember, stmt *simStatement) time.Duration {
	d := f.drawServiceTime(stmt.serviceTime)
	if f.config.slow.applies(m, f.now) {
		d = time.Duration(float64(d) * f.config.slow.factor)
	}
	return d
}

// occupy takes a slot of the member for the time that draw returns, once one is free, and
// then calls done.
func (f *fleet) occupy(m *fleetMember, draw func() time.Duration, done func()) {
	if m.busy >= f.config.slots {
		m.queue = append(m.queue, func() { f.occupy(m, draw, done) })
		return
	}
	f.changeBusy(m, 1)
	f.after(draw(), func() {
		f.changeBusy(m, -1)
		done()
		if len(m.queue) > 0 {
			next := m.queue[0]
			m.queue = m.queue[1:]
			next()
		}
	})
}

// changeBusy changes the number of busy slots and updates the idle time.
func (f *fleet) changeBusy(m *fleetMember, change int) {
	m.idleTime += time.Duration(f.config.slots-m.busy) * f.now.Sub(m.busyChangedAt)
	m.busy, m.busyChangedAt = m.busy+change, f.now
}

// drawServiceTime draws the time of a statement from a log-normal distribution
// with the given mean.
func (f *fleet) drawServiceTime(mean time.Duration) time.Duration {
	const logStdDev = 0.7 // of the logarithm, as observed on the supported platforms
	return time.Duration(float64(mean) * math.Exp(logStdDev*f.rand.NormFloat64()-logStdDev*logStdDev/2))
}

func (f *fleet) reply(p *fleetProxy, c *fleetConn, e effect.SendTarget, sentAt types.Instant, kind types.TargetErrorKind) {
	if p.conns[e.Conn] != c {
		return
	}
	results := make([]types.Result, len(e.Operations))
	results[0].Err = kind
	if kind == types.TargetErrFailed {
		results[0].Payload = errStatementFailed
	}
	if op := e.Operations[0]; kind == types.TargetErrNone && op.Kind == types.OpCaller {
		stmt := op.Payload.(*simStatement)
		c.inTx = (c.inTx || stmt.begin) && !stmt.write
	}
	for i := range results {
		if c.inTx {
			results[i].Tx = types.TxOpen
		}
	}
	if last := len(results) - 1; e.Operations[last].Kind == types.OpPosition {
		results[last].Status.Pos = logPos(f.position(c.member))
	}
	p.step(event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Sent: true, Latency: f.now.Sub(sentAt), Results: results})
}

// inTimeRatio returns the fraction of all operations that were answered in time.
func (f *fleet) inTimeRatio() float64 {
	var sent, inTime int
	for _, c := range f.classes {
		sent, inTime = sent+c.sent, inTime+c.inTime
	}
	return float64(inTime) / float64(sent)
}

// primaryCapacityRatio returns the fraction of the offered work that the slots
// of one member can do.
func (f *fleet) primaryCapacityRatio() float64 {
	var demand float64
	for _, c := range f.classes {
		demand += c.perSecond * (1 + 2*c.transactionRatio) * c.serviceTime.Seconds()
	}
	return min(1, float64(f.config.slots)/demand)
}

// String summarises the results of each class and the load of the primary.
func (f *fleet) String() string {
	out := fmt.Sprintf("in time %.3f;", f.inTimeRatio())
	for _, c := range f.classes {
		out += fmt.Sprintf(" %s %.3f in time %.3f late %.3f failed;", c.database,
			float64(c.inTime)/float64(c.sent), float64(c.late)/float64(c.sent), float64(c.failed)/float64(c.sent))
	}
	a := f.members["a"]
	return out + fmt.Sprintf(" primary ran %.0f statements/s, idle %.2f", float64(a.statements)/f.config.duration.Seconds(),
		float64(a.idleTime)/float64(cmp.Or(a.busyChangedAt.Sub(types.Instant(time.Second)), 1))/float64(f.config.slots))
}
