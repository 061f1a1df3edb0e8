package systemtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// sessionKey identifies a session of one incarnation of a proxy.
type sessionKey struct {
	proxy       types.HostID
	incarnation int
	id          types.SessionID
}

// caller sends one request at a time and may change proxies.
type caller struct {
	name          string
	session       *sessionKey
	seq           types.RequestSeq
	request       *request
	acked         []writeID // own acknowledged writes
	unresolved    *request  // a request with an ID whose outcome is unknown
	txn           *transaction
	unknownCommit *transaction // whose commit was the last request and has an unknown outcome
}

// request is a request of a caller in flight.
type request struct {
	seq         types.RequestSeq
	write       writeID // zero for reads
	id          types.RequestID
	profile     types.ProfileName
	class       types.Class
	txn         *transaction
	issued      time.Duration
	ownWrites   []writeID // of the caller, which a read must return
	ackedWrites []writeID // of all callers at the time of issue
}

// oracle records the answers that callers got, and checks them against the logs.
type oracle struct {
	sim         *simulation
	callers     []*caller
	sessions    map[sessionKey]*caller
	lastID      types.SessionID
	writes      writeID
	acked       map[writeID]time.Duration
	ackOrder    []writeID // in order of acknowledgement
	notRun      map[writeID]bool
	executed    map[writeID]bool // committed by some target at some time
	answers     int
	reads       int
	refusals    map[types.RefusalCode]int
	sessionEnds []types.Refusal // that ended sessions
	txns        []*transaction
	commits     int // acknowledged commits
}

func newOracle(s *simulation) *oracle {
	return &oracle{
		sim: s, sessions: make(map[sessionKey]*caller), acked: make(map[writeID]time.Duration),
		notRun: make(map[writeID]bool), executed: make(map[writeID]bool),
		refusals: make(map[types.RefusalCode]int),
	}
}

func (o *oracle) newCaller() *caller {
	c := &caller{name: fmt.Sprintf("caller-%d", len(o.callers)+1)}
	o.callers = append(o.callers, c)
	return c
}

// openSession opens a session for a caller on a proxy in place of its current one. It
// reports false if the proxy is down.
func (o *oracle) openSession(c *caller, p *proxy) bool {
	o.closeSession(c)
	if o.sim.cluster.Hosts[p.shard()].Stepper == nil {
		return false
	}
	o.lastID++
	key := sessionKey{p.id, p.incarnation, o.lastID}
	c.session = &key
	o.sessions[key] = c
	o.sim.cluster.Deliver(p.shard(), event.SessionOpened{
		Session: key.id, Params: types.SessionParams{Service: service, Caller: c.name},
	})
	return true
}

func (o *oracle) closeSession(c *caller) {
	if c.session == nil {
		return
	}
	o.sim.cluster.Deliver(o.sim.proxies[c.session.proxy].shard(), event.SessionClosed{Session: c.session.id})
	delete(o.sessions, *c.session)
	c.session = nil
	o.abandonRequest(c)
}

// abandonRequest treats the outcome of the caller's request in flight as unknown.
func (o *oracle) abandonRequest(c *caller) {
	if r := c.request; r != nil && r.id != "" {
		c.unresolved = r
	}
	c.request = nil
	if c.txn != nil {
		o.abandonTxn(c)
	}
}

// send sends a request of a caller to its proxy.
func (o *oracle) send(c *caller, r request, payload types.Payload) {
	c.seq++
	c.unknownCommit = nil
	r.seq, r.issued = c.seq, o.sim.cluster.Now()
	r.ownWrites, r.ackedWrites = slices.Clip(c.acked), slices.Clip(o.ackOrder)
	c.request = &r
	p := o.sim.proxies[c.session.proxy]
	o.sim.cluster.Deliver(p.shard(), event.RequestArrived{Session: c.session.id, Request: types.Request{
		Seq: c.seq, Profile: r.profile, Class: r.class, ID: r.id, Payload: payload,
	}})
}

func (o *oracle) write(c *caller, id types.RequestID) {
	if id != "" && c.unresolved != nil {
		r := *c.unresolved
		c.unresolved = nil
		o.send(c, r, write{r.write, c.name})
		return
	}
	o.writes++
	o.send(c, request{write: o.writes, id: id, profile: "session"}, write{o.writes, c.name})
}

func (o *oracle) read(c *caller, profile types.ProfileName) {
	o.send(c, request{profile: profile, class: types.ClassRead}, read{c.name})
}

// recordExecuted records that a target committed a write.
func (o *oracle) recordExecuted(id writeID) {
	o.sim.t.Helper()
	if o.notRun[id] {
		o.sim.t.Fatalf("write %d was executed after its caller got the outcome \"not run\"", id)
	}
	o.executed[id] = true
}

// completeRequest removes and returns the request that an effect answers. It returns
// nil for a session that is gone.
func (o *oracle) completeRequest(p *proxy, id types.SessionID, seq types.RequestSeq) (*caller, *request) {
	c, ok := o.sessions[sessionKey{p.id, p.incarnation, id}]
	if !ok {
		return nil, nil
	}
	r := c.request
	if r == nil || r.seq != seq {
		o.sim.t.Fatalf("%s got an answer to request %d, which is not in flight", c.name, seq)
	}
	c.request = nil
	return c, r
}

func (o *oracle) handleAnswer(p *proxy, e effect.AnswerCaller) {
	o.sim.t.Helper()
	c, r := o.completeRequest(p, e.Session, e.Seq)
	if r == nil {
		return
	}
	o.answers++
	if r.txn != nil {
		o.handleTxnAnswer(c, r, e.Answer)
		return
	}
	if r.write != 0 {
		o.acked[r.write] = o.sim.cluster.Now()
		o.ackOrder = append(o.ackOrder, r.write)
		c.acked = append(c.acked, r.write)
		return
	}
	o.reads++
	log, ok := e.Answer.Payload.([]entry)
	if !ok {
		o.sim.t.Fatalf("a read got %v, expected a log", e.Answer.Payload)
	}
	o.checkRead(c, r, log)
}

func (o *oracle) checkRead(c *caller, r *request, log []entry) {
	o.sim.t.Helper()
	returned := make(map[writeID]bool)
	for _, e := range log {
		for _, id := range e.writes {
			returned[id] = true
		}
	}
	o.checkAtomic("a read of "+c.name, func(id writeID) bool { return returned[id] })
	for _, id := range r.ownWrites {
		if !returned[id] {
			o.sim.t.Fatalf("%s read with profile %s without its own write %d", c.name, r.profile, id)
		}
	}
	var bound time.Duration
	switch r.profile {
	case "strict":
	case "catalog":
		bound = catalogAge + time.Duration(o.sim.clockDrift*float64(catalogAge))
	default:
		return
	}
	for _, id := range r.ackedWrites {
		if !returned[id] && o.acked[id] <= r.issued-bound {
			o.sim.t.Fatalf("%s read with profile %s at %v without write %d, acknowledged at %v",
				c.name, r.profile, r.issued, id, o.acked[id])
		}
	}
}

func (o *oracle) handleRefusal(p *proxy, e effect.RefuseCaller) {
	o.sim.t.Helper()
	c, r := o.completeRequest(p, e.Session, e.Seq)
	if r == nil {
		return
	}
	o.refusals[e.Refusal.Code]++
	switch {
	case r.txn != nil:
		o.handleTxnRefusal(c, e.Refusal)
	case r.write == 0:
	case e.Refusal.Outcome == types.NotRun:
		o.markNotRun(r.write, c.name, e.Refusal.Error())
	case r.id != "":
		c.unresolved = r
	}
}

// markNotRun records that a write was not executed and must never be.
func (o *oracle) markNotRun(id writeID, who, why string) {
	o.sim.t.Helper()
	if o.executed[id] {
		o.sim.t.Fatalf("write %d of %s was executed, although it was reported as not run: %s", id, who, why)
	}
	o.notRun[id] = true
}

func (o *oracle) handleSessionEnd(p *proxy, id types.SessionID, r types.Refusal) {
	o.sessionEnds = append(o.sessionEnds, r)
	key := sessionKey{p.id, p.incarnation, id}
	if c, ok := o.sessions[key]; ok {
		delete(o.sessions, key)
		c.session = nil
		o.abandonRequest(c)
		if x := c.unknownCommit; x != nil && r.Code == types.RefuseTransactionLost && r.Outcome == types.NotRun {
			o.markTxnNotRun(c.name, x, r.Error())
		}
	}
}

// handleProxyCrash ends the sessions of a proxy that crashed.
func (o *oracle) handleProxyCrash(p *proxy) {
	for key, c := range o.sessions {
		if key.proxy == p.id {
			delete(o.sessions, key)
			c.session = nil
			o.abandonRequest(c)
		}
	}
}

// checkLog checks the log of the final primary: each acknowledged write occurs exactly
// once, no write occurs twice, and none that was reported as not run occurs.
func (o *oracle) checkLog(log []entry) {
	o.sim.t.Helper()
	count := make(map[writeID]int)
	for _, e := range log {
		for _, id := range e.writes {
			count[id]++
			if count[id] > 1 {
				o.sim.t.Fatalf("write %d was executed twice", id)
			}
		}
	}
	o.checkAtomic("the log", func(id writeID) bool { return count[id] > 0 })
	for _, id := range o.ackOrder {
		if count[id] == 0 {
			o.sim.t.Fatalf("write %d was acknowledged at %v and is lost", id, o.acked[id])
		}
	}
	for id := range o.notRun {
		if count[id] > 0 {
			o.sim.t.Fatalf("write %d was executed, but its caller got the outcome \"not run\"", id)
		}
	}
}
