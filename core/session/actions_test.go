package session

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"pgregory.net/rapid"
)

// TestShardsMatchModel runs two proxies, three targets and the control hosts through
// random steps and checks what callers see against the model.
func TestShardsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newModelCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			// The keys' sorted order decides which action a seed draws, so a key
			// stays when its function is renamed. Repeated actions are drawn more
			// often.
			"":             func(*rapid.T) { c.checkInvariants() },
			"request":      c.sendRequest,
			"request2":     c.sendRequest,
			"resetSession": c.closeSession,
			"connect":      c.connect,
			"exchange":     c.completeExchange,
			"exchange2":    c.completeExchange,
			"break":        c.breakConn,
			"stabilize":    c.stabilize,
			"stabilize2":   c.stabilize,
			"stabilize3":   c.stabilize,
			"stabilize4":   c.stabilize,
			"request3":     c.sendRequest,
			"request4":     c.sendRequest,
			"lateAnswer":   c.repeatAnswer,
			"replicate":    c.replicate,
			"probe":        c.probe,
			"probe2":       c.probe,
			"time":         c.advanceTime,
			"renew":        func(t *rapid.T) { c.renew(pick(t, c.proxies)) },
			"begin":        c.beginTerm,
			"serve":        c.promoteCandidate,
			"follow":       c.followPrimary,
			"leave":        c.changeTargetState,
			"wipe":         c.wipeReplica,
		})
	})
}

func pick[T any](t *rapid.T, from []T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(t, "index")]
}

// sendRequest sends the next request of a caller and opens a session if the
// caller has none.
func (c *modelCluster) sendRequest(t *rapid.T) {
	caller := pick(t, c.callers)
	if caller.pending != nil {
		return
	}
	if caller.session == 0 {
		c.lastSession++
		caller.proxy, caller.session = pick(t, c.proxies), c.lastSession
		c.step(caller.proxy, event.SessionOpened{Session: caller.session, Params: types.SessionParams{Service: svcName}})
	}
	inTx := len(caller.txTags) > 0
	req := &pendingRequest{
		stmt: c.drawStatement(t, caller), arrived: c.now, inTx: inTx,
		profile:  pick(t, c.config.Services[svcName].Profiles),
		required: slices.Clone(caller.ackedTags),
	}
	if req.profile != "catalog" {
		req.required = append(req.required, caller.readTags...)
	}
	r := types.Request{Profile: req.profile, ID: req.stmt.id, Payload: req.stmt}
	if req.stmt.kind == "read" {
		r.Class = types.ClassRead
	}
	caller.seq++
	r.Seq, caller.pending = caller.seq, req
	c.step(caller.proxy, event.RequestArrived{Session: caller.session, Request: r})
}

// drawStatement draws a statement that is valid in the caller's transaction
// state. A charge is a write with a request id.
func (c *modelCluster) drawStatement(t *rapid.T, caller *modelCaller) statement {
	kinds := []string{"write", "read", "charge", "begin"}
	if len(caller.txTags) > 0 {
		kinds = []string{"write", "read", "commit"}
	}
	stmt := statement{kind: pick(t, kinds), tag: c.newTag()}
	switch stmt.kind {
	case "charge":
		stmt.kind = "write"
		stmt.id = types.RequestID(rapid.StringMatching("charge-[1-4]").Draw(t, "id"))
	}
	return stmt
}

// closeSession closes a caller's session, also while a request is in progress.
// The caller may open its next one on the other proxy.
func (c *modelCluster) closeSession(t *rapid.T) {
	caller := pick(t, c.callers)
	if caller.session == 0 || rapid.IntRange(0, 4).Draw(t, "skip") != 0 {
		return
	}
	id := caller.session
	c.forgetSession(id)
	c.step(caller.proxy, event.SessionClosed{Session: id})
}

// connect completes or fails a dial of a random proxy, or of the other one if that has
// no dial in progress.
func (c *modelCluster) connect(t *rapid.T) {
	p := pick(t, c.proxies)
	if len(p.dials) == 0 {
		p = c.proxies[1-p.index]
	}
	if len(p.dials) == 0 {
		return
	}
	c.connectOne(t, p)
}

func (c *modelCluster) connectOne(t *rapid.T, p *modelProxy) {
	conn := p.dials[0]
	p.dials = p.dials[1:]
	e := event.TargetConnected{Conn: conn}
	if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
		e.Err = errBroken
	}
	c.step(p, e)
}

// stabilize renews the leases, completes a pending change of primary and tries
// to complete as many exchanges as are in flight; those blocked on a claim remain.
// Some replicas catch up, and some proxies probe them.
func (c *modelCluster) stabilize(t *rapid.T) {
	for range 2 {
		c.promoteCandidate(t)
		for _, p := range c.proxies {
			c.renew(p)
		}
	}
	for _, m := range c.members {
		if c.group.Phase == types.GroupServing && m.term != c.group.Term && rapid.Bool().Draw(t, "follow") {
			m.follow(c.group.Term, c.member(c.group.Primary))
		}
	}
	for _, p := range c.proxies {
		for range len(p.dials) {
			c.connectOne(t, p)
		}
		for range len(p.sends) {
			c.completeExchange(t)
		}
	}
	for _, m := range c.members {
		if rapid.Bool().Draw(t, "catches up") {
			c.replicateOne(t, m)
		}
		for _, p := range c.proxies {
			if rapid.IntRange(0, 3).Draw(t, "probe") > 0 {
				c.probeOne(t, p, m)
			}
		}
	}
}

// takeInFlight removes and returns one exchange in flight. It returns false if
// there is none or if the drawn one is blocked on a claim.
func (c *modelCluster) takeInFlight(t *rapid.T) (*modelProxy, effect.SendTarget, bool) {
	p := pick(t, c.proxies)
	if len(p.sends) == 0 {
		p = c.proxies[1-p.index]
	}
	if len(p.sends) == 0 {
		return nil, effect.SendTarget{}, false
	}
	i := rapid.IntRange(0, len(p.sends)-1).Draw(t, "exchange")
	e := p.sends[i]
	m, key := c.member(p.conns[e.Conn]), connKey{p.index, e.Conn}
	if slices.ContainsFunc(e.Operations, func(op types.Operation) bool {
		return op.Kind == types.OpClaim && m.claimedElsewhere(op.RequestID, key)
	}) {
		return nil, effect.SendTarget{}, false // blocked until the other transaction ends
	}
	p.sends = slices.Delete(p.sends, i, i+1)
	return p, e, true
}

// execute runs an exchange on its target.
func (c *modelCluster) execute(p *modelProxy, e effect.SendTarget) event.TargetAnswered {
	m := c.member(p.conns[e.Conn])
	tx := m.transaction(connKey{p.index, e.Conn})
	if tx.broken {
		return event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Err: errBroken}
	}
	owner := p.shard.conns[e.Conn].Owner
	if tx.open && tx.owner != owner {
		c.t.Fatalf("session %d runs in the open transaction of session %d on %s", owner, tx.owner, m.name)
	}
	tx.owner = owner
	ev := event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Sent: true, Latency: time.Millisecond}
	for _, op := range e.Operations {
		ev.Results = append(ev.Results, m.run(tx, op))
	}
	return ev
}

// completeExchange runs an exchange and delivers its answer.
func (c *modelCluster) completeExchange(t *rapid.T) {
	p, e, ok := c.takeInFlight(t)
	if !ok {
		return
	}
	ev := c.execute(p, e)
	p.answers = append(p.answers, ev)
	c.step(p, ev)
}

// breakConn breaks a connection before its exchange was sent, after it was sent
// without running, or after it ran.
func (c *modelCluster) breakConn(t *rapid.T) {
	p, e, ok := c.takeInFlight(t)
	if !ok {
		return
	}
	ev := event.TargetAnswered{Conn: e.Conn, Seq: e.Seq, Err: errBroken}
	switch rapid.IntRange(0, 2).Draw(t, "when") {
	case 1:
		ev.Sent = true
	case 2:
		c.execute(p, e)
		ev.Sent = true
	}
	c.step(p, ev)
}

// repeatAnswer delivers an answer that was already delivered.
func (c *modelCluster) repeatAnswer(t *rapid.T) {
	p := pick(t, c.proxies)
	if len(p.answers) == 0 {
		return
	}
	c.step(p, pick(t, p.answers))
}

// replicate copies some entries of the primary of its term to a replica.
func (c *modelCluster) replicate(t *rapid.T) { c.replicateOne(t, pick(t, c.members)) }

func (c *modelCluster) replicateOne(t *rapid.T, m *member) {
	i := slices.IndexFunc(c.members, func(o *member) bool { return o.primary && o.term == m.term })
	if i < 0 || m.primary {
		return
	}
	primary := c.members[i]
	length := rapid.IntRange(len(m.log), len(primary.log)).Draw(t, "length")
	for length > len(m.log) && primary.log[length-1].moreInCommit {
		length-- // a commit is replicated atomically
	}
	m.log = append(slices.Clone(m.log), primary.log[len(m.log):length]...)
	if length == len(primary.log) && primary.name == c.group.Primary && primary.term == c.group.Term {
		m.freshAt = c.now
	}
}

// probe delivers the status of a target to a proxy.
func (c *modelCluster) probe(t *rapid.T) { c.probeOne(t, pick(t, c.proxies), pick(t, c.members)) }

func (c *modelCluster) probeOne(t *rapid.T, p *modelProxy, m *member) {
	probedAt := c.now
	if rapid.IntRange(0, 3).Draw(t, "slow") == 0 {
		c.advanceTime(t)
	}
	if m.unnoticedRestart[p.index] {
		c.probeFailed(p, m)
		return
	}
	status := m.status()
	if m.name == c.group.Primary && m.term == c.group.Term {
		m.freshAt = c.now
	}
	v := c.nextView(p)
	v.Health[ref(m.name)] = types.TargetHealth{
		Term: status.Term, Primary: status.Primary, Pos: status.Pos, ProbedAt: probedAt, LastContact: c.now, FreshAt: min(m.freshAt, probedAt),
	}
	c.publish(p, v)
}

// wipeReplica restarts a replica without its data. No member is promoted until
// it has caught up, since acknowledged writes may be on the primary alone.
func (c *modelCluster) wipeReplica(t *rapid.T) {
	m := pick(t, c.members)
	if m.primary || c.catchingUp() || c.group.Phase != types.GroupServing || m.term != c.group.Term || rapid.IntRange(0, 3).Draw(t, "skip") != 0 {
		return
	}
	m.log, m.freshAt = nil, 0
	m.breakConns()
	m.unnoticedRestart = map[int]bool{0: true, 1: true}
	m.requiredLength = len(c.member(c.group.Primary).log)
}

// catchingUp reports whether a member has not caught up since it was wiped.
func (c *modelCluster) catchingUp() bool {
	return slices.ContainsFunc(c.members, func(m *member) bool { return len(m.log) < m.requiredLength })
}

// probeFailed reports the first probe after a restart as failed, because the
// restart broke its connection.
func (c *modelCluster) probeFailed(p *modelProxy, m *member) {
	delete(m.unnoticedRestart, p.index)
	v := c.nextView(p)
	h := v.Health[ref(m.name)]
	h.Failing, h.FailingSince = true, c.now
	v.Health[ref(m.name)] = h
	c.publish(p, v)
}

// advanceTime moves the clock forward and fires the timers that are due.
func (c *modelCluster) advanceTime(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
	for _, p := range c.proxies {
		for _, id := range dueTimers(p, c.now) {
			delete(p.timers, id)
			c.step(p, event.TimerFired{ID: id})
		}
	}
}

// dueTimers returns the timers that are due in a deterministic order.
func dueTimers(p *modelProxy, now types.Instant) []event.TimerID {
	var due []event.TimerID
	for id, at := range p.timers {
		if at <= now {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b event.TimerID) int {
		return int(a.Domain)*1000 + int(a.Key) - int(b.Domain)*1000 - int(b.Key)
	})
	return due
}

// beginTerm makes the control hosts start replacing the primary.
func (c *modelCluster) beginTerm(t *rapid.T) {
	if c.group.Phase != types.GroupServing || c.catchingUp() || rapid.IntRange(0, 5).Draw(t, "skip") != 0 {
		return
	}
	c.version++
	c.group.Term++
	c.group.Phase, c.group.Primary = types.GroupFencing, ""
}

// promoteCandidate promotes the most up-to-date member of a majority, once every proxy
// has seen the new term or lost its lease.
func (c *modelCluster) promoteCandidate(t *rapid.T) {
	if c.group.Phase != types.GroupFencing {
		return
	}
	for _, p := range c.proxies {
		if p.seenVersion < c.version && p.view.LeaseLive(c.now) {
			return
		}
	}
	unreachable := rapid.IntRange(0, 2).Draw(t, "unreachable")
	var candidate *member
	for i, m := range c.members {
		if i != unreachable && (candidate == nil || m.pos().Compare(candidate.pos()) > 0) {
			candidate = m
		}
	}
	c.version++
	c.group.Phase, c.group.Primary = types.GroupServing, candidate.name
	c.group.History = c.group.History.Begin(types.TermStart{Term: c.group.Term, Offset: candidate.pos().Offset}, candidate.pos().Term)
	candidate.promote(c.group.Term)
}

// followPrimary makes a member follow the current primary.
func (c *modelCluster) followPrimary(t *rapid.T) {
	m := pick(t, c.members)
	if c.group.Phase != types.GroupServing || m.term == c.group.Term {
		return
	}
	m.follow(c.group.Term, c.member(c.group.Primary))
}

// changeTargetState sets a target to active or leaving.
func (c *modelCluster) changeTargetState(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "skip") != 0 {
		return
	}
	m := &c.group.Members[rapid.IntRange(0, 2).Draw(t, "member")]
	c.version++
	m.State = types.TargetActive
	if rapid.Bool().Draw(t, "leaves") {
		m.State = types.TargetLeaving
	}
}
