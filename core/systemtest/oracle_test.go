package systemtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// sessionKey names a session on one run of a proxy.
type sessionKey struct {
	proxy types.HostID
	run   int
	id    types.SessionID
}

// caller sends one request at a time and moves between proxies.
type caller struct {
	name    string
	session *sessionKey
	seq     types.RequestSeq
	request *request
	acked   []writeID // its own acknowledged writes
	repeat  *request  // a request with an id whose outcome is unknown
	txn     *transaction
	open    *transaction // its commit was the last request, with an unknown outcome
}

// request is a request of a caller under way.
type request struct {
	seq     types.RequestSeq
	write   writeID // zero for reads
	id      types.RequestID
	profile types.ProfileName
	class   types.Class
	txn     *transaction
	issued  time.Duration
	own     []writeID // writes that a read must show
	all     []writeID // writes acknowledged to anybody when it was issued
}

// oracle knows what callers were told and checks it against the logs.
type oracle struct {
	world    *world
	callers  []*caller
	sessions map[sessionKey]*caller
	lastID   types.SessionID
	writes   writeID
	acked    map[writeID]time.Duration
	ackedIn  []writeID // in order
	notRun   map[writeID]bool
	runs     map[writeID]bool // applied by some target at some time
	answers  int
	reads    int
	refusals map[types.RefusalCode]int
	ends     []types.Refusal // of sessions
	txns     []*transaction
	commits  int // acknowledged
}

func newOracle(w *world) *oracle {
	return &oracle{
		world: w, sessions: make(map[sessionKey]*caller), acked: make(map[writeID]time.Duration),
		notRun: make(map[writeID]bool), runs: make(map[writeID]bool),
		refusals: make(map[types.RefusalCode]int),
	}
}

func (o *oracle) newCaller() *caller {
	c := &caller{name: fmt.Sprintf("caller-%d", len(o.callers)+1)}
	o.callers = append(o.callers, c)
	return c
}

// open gives a caller a session on a proxy, in place of the one it has.
func (o *oracle) open(c *caller, p *proxy) bool {
	o.leave(c)
	if o.world.cluster.Hosts[p.shard()].Stepper == nil {
		return false
	}
	o.lastID++
	key := sessionKey{p.id, p.run, o.lastID}
	c.session = &key
	o.sessions[key] = c
	o.world.cluster.Hand(p.shard(), event.SessionOpened{
		Session: key.id, Params: types.SessionParams{Service: service, Caller: c.name},
	})
	return true
}

func (o *oracle) leave(c *caller) {
	if c.session == nil {
		return
	}
	o.world.cluster.Hand(o.world.proxies[c.session.proxy].shard(), event.SessionClosed{Session: c.session.id})
	delete(o.sessions, *c.session)
	c.session = nil
	o.giveUp(c)
}

// giveUp takes the outcome of a request under way as unknown.
func (o *oracle) giveUp(c *caller) {
	if r := c.request; r != nil && r.id != "" {
		c.repeat = r
	}
	c.request = nil
	if c.txn != nil {
		o.abandonTxn(c)
	}
}

// send lets a caller send a request.
func (o *oracle) send(c *caller, r request, payload types.Payload) {
	c.seq++
	c.open = nil
	r.seq, r.issued = c.seq, o.world.cluster.Now()
	r.own, r.all = slices.Clip(c.acked), slices.Clip(o.ackedIn)
	c.request = &r
	p := o.world.proxies[c.session.proxy]
	o.world.cluster.Hand(p.shard(), event.RequestArrived{Session: c.session.id, Request: types.Request{
		Seq: c.seq, Profile: r.profile, Class: r.class, ID: r.id, Payload: payload,
	}})
}

func (o *oracle) write(c *caller, id types.RequestID) {
	if id != "" && c.repeat != nil {
		r := *c.repeat
		c.repeat = nil
		o.send(c, r, write{r.write, c.name})
		return
	}
	o.writes++
	o.send(c, request{write: o.writes, id: id, profile: "session"}, write{o.writes, c.name})
}

func (o *oracle) read(c *caller, profile types.ProfileName) {
	o.send(c, request{profile: profile, class: types.ClassRead}, read{c.name})
}

// applied notes that a target committed a write.
func (o *oracle) applied(id writeID) {
	o.world.t.Helper()
	if o.notRun[id] {
		o.world.t.Fatalf("write %d ran after its caller was told that it did not", id)
	}
	o.runs[id] = true
}

// take returns the request that an effect answers.
func (o *oracle) take(p *proxy, id types.SessionID, seq types.RequestSeq) (*caller, *request) {
	c, ok := o.sessions[sessionKey{p.id, p.run, id}]
	if !ok {
		return nil, nil
	}
	r := c.request
	if r == nil || r.seq != seq {
		o.world.t.Fatalf("%s got an answer to request %d, which is not under way", c.name, seq)
	}
	c.request = nil
	return c, r
}

func (o *oracle) answered(p *proxy, e effect.AnswerCaller) {
	o.world.t.Helper()
	c, r := o.take(p, e.Session, e.Seq)
	if r == nil {
		return
	}
	o.answers++
	if r.txn != nil {
		o.txnAnswered(c, r, e.Answer)
		return
	}
	if r.write != 0 {
		o.acked[r.write] = o.world.cluster.Now()
		o.ackedIn = append(o.ackedIn, r.write)
		c.acked = append(c.acked, r.write)
		return
	}
	o.reads++
	log, ok := e.Answer.Payload.([]entry)
	if !ok {
		o.world.t.Fatalf("a read got the answer %v", e.Answer.Payload)
	}
	o.checkRead(c, r, log)
}

func (o *oracle) checkRead(c *caller, r *request, log []entry) {
	o.world.t.Helper()
	shown := make(map[writeID]bool)
	for _, e := range log {
		for _, id := range e.writes {
			shown[id] = true
		}
	}
	o.checkWhole("a read of "+c.name, func(id writeID) bool { return shown[id] })
	for _, id := range r.own {
		if !shown[id] {
			o.world.t.Fatalf("%s does not read its own write %d with profile %s", c.name, id, r.profile)
		}
	}
	var bound time.Duration
	switch r.profile {
	case "strict":
	case "catalog":
		bound = catalogAge + time.Duration(o.world.drifts*float64(catalogAge))
	default:
		return
	}
	for _, id := range r.all {
		if !shown[id] && o.acked[id] <= r.issued-bound {
			o.world.t.Fatalf("%s read with profile %s at %v without write %d, acknowledged at %v",
				c.name, r.profile, r.issued, id, o.acked[id])
		}
	}
}

func (o *oracle) refused(p *proxy, e effect.RefuseCaller) {
	o.world.t.Helper()
	c, r := o.take(p, e.Session, e.Seq)
	if r == nil {
		return
	}
	o.refusals[e.Refusal.Code]++
	switch {
	case r.txn != nil:
		o.txnRefused(c, e.Refusal)
	case r.write == 0:
	case e.Refusal.Outcome == types.NotRun:
		o.mustNotRun(r.write, c.name, e.Refusal.Error())
	case r.id != "":
		c.repeat = r
	}
}

// mustNotRun notes that a write was not applied and never will be.
func (o *oracle) mustNotRun(id writeID, who, why string) {
	o.world.t.Helper()
	if o.runs[id] {
		o.world.t.Fatalf("write %d of %s ran, but: %s", id, who, why)
	}
	o.notRun[id] = true
}

func (o *oracle) ended(p *proxy, id types.SessionID, r types.Refusal) {
	o.ends = append(o.ends, r)
	key := sessionKey{p.id, p.run, id}
	if c, ok := o.sessions[key]; ok {
		delete(o.sessions, key)
		c.session = nil
		o.giveUp(c)
		if x := c.open; x != nil && r.Code == types.RefuseNotClean && r.Outcome == types.NotRun {
			o.txnNotRun(c.name, x, r.Error())
		}
	}
}

// lost ends the sessions of a proxy that has crashed.
func (o *oracle) lost(p *proxy) {
	for key, c := range o.sessions {
		if key.proxy == p.id {
			delete(o.sessions, key)
			c.session = nil
			o.giveUp(c)
		}
	}
}

// checkLog checks the log of the primary that serves in the end.
func (o *oracle) checkLog(log []entry) {
	o.world.t.Helper()
	count := make(map[writeID]int)
	for _, e := range log {
		for _, id := range e.writes {
			count[id]++
			if count[id] > 1 {
				o.world.t.Fatalf("write %d ran twice", id)
			}
		}
	}
	o.checkWhole("the log", func(id writeID) bool { return count[id] > 0 })
	for _, id := range o.ackedIn {
		if count[id] == 0 {
			o.world.t.Fatalf("write %d was acknowledged at %v and is gone", id, o.acked[id])
		}
	}
	for id := range o.notRun {
		if count[id] > 0 {
			o.world.t.Fatalf("write %d ran, but its caller was told that it did not", id)
		}
	}
}
