package session

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"pgregory.net/rapid"
)

// rapidDefaults are the number of runs of the state machine and their average
// number of steps. Flags on the command line override them.
var rapidDefaults = map[string]string{"rapid.steps": "300", "rapid.checks": "300"}

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range rapidDefaults {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const modelLeaseDuration = 100 * time.Millisecond

// modelCluster is the model of a deployment: three targets, the control hosts, two
// proxies, and three callers whose sessions open on either proxy.
type modelCluster struct {
	t           *rapid.T
	now         types.Instant
	members     []*member
	proxies     []*modelProxy
	callers     []*modelCaller
	group       types.Group
	config      *types.Config
	version     uint64
	lastTag     int
	lastSession types.SessionID

	acked  map[string]types.Instant // when each majority-durable write was acknowledged, by tag
	notRun map[string]bool          // tags of writes that were refused as not run
	byID   map[types.RequestID]bool
}

// modelProxy is a shard with the effects that it has emitted.
type modelProxy struct {
	index       int
	shard       *Shard
	view        *types.NodeView
	seenVersion uint64
	timers      map[event.TimerID]types.Instant
	conns       map[types.ConnID]types.TargetName
	dials       []types.ConnID
	sends       []effect.SendTarget
	answers     []event.TargetAnswered // already delivered; repeatAnswer delivers them again
}

// modelCaller is a caller with at most one session and one pending request.
type modelCaller struct {
	proxy     *modelProxy
	session   types.SessionID // zero if none is open
	seq       types.RequestSeq
	pending   *pendingRequest
	txTags    []string // statements of the open transaction, starting with its begin
	ackedTags []string // writes that were acknowledged to this caller as durable
	readTags  []string // writes that the session's last read showed
}

// pendingRequest is the request whose answer a caller awaits.
type pendingRequest struct {
	stmt     statement
	profile  types.ProfileName
	required []string // writes that a read must show
	arrived  types.Instant
	inTx     bool
}

func newModelCluster(t *rapid.T) *modelCluster {
	config := testConfig()
	if rapid.Bool().Draw(t, "all writes wait for a majority") {
		svc := config.Services[svcName]
		svc.Profiles = []types.ProfileName{"session", "strict", "catalog"}
		config.Services[svcName] = svc
	}
	c := &modelCluster{
		t: t, now: types.Instant(time.Second), config: config,
		acked: make(map[string]types.Instant), notRun: make(map[string]bool), byID: make(map[types.RequestID]bool),
		group: types.Group{Service: svcName, Term: 1, Phase: types.GroupServing, Primary: "a", History: types.TermHistory{{Term: 1}}},
	}
	for _, name := range []types.TargetName{"a", "b", "c"} {
		c.members = append(c.members, &member{name: name, term: 1, primary: name == "a", conns: make(map[connKey]*targetTx)})
		c.group.Members = append(c.group.Members, types.Target{Name: name, Address: types.Address(name)})
	}
	for i := range 2 {
		p := &modelProxy{
			index: i, shard: NewShard(Options{Index: i}), timers: make(map[event.TimerID]types.Instant),
			conns: make(map[types.ConnID]types.TargetName),
		}
		c.proxies = append(c.proxies, p)
		c.renew(p)
	}
	for range 3 {
		c.callers = append(c.callers, &modelCaller{})
	}
	return c
}

func (c *modelCluster) member(name types.TargetName) *member {
	return c.members[slices.IndexFunc(c.members, func(m *member) bool { return m.name == name })]
}

// renew renews a proxy's lease and delivers the control hosts' latest view.
func (c *modelCluster) renew(p *modelProxy) {
	g := c.group
	g.Members = slices.Clone(c.group.Members)
	g.History = slices.Clone(c.group.History)
	v := c.nextView(p)
	v.LeaseUntil = c.now.Add(modelLeaseDuration)
	v.Cluster = &types.ClusterView{Version: c.version, Config: c.config, Groups: map[types.ServiceName]*types.Group{svcName: &g}}
	c.publish(p, v)
}

// nextView returns a copy of the proxy's view that may be changed.
func (c *modelCluster) nextView(p *modelProxy) *types.NodeView {
	v := &types.NodeView{Health: make(map[types.TargetRef]types.TargetHealth), Shares: make(map[types.TargetRef]types.Share)}
	if p.view != nil {
		*v = *p.view
		v.Health = make(map[types.TargetRef]types.TargetHealth)
		for r, h := range p.view.Health {
			v.Health[r] = h
		}
	}
	for _, m := range c.members {
		v.Shares[ref(m.name)] = types.Share{Connections: 2, Slots: 1}
	}
	return v
}

func (c *modelCluster) publish(p *modelProxy, v *types.NodeView) {
	p.view = v
	c.step(p, event.ViewChanged{})
}

func (c *modelCluster) step(p *modelProxy, ev event.Event) {
	c.now++
	for _, eff := range p.shard.Step(event.Input{Now: c.now, Seed: uint64(c.now), View: p.view, Event: ev}) {
		c.apply(p, eff)
	}
}

func (c *modelCluster) apply(p *modelProxy, eff effect.Effect) {
	switch e := eff.(type) {
	case effect.DialTarget:
		p.conns[e.Conn] = e.Ref.Name
		p.dials = append(p.dials, e.Conn)
		c.checkShare(p, e.Ref.Name)
	case effect.SendTarget:
		if !p.view.LeaseLive(c.now) {
			c.t.Fatalf("exchange %d on connection %d was sent without a lease", e.Seq, e.Conn)
		}
		p.sends = append(p.sends, e)
	case effect.CloseConn:
		c.closeConn(p, e.Conn)
	case effect.AnswerCaller:
		c.checkAnswer(p, e)
	case effect.RefuseCaller:
		c.handleRefusal(e)
	case effect.EndSession:
		c.forgetSession(e.Session)
	case effect.ReportShard:
		p.seenVersion = e.Report.AppliedVersion
	case effect.ArmTimer:
		if e.At <= c.now {
			c.t.Fatalf("timer %v armed for %d, which is not after %d", e.ID, e.At, c.now)
		}
		p.timers[e.ID] = e.At
	case effect.StopTimer:
		delete(p.timers, e.ID)
	}
}

func (c *modelCluster) checkShare(p *modelProxy, name types.TargetName) {
	open := 0
	for _, target := range p.conns {
		if target == name {
			open++
		}
	}
	if share := p.view.Shares[ref(name)].Connections; open > share {
		c.t.Fatalf("%d connections to target %s exceed the share of %d", open, name, share)
	}
}

func (c *modelCluster) closeConn(p *modelProxy, id types.ConnID) {
	delete(c.member(p.conns[id]).conns, connKey{p.index, id})
	delete(p.conns, id)
	p.dials = slices.DeleteFunc(p.dials, func(conn types.ConnID) bool { return conn == id })
	p.sends = slices.DeleteFunc(p.sends, func(e effect.SendTarget) bool { return e.Conn == id })
}

func (c *modelCluster) callerOf(id types.SessionID) *modelCaller {
	i := slices.IndexFunc(c.callers, func(caller *modelCaller) bool { return caller.session == id })
	if i < 0 {
		return nil
	}
	return c.callers[i]
}

func (c *modelCluster) forgetSession(id types.SessionID) {
	if caller := c.callerOf(id); caller != nil {
		caller.session, caller.pending, caller.txTags, caller.readTags = 0, nil, nil, nil
	}
}

// checkAnswer checks an answer against the model.
func (c *modelCluster) checkAnswer(p *modelProxy, e effect.AnswerCaller) {
	caller := c.callerOf(e.Session)
	if caller == nil || caller.pending == nil || caller.seq != e.Seq {
		c.t.Fatalf("answer to request %d of session %d, which is not pending", e.Seq, e.Session)
	}
	if !p.view.LeaseLive(c.now) {
		c.t.Fatalf("request %d of session %d was answered without a lease", e.Seq, e.Session)
	}
	req, got := caller.pending, e.Answer.Payload.(snapshot)
	caller.pending = nil
	if got.tag != req.stmt.tag && req.stmt.id == "" {
		c.t.Fatalf("statement %s got the answer to statement %s", req.stmt.tag, got.tag)
	}
	switch {
	case req.stmt.kind == "read":
		c.checkRead(caller, req, got.seenTags)
	case e.Answer.Tx != types.TxIdle:
		caller.txTags = append(caller.txTags, got.tag)
	case req.stmt.kind == "write":
		c.checkAcknowledged(caller, req, []string{got.tag})
	case req.stmt.kind == "commit":
		c.checkAcknowledged(caller, req, caller.txTags[1:])
		caller.txTags = nil
	}
}

// checkRead checks that a read shows every write that its profile requires.
func (c *modelCluster) checkRead(caller *modelCaller, req *pendingRequest, seenTags []string) {
	if req.inTx {
		return
	}
	for _, tag := range req.required {
		if !slices.Contains(seenTags, tag) {
			c.t.Fatalf("a read with profile %s does not show write %s of its session: %v", req.profile, tag, seenTags)
		}
	}
	if req.profile != "catalog" {
		caller.readTags = seenTags
		return
	}
	for tag, at := range c.acked {
		if at < req.arrived.Add(-c.config.Profiles["catalog"].MaxAge) && !slices.Contains(seenTags, tag) {
			c.t.Fatalf("a read with profile catalog is too old: write %s, acknowledged at %d, is missing", tag, at)
		}
	}
}

// checkAcknowledged checks that writes acknowledged as durable are on a
// majority, and records them.
func (c *modelCluster) checkAcknowledged(caller *modelCaller, req *pendingRequest, tags []string) {
	if req.profile == "fast" {
		return
	}
	for _, tag := range tags {
		holders := 0
		for _, m := range c.members {
			if slices.Contains(m.tags(), tag) || len(m.log) < m.requiredLength { // it may have held the write before it was wiped
				holders++
			}
		}
		if holders < 2 {
			c.t.Fatalf("write %s was acknowledged while only %d members hold it", tag, holders)
		}
		if _, ok := c.acked[tag]; !ok {
			c.acked[tag] = c.now
		}
		caller.ackedTags = append(caller.ackedTags, tag)
	}
}

func (c *modelCluster) handleRefusal(e effect.RefuseCaller) {
	caller := c.callerOf(e.Session)
	if caller == nil || caller.pending == nil || caller.seq != e.Seq {
		c.t.Fatalf("refusal of request %d of session %d, which is not pending", e.Seq, e.Session)
	}
	req := caller.pending
	caller.pending = nil
	if e.Refusal.Code == types.RefuseLostWrite {
		caller.readTags = nil
	}
	if e.Refusal.Outcome == types.NotRun && req.stmt.kind == "write" {
		c.notRun[req.stmt.tag] = true
	}
	if req.inTx {
		caller.txTags = nil
	}
}

// checkInvariants checks what must hold after every step: no write that was
// refused as not run is in a log, no request id ran twice, and the primary
// holds every acknowledged write.
func (c *modelCluster) checkInvariants() {
	for _, m := range c.members {
		ids := make(map[types.RequestID]string)
		for _, e := range m.log {
			if c.notRun[e.tag] && e.tag != "" {
				c.t.Fatalf("write %s is in the log of %s although it was refused as not run", e.tag, m.name)
			}
			if first, ok := ids[e.id]; ok && e.id != "" && e.tag != "" {
				c.t.Fatalf("request id %s ran twice, as %s and as %s", e.id, first, e.tag)
			}
			if e.tag != "" {
				ids[e.id] = e.tag
			}
		}
	}
	if c.group.Phase != types.GroupServing {
		return
	}
	tags := c.member(c.group.Primary).tags()
	for tag := range c.acked {
		if !slices.Contains(tags, tag) {
			c.t.Fatalf("primary %s of term %d lacks the acknowledged write %s", c.group.Primary, c.group.Term, tag)
		}
	}
}

var errBroken = errors.New("broken")

func (c *modelCluster) newTag() string {
	c.lastTag++
	return fmt.Sprint("w", c.lastTag)
}
