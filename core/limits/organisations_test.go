package limits_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// This file compares ways to use the connections of one managed target for callers of many
// organisations. The target runs a limited number of statements at a time, and opening a
// connection takes one of its slots. docs/design/shares.md has the table that it logs.

// organisationWay is a way to use the connections.
type organisationWay struct {
	name    string
	unnamed bool // connections have no name, so that every caller can use them
	// keeps is how many idle connections each proxy keeps, or zero for those of its share.
	keeps int
	// home returns which of the proxies holds the connections of an organisation for the
	// callers of one proxy, or nil if each holds its own.
	home func(s *organisationSim, organisation, proxy int) int
}

// organisationLoad is the load of one target. Organisations ask by Zipf's law.
type organisationLoad struct {
	name                                              string
	proxies, zones, connections, slots, organisations int
	perSecond                                         float64 // operations
	peak                                              float64 // factor of perSecond in the middle third
	largestPeak                                       float64 // factor of the largest organisation in the middle third
}

const (
	organisationSimLength = 90 * time.Second
	oneWayDelay           = 6 * time.Millisecond
	callerPause           = 3 * time.Millisecond // between the statements of a transaction
	queueTimeout          = 500 * time.Millisecond
	meanStatement         = 13 * time.Millisecond
	transactionPart       = 0.15
	transactionLength     = 4 // statements
	longSessions          = 500
	shortSessionPart      = 0.23 // of the operations that come through any proxy
)

// organisationRequest is an operation that waits or runs.
type organisationRequest struct {
	organisation types.OrganisationName
	arrived      types.Instant
	statements   int // that are left
}

type organisationProxy struct {
	target  *pool.Target
	waiting []*organisationRequest // in order of arrival
}

// organisationSim runs one way under one load.
type organisationSim struct {
	organisationWay
	organisationLoad
	fleet    *managedFleet
	now      types.Instant
	random   *rand.Rand
	proxyAt  []*organisationProxy
	weights  []float64 // part of each organisation in the operations
	sessions [][]int   // proxies of each organisation's long sessions
	events   instants
	lastConn types.ConnID

	// Of the target.
	open, busy int
	queue      []func()

	operations, refused, connects, rejected, replaced int
	waits                                             []time.Duration
}

func newOrganisationSim(t *testing.T, w organisationWay, l organisationLoad) *organisationSim {
	s := &organisationSim{
		organisationWay: w, organisationLoad: l, fleet: newManagedFleet(t, l.connections, l.proxies),
		now: second, random: rand.New(rand.NewPCG(1, 7)),
	}
	var sum float64
	for i := range l.organisations {
		s.weights = append(s.weights, 1/float64(i+1))
		sum += s.weights[i]
	}
	for i := range s.weights {
		s.weights[i] /= sum
		at := make([]int, max(2, int(longSessions*s.weights[i])))
		for j := range at {
			at[j] = s.random.IntN(l.proxies)
		}
		s.sessions = append(s.sessions, at)
	}
	for range l.proxies {
		s.proxyAt = append(s.proxyAt, &organisationProxy{target: pool.NewTarget(managedRef)})
	}
	return s
}

func (s *organisationSim) after(d time.Duration, do func()) {
	heap.Push(&s.events, instant{at: s.now.Add(d), do: do})
}

func (s *organisationSim) run() {
	for i := range s.proxyAt {
		s.apply(i, s.fleet.request(i, 0, 0))
		s.after(time.Duration(i)*requestPeriod/time.Duration(s.proxies), func() { s.renew(i) })
	}
	s.arrive()
	s.after(simTick, s.tick)
	for end := s.now.Add(organisationSimLength); s.events[0].at < end; {
		e := heap.Pop(&s.events).(instant)
		s.now = e.at
		e.do()
	}
}

// arrive adds an operation.
func (s *organisationSim) arrive() {
	rate, largest := s.perSecond, s.weights[0]
	if at := s.now.Sub(second); at > organisationSimLength/3 && at < 2*organisationSimLength/3 {
		rate *= max(1, s.peak)
		largest *= max(1, s.largestPeak)
		rate *= 1 - s.weights[0] + largest
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	organisation := 0
	for u := s.random.Float64()*(1-s.weights[0]+largest) - largest; u >= 0 && organisation < len(s.weights)-1; {
		organisation++
		u -= s.weights[organisation]
	}
	at := s.sessions[organisation][s.random.IntN(len(s.sessions[organisation]))]
	if s.random.Float64() < shortSessionPart {
		at = s.random.IntN(s.proxies)
	}
	r := &organisationRequest{arrived: s.now, statements: 1}
	if !s.unnamed && s.organisations > 1 {
		r.organisation = types.OrganisationName(fmt.Sprint("organisation-", organisation))
	}
	if s.random.Float64() < transactionPart {
		r.statements = transactionLength
	}
	s.operations++
	if s.home != nil {
		at = s.home(s, organisation, at)
	}
	p := s.proxyAt[at]
	p.waiting = append(p.waiting, r)
	s.serve(p)
}

// homeOfZone returns the proxy of a zone that holds an organisation's connections, by
// rendezvous hashing.
func (s *organisationSim) homeOfZone(organisation, zone int) int {
	home, highest := 0, uint64(0)
	for i := zone; i < s.proxies; i += s.zones {
		h := fnv.New64a()
		fmt.Fprint(h, organisation, " at ", i)
		if sum := h.Sum64(); sum > highest {
			home, highest = i, sum
		}
	}
	return home
}

func (s *organisationSim) tick() {
	for _, p := range s.proxyAt {
		s.closeConns(p.target.CloseIdle(s.now))
		s.serve(p)
	}
	s.after(simTick, s.tick)
}

func (s *organisationSim) closeConns(conns []*pool.Conn) {
	for range conns {
		s.after(oneWayDelay, func() { s.open-- })
	}
}

// serve starts the waiting requests that have a connection, refuses those that waited for
// too long, and opens connections for the others.
func (s *organisationSim) serve(p *organisationProxy) {
	n := len(p.waiting)
	p.waiting = slices.DeleteFunc(p.waiting, func(r *organisationRequest) bool { return s.now.Sub(r.arrived) > queueTimeout })
	s.refused += n - len(p.waiting)
	for s.startOne(p) {
	}
	d := pool.Demand{ServiceWaiting: len(p.waiting) > 0, Organisations: !s.unnamed && s.organisations > 1}
	for _, r := range p.waiting {
		d.Waiting = append(d.Waiting, pool.Waiting{Organisation: r.organisation, Requests: 1, Since: r.arrived})
	}
	plan := p.target.PlanDials(d, s.now)
	s.replaced += len(plan.Close)
	s.closeConns(plan.Close)
	for _, organisation := range plan.Open {
		s.connect(p, organisation)
	}
}

func (s *organisationSim) startOne(p *organisationProxy) bool {
	for i, r := range p.waiting {
		if c := p.target.Acquire(1, r.organisation, nil); c != nil {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			s.waits = append(s.waits, s.now.Sub(r.arrived))
			s.exchange(p, c, r)
			return true
		}
		if s.now.Sub(r.arrived) >= pool.Turn && p.target.Starved(r.organisation, s.now) {
			return false
		}
	}
	return false
}

// exchange runs the next statement of a request.
func (s *organisationSim) exchange(p *organisationProxy, c *pool.Conn, r *organisationRequest) {
	c.BeginExchange()
	s.after(oneWayDelay, func() {
		s.occupy(time.Duration(s.random.ExpFloat64()*float64(meanStatement)), func(queued int) {
			s.after(oneWayDelay, func() { s.answered(p, c, r, queued) })
		})
	})
}

func (s *organisationSim) answered(p *organisationProxy, c *pool.Conn, r *organisationRequest, queued int) {
	c.EndExchange()
	switch {
	case queued > s.slots:
		p.target.LowerLimit()
	case queued == 0 && len(p.waiting) > 0:
		p.target.RaiseLimit()
	}
	if r.statements--; r.statements > 0 {
		s.after(callerPause, func() { s.exchange(p, c, r) })
	} else if !p.target.Release(c, s.now) {
		s.closeConns([]*pool.Conn{c})
	}
	s.serve(p)
}

// occupy takes a slot of the target for d once one is free. done gets the number of others
// that waited for one before.
func (s *organisationSim) occupy(d time.Duration, done func(queued int)) {
	queued := len(s.queue)
	s.queue = append(s.queue, func() {
		s.busy++
		s.after(d, func() {
			s.busy--
			done(queued)
			s.runQueued()
		})
	})
	s.runQueued()
}

func (s *organisationSim) runQueued() {
	for s.busy < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// connect opens a connection, which the target rejects at its limit.
func (s *organisationSim) connect(p *organisationProxy, organisation types.OrganisationName) {
	s.lastConn++
	c := p.target.Dial(s.lastConn, organisation)
	s.after(3*oneWayDelay, func() {
		if s.open >= s.connections {
			s.rejected++
			s.after(oneWayDelay, func() {
				p.target.DialFailed(c, true, s.now)
				s.serve(p)
			})
			return
		}
		s.open++
		s.connects++
		s.occupy(connectTime, func(int) {
			s.after(oneWayDelay, func() {
				p.target.Connected(c, s.now)
				s.serve(p)
			})
		})
	})
}

// renew sends a proxy's lease request and applies its share.
func (s *organisationSim) renew(i int) {
	s.after(requestPeriod, func() { s.renew(i) })
	p := s.proxyAt[i]
	held, demand := p.target.Open(), p.target.InUse()+len(p.waiting)
	if share := p.target.Share(); max(held, demand) <= share.Connections-share.Shared {
		held, demand = 0, 0
	}
	s.fleet.now = s.now
	s.apply(i, s.fleet.requestFull(i, held, demand, p.target.Full(s.now)))
}

func (s *organisationSim) apply(i int, share types.Share) {
	if s.keeps > 0 && !share.Contended {
		share.Shared = max(0, share.Connections-s.keeps)
	}
	s.closeConns(s.proxyAt[i].target.Update("10.0.0.1:1", share))
}

func (s *organisationSim) perOperation() float64 { return float64(s.connects) / float64(s.operations) }

func (s *organisationSim) refusedPart() float64 { return float64(s.refused) / float64(s.operations) }

func (s *organisationSim) String() string {
	slices.Sort(s.waits)
	var sum time.Duration
	for _, w := range s.waits {
		sum += w
	}
	n := len(s.waits)
	return fmt.Sprintf("%-22s %-26s %.3f new connections an operation, %4d rejected, %3d replaced, %.2f%% refused, wait %4.1f ms, 99th %5.1f ms",
		s.organisationLoad.name, s.organisationWay.name, s.perOperation(), s.rejected, s.replaced, 100*s.refusedPart(),
		(sum/time.Duration(n)).Seconds()*1000, s.waits[n*99/100].Seconds()*1000)
}

// TestWaysToServeOrganisations shows that callers of many organisations are served through
// few connections, also while many come at once or one sends many times its usual, and what
// it would bring if one proxy held an organisation's connections.
func TestWaysToServeOrganisations(t *testing.T) {
	quiet := organisationLoad{name: "quiet", proxies: 26, zones: 6, connections: 70, slots: 4, organisations: 76, perSecond: 29}
	burst, hot := quiet, quiet
	burst.name, burst.peak = "2.3 times", 2.3
	hot.name, hot.largestPeak = "largest 6 times", 6
	zone := func(s *organisationSim, organisation, proxy int) int {
		return s.homeOfZone(organisation, proxy%s.zones)
	}
	targetZone := func(s *organisationSim, organisation, _ int) int { return s.homeOfZone(organisation, 0) }
	ways := []organisationWay{
		{name: "without names", unnamed: true},
		{name: "a proxy of each zone", home: zone},
		{name: "a proxy beside the target", home: targetZone, keeps: 12},
		{name: "each proxy"},
	}
	for _, l := range []organisationLoad{quiet, burst, hot} {
		for _, w := range ways {
			s := newOrganisationSim(t, w, l)
			s.run()
			t.Log(s)
			assert.Assert(t, s.refusedPart() < 0.001, "%s: %.4f of the operations are refused", w.name, s.refusedPart())
			assert.Assert(t, s.perOperation() < 0.9)
		}
	}
}

// TestIdleConnectionsAreUsedAgain covers fleets without organisations in which most requests
// found that their proxy had closed its connection, or had another one opened for nothing.
func TestIdleConnectionsAreUsedAgain(t *testing.T) {
	for _, l := range []organisationLoad{
		{name: "26 before 70", proxies: 26, zones: 6, connections: 70, slots: 4, organisations: 1, perSecond: 29, peak: 2.3},
		{name: "78 before 144", proxies: 78, zones: 6, connections: 144, slots: 4, organisations: 1, perSecond: 28, peak: 2},
		{name: "24 before 56", proxies: 24, zones: 6, connections: 56, slots: 5, organisations: 1, perSecond: 72, peak: 2},
	} {
		s := newOrganisationSim(t, organisationWay{name: "each proxy"}, l)
		s.run()
		t.Log(s)
		assert.Equal(t, s.refused+s.rejected, 0)
		assert.Assert(t, s.perOperation() < 0.07)
	}
	for _, l := range []organisationLoad{
		{name: "90 before 46", proxies: 90, zones: 6, connections: 46, slots: 4, organisations: 1, perSecond: 54, peak: 2},
		{name: "34 before 48", proxies: 34, zones: 6, connections: 48, slots: 3, organisations: 1, perSecond: 60},
	} {
		s := newOrganisationSim(t, organisationWay{name: "each proxy"}, l)
		s.run()
		t.Log(s)
		assert.Equal(t, s.refused, 0)
	}
}
