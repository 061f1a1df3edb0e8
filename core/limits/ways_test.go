package limits_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// This file compares ways to share the connections of one managed target under the same
// load: callers that come unevenly to many proxies, and transactions that hold their
// connection through pauses. docs/design/shares.md has the table that it logs.

// way is a way to share connections.
type way struct {
	name string
	// share returns the share of a proxy without a grant.
	share types.Share
	// arbitrated says that the leader divides the connections of a contended target.
	arbitrated bool
	// ask is how long it takes to get a first connection from control, or zero if none
	// has to be asked for.
	ask time.Duration
}

// load is the work of one target.
type load struct {
	proxies, connections int
	perSecond            float64
	transactions         float64 // part of the requests that hold a connection through pauses
}

const (
	simLength       = 60 * time.Second
	statementTime   = 25 * time.Millisecond
	transactionTime = 700 * time.Millisecond
	connectTime     = 12 * time.Millisecond
	patience        = 300 * time.Millisecond // after which a waiting request is refused
	requestPeriod   = 300 * time.Millisecond // of lease requests
	simTick         = 5 * time.Millisecond
)

// outcome counts what happened in a simulation.
type outcome struct {
	requests, refused, connects, rejected, grants int
	waited                                        time.Duration
}

func (o outcome) refusedPart() float64 { return float64(o.refused) / float64(o.requests) }

// simProxy is a proxy of a simulation.
type simProxy struct {
	target  *pool.Target
	waiting []types.Instant // arrival of the requests that wait
	askedAt types.Instant   // when it asked control for a connection, or zero
}

// simTarget runs one way under one load.
type simTarget struct {
	way
	load
	outcome
	fleet    *managedFleet
	now      types.Instant
	random   *rand.Rand
	proxies  []*simProxy
	open     int // connections that the target counts
	lastConn types.ConnID
	events   instants
}

// instants orders actions by time.
type instants []instant

type instant struct {
	at types.Instant
	do func()
}

func (q instants) Len() int           { return len(q) }
func (q instants) Less(i, j int) bool { return q[i].at < q[j].at }
func (q instants) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *instants) Push(x any)        { *q = append(*q, x.(instant)) }
func (q *instants) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func simulate(t *testing.T, w way, l load) outcome {
	s := &simTarget{
		way: w, load: l, fleet: newManagedFleet(t, l.connections, l.proxies), now: second, random: rand.New(rand.NewPCG(3, 4)),
	}
	for range l.proxies {
		p := &simProxy{target: pool.NewTarget(managedRef)}
		p.target.Update("10.0.0.1:1", w.share)
		s.proxies = append(s.proxies, p)
	}
	s.arrive()
	for i := range s.proxies {
		s.after(time.Duration(i)*requestPeriod/time.Duration(l.proxies), func() { s.renew(i) })
	}
	s.after(simTick, s.tick)
	for end := s.now.Add(simLength); len(s.events) > 0 && s.events[0].at < end; {
		e := heap.Pop(&s.events).(instant)
		s.now = e.at
		e.do()
	}
	return s.outcome
}

func (s *simTarget) after(d time.Duration, do func()) {
	heap.Push(&s.events, instant{at: s.now.Add(d), do: do})
}

// arrive adds a request at a proxy, of which the first ones get the most.
func (s *simTarget) arrive() {
	u := s.random.Float64()
	p := s.proxies[int(u*u*float64(len(s.proxies)))]
	s.requests++
	p.waiting = append(p.waiting, s.now)
	s.serve(p)
	s.after(time.Duration(s.random.ExpFloat64()/s.perSecond*float64(time.Second)), s.arrive)
}

// tick retries the proxies with waiting requests, and closes idle connections.
func (s *simTarget) tick() {
	for _, p := range s.proxies {
		s.open -= len(p.target.CloseIdle(s.now))
		s.serve(p)
	}
	s.after(simTick, s.tick)
}

// serve starts the waiting requests that get a connection, refuses those that waited
// for too long, and opens connections for the others.
func (s *simTarget) serve(p *simProxy) {
	for len(p.waiting) > 0 {
		if s.now.Sub(p.waiting[0]) > patience {
			s.refused++
			p.waiting = p.waiting[1:]
			continue
		}
		c := p.target.Acquire(1, "", nil)
		if c == nil {
			break
		}
		s.waited += s.now.Sub(p.waiting[0])
		p.waiting = p.waiting[1:]
		d := statementTime
		if s.random.Float64() < s.transactions {
			d = transactionTime
		}
		s.after(d, func() {
			if !p.target.Release(c, s.now) {
				s.open--
			}
			s.serve(p)
		})
	}
	if s.ask > 0 && p.target.Open() == 0 && len(p.waiting) > 0 {
		if p.askedAt == 0 {
			p.askedAt = s.now
			s.grants++
		}
		if s.now.Sub(p.askedAt) < s.ask {
			return
		}
	}
	p.askedAt = 0
	demand := pool.Demand{Waiting: []pool.Waiting{{Requests: len(p.waiting)}}, ServiceWaiting: len(p.waiting) > 0}
	for range p.target.PlanDials(demand, s.now).Open {
		s.connect(p)
	}
}

// connect opens a connection, which the target rejects at its limit.
func (s *simTarget) connect(p *simProxy) {
	s.lastConn++
	c := p.target.Dial(s.lastConn, "")
	s.connects++
	s.after(connectTime, func() {
		if s.open >= s.connections {
			s.rejected++
			p.target.DialFailed(c, true, s.now)
			return
		}
		s.open++
		p.target.Connected(c, s.now)
		s.serve(p)
	})
}

// renew sends a proxy's lease request and applies its share.
func (s *simTarget) renew(i int) {
	s.after(requestPeriod, func() { s.renew(i) })
	if !s.arbitrated {
		return
	}
	p := s.proxies[i]
	held, demand := p.target.Open(), p.target.InUse()+len(p.waiting)
	if share := p.target.Share(); max(held, demand) <= share.Connections-share.Shared {
		held, demand = 0, 0
	}
	s.fleet.now = s.now
	share := s.fleet.request(i, held, demand)
	if len(s.fleet.grant.Shares) > 0 {
		s.grants++
	}
	share.Slots = 1
	s.open -= len(p.target.Update("10.0.0.1:1", share))
}

// TestWaysToShareConnections shows that the way that was built refuses the least, under
// loads that fit into the connections and one that doesn't, and takes few new ones.
func TestWaysToShareConnections(t *testing.T) {
	grown := load{proxies: 34, connections: 48, perSecond: 110, transactions: 0.2}
	tight := load{proxies: 34, connections: 48, perSecond: 240, transactions: 0.2}
	large := load{proxies: 78, connections: 144, perSecond: 300, transactions: 0.25}
	crowd := load{proxies: 96, connections: 56, perSecond: 110, transactions: 0.2}
	for _, l := range []load{grown, tight, large, crowd} {
		f := newManagedFleet(t, l.connections, l.proxies)
		shared := f.request(0, 0, 0)
		all := shared.Connections
		ways := []way{
			{name: "one each", share: types.Share{Connections: 1, Slots: 1}},
			{name: "common pool", share: types.Share{Connections: all, Slots: 1}},
			{name: "by demand", share: types.Share{Connections: all, Shared: all, Slots: 1}, ask: 24 * time.Millisecond},
			{name: "kept and shared", share: types.Share{Connections: all, Shared: shared.Shared, Slots: 1}, arbitrated: true},
		}
		results := make([]outcome, len(ways))
		for i, w := range ways {
			o := simulate(t, w, l)
			results[i] = o
			t.Logf("%d proxies, %d connections, %3.0f/s, %-16s refused %5.2f%%, mean wait %5.1f ms, %5d new connections, %5d rejected, %5d grants",
				l.proxies, l.connections, l.perSecond, w.name, 100*o.refusedPart(),
				float64(o.waited.Microseconds())/1000/float64(o.requests-o.refused), o.connects, o.rejected, o.grants)
		}
		built := results[len(results)-1]
		for i, o := range results[:len(results)-1] {
			assert.Assert(t, built.refusedPart() <= o.refusedPart()+0.01, "%s refuses less", ways[i].name)
		}
		if l == grown || l == large {
			assert.Assert(t, built.refusedPart() < 0.002, "%.4f of the requests are refused", built.refusedPart())
		}
	}
}
