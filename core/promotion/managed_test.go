package promotion_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

const (
	// firstLogTerm is the term that the targets of the managed service report
	// at the start. It differs from the group's term.
	firstLogTerm = types.Term(7)
	// promotionLatency is how long the external promotion service takes to
	// promote a member.
	promotionLatency = 300 * time.Millisecond
	// managedFailoverBound is the time within which a failed primary has to be
	// replaced.
	managedFailoverBound = 6 * time.Second
)

// promotionService is an external promotion service: it promotes the members of
// a managed service.
type promotionService struct {
	harness         *harness
	tokens          []types.Term // tokens of the calls, in the order received
	executedToken   types.Term   // highest token of an executed call
	lastTarget      types.TargetName
	executionDelay  time.Duration // delay of a call that gets no answer
	unansweredCalls int           // number of next calls to execute late and leave unanswered
}

// promote executes a call, unless one with a higher token was executed before.
func (o *promotionService) promote(p *process, e effect.CallTarget) {
	o.tokens, o.lastTarget = append(o.tokens, e.Operation.Term), e.Target.Name
	token := e.Operation.Term
	if o.unansweredCalls > 0 {
		o.unansweredCalls--
		o.harness.Schedule(o.executionDelay, func() { o.execute(token, e.Target.Name) })
		o.harness.Schedule(e.Timeout, func() { o.reply(p, e, types.Result{}, errUnreachable) })
		return
	}
	kind := types.TargetErrNone
	if !o.execute(token, e.Target.Name) {
		kind = types.TargetErrStaleTerm
	}
	o.harness.Schedule(2*linkLatency, func() { o.reply(p, e, types.Result{Err: kind}, nil) })
}

func (o *promotionService) reply(p *process, e effect.CallTarget, r types.Result, err error) {
	p.step(event.TargetReplied{Call: e.Call, Err: err, Result: r})
}

func (o *promotionService) execute(token types.Term, name types.TargetName) bool {
	chosen := o.harness.targets[name]
	if token < o.executedToken {
		return false
	}
	o.executedToken = token
	if chosen.down || chosen.primary {
		return chosen.primary
	}
	o.harness.Schedule(promotionLatency, func() { o.makePrimary(chosen) })
	return true
}

// makePrimary makes a member the primary of the next term. The others follow
// it.
func (o *promotionService) makePrimary(chosen *fakeTarget) {
	term := types.Term(0)
	for _, t := range o.harness.targets {
		term = max(term, t.term)
	}
	for _, t := range o.harness.targets {
		t.primary, t.leader = t == chosen, chosen.name
		if t == chosen || !t.down {
			t.term = term + 1
		}
		if t.pos.Compare(chosen.pos) > 0 {
			t.pos = chosen.pos
		}
	}
	chosen.leader = ""
}

// startManaged returns a harness whose group has adopted the primary of the
// external promotion service.
func startManaged(t *testing.T) *harness {
	t.Helper()
	return startManagedWith(t, func(*harness) {})
}

// startManagedWith calls prepare before anything is configured.
func startManagedWith(t *testing.T, prepare func(h *harness)) *harness {
	t.Helper()
	return startManagedFleet(t, 4, prepare)
}

// startManagedFleet starts the given number of proxies.
func startManagedFleet(t *testing.T, proxies int, prepare func(h *harness)) *harness {
	t.Helper()
	h := emptyHarness(t)
	h.promotionService = &promotionService{harness: h, executionDelay: 4 * time.Second}
	h.addProcesses(3, proxies, 3)
	prepare(h)
	for name, target := range h.targets {
		target.term, target.primary = firstLogTerm, name == "t2"
		if !target.primary {
			target.leader = "t2"
		}
	}
	h.change(1, map[types.ServiceName]types.Service{service: {Name: service, Connections: 20, Managed: true}})
	_, ok := h.runUntil(5*time.Second, func() bool { return h.serving(1) && len(h.group().Members) == 3 })
	assert.Assert(t, ok, "no first primary: %+v", h.group())
	h.Run(3 * time.Second)
	return h
}

func TestExistingPrimaryIsAdopted(t *testing.T) {
	h := startManaged(t)
	assert.Equal(t, h.group().Primary, types.TargetName("t2"))
	assert.Equal(t, h.group().TargetTerm(), firstLogTerm)
	assert.Equal(t, len(h.promotionService.tokens), 0, "a member that was already primary was promoted")
}

// TestPrimaryThatAnnouncesItselfLast makes the replicas known before the
// primary, which must not be replaced for that reason.
func TestPrimaryThatAnnouncesItselfLast(t *testing.T) {
	h := startManagedWith(t, func(h *harness) {
		h.blocked["t2"] = true
		h.Schedule(time.Second, func() { delete(h.blocked, "t2") }) // the next announcement succeeds
	})
	assert.Equal(t, h.group().Primary, types.TargetName("t2"))
	assert.Equal(t, len(h.promotionService.tokens), 0, "the primary was replaced before it announced itself")
}

// TestGroupWithoutInitialPrimary promotes a member when none reports itself as
// primary.
func TestGroupWithoutInitialPrimary(t *testing.T) {
	h := emptyHarness(t)
	h.promotionService = &promotionService{harness: h}
	h.addProcesses(3, 4, 3)
	h.targets["t2"].down = true
	for _, target := range h.targets {
		target.term = firstLogTerm
	}
	h.change(1, map[types.ServiceName]types.Service{service: {Name: service, Connections: 20, Managed: true}})
	_, ok := h.runUntil(2*managedFailoverBound, func() bool { return h.serving(1) })
	assert.Assert(t, ok, "the group has no primary: %+v", h.group())
	assert.Equal(t, len(h.promotionService.tokens), 1)
}

func TestManagedFailover(t *testing.T) {
	for name, fail := range map[string]func(h *harness, old *fakeTarget){
		"killed":               func(_ *harness, old *fakeTarget) { old.down = true },
		"cut off from proxies": func(h *harness, old *fakeTarget) { h.blockProxyAccessTo(old) },
		"answers only probes":  func(h *harness, old *fakeTarget) { h.reportSilent(old.name, h.clock()) },
	} {
		t.Run(name, func(t *testing.T) {
			h := startManaged(t)
			old, before := h.primary(), h.group().Term
			old.write(7)
			h.Run(20 * time.Millisecond)
			fail(h, old)
			elapsed, ok := h.runUntil(managedFailoverBound, func() bool { return h.serving(before + 1) })
			assert.Assert(t, ok, "no second primary: %+v", h.group())
			t.Logf("replaced after %v", elapsed)
			assert.Assert(t, h.primary() != old)
			assert.Equal(t, h.primary().pos.Offset, uint64(7))
			assert.Equal(t, h.group().TargetTerm(), firstLogTerm+1)
			assert.Equal(t, len(h.promotionService.tokens), 1, "requests to the external promotion service")
		})
	}
}

// reportSilent has the shards of all proxies report that the primary answers
// no requests. The primary still answers probes.
func (h *harness) reportSilent(primary types.TargetName, since types.Instant) {
	for _, p := range h.proxies {
		p.silent = func() map[types.ServiceName]types.Instant {
			if g := h.group(); g == nil || g.Primary != primary {
				return nil
			}
			return map[types.ServiceName]types.Instant{service: since}
		}
		p.report()
	}
}

// blockProxyAccessTo keeps all proxies from reaching a target. The control
// hosts still reach it.
func (h *harness) blockProxyAccessTo(t *fakeTarget) {
	for id := range h.proxies {
		h.blocked[string(id)+">"+string(t.name)] = true
	}
}

// TestPromotionCarriedOutLate loses the answer to the first promotion request,
// which is executed seconds later. No two attempts may share a token, and the
// late execution must change nothing.
func TestPromotionCarriedOutLate(t *testing.T) {
	h := startManaged(t)
	h.promotionService.unansweredCalls = 1
	before := h.group().Term
	h.primary().down = true
	_, ok := h.runUntil(2*managedFailoverBound, func() bool { return h.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", h.group())
	primary, term := h.group().Primary, h.group().TargetTerm()
	h.Run(h.promotionService.executionDelay)
	assert.Equal(t, h.group().Primary, primary)
	assert.Equal(t, h.group().TargetTerm(), term)
	for i := 1; i < len(h.promotionService.tokens); i++ {
		assert.Assert(t, h.promotionService.tokens[i] > h.promotionService.tokens[i-1], "tokens %v", h.promotionService.tokens)
	}
}

// TestTokensGrowAcrossLeaders changes the control leader while a promotion is
// in progress.
func TestTokensGrowAcrossLeaders(t *testing.T) {
	h := startManaged(t)
	h.promotionService.unansweredCalls = 1
	before := h.group().Term
	h.primary().down = true
	_, ok := h.runUntil(managedFailoverBound, func() bool { return len(h.promotionService.tokens) == 1 })
	assert.Assert(t, ok, "no promotion was requested")
	h.elect("c2")
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", h.group())
	assert.Equal(t, len(h.promotionService.tokens), 2)
	assert.Assert(t, h.promotionService.tokens[1] > h.promotionService.tokens[0], "tokens %v", h.promotionService.tokens)
}

func TestLeavingManagedPrimaryIsReplaced(t *testing.T) {
	h := startManaged(t)
	old := h.primary()
	old.leaving = true
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.group().Primary != old.name && h.serving(h.group().Term) })
	assert.Assert(t, ok, "the primary was not replaced: %+v", h.group())
	assert.Equal(t, old.primary, false)
}

// TestPrimaryReplacedByPromotionService has the external promotion service
// promote a member that no control host requested.
func TestPrimaryReplacedByPromotionService(t *testing.T) {
	h := startManaged(t)
	h.promotionService.makePrimary(h.replica())
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.group().TargetTerm() == firstLogTerm+1 && h.serving(1) })
	assert.Assert(t, ok, "the new primary was not adopted: %+v", h.group())
	assert.Equal(t, len(h.promotionService.tokens), 0)
}

// TestFailedAttemptDoesNotReturnToTheOldPrimary loses the first promotion
// request while the control hosts still reach the primary that the proxies
// can't reach.
func TestFailedAttemptDoesNotReturnToTheOldPrimary(t *testing.T) {
	h := startManaged(t)
	old, before := h.primary(), h.group().Term
	h.promotionService.unansweredCalls = 1
	h.blockProxyAccessTo(old)
	_, ok := h.runUntil(2*managedFailoverBound, func() bool { return h.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", h.group())
	assert.Assert(t, h.primary() != old)
}

// TestOldPrimaryIsAcceptedAgain accepts the old primary again when no other
// member answers.
func TestOldPrimaryIsAcceptedAgain(t *testing.T) {
	h := startManaged(t)
	old, before := h.primary(), h.group().Term
	for _, target := range h.targets {
		target.down = target != old
	}
	old.frozenUntil = h.clock().Add(1500 * time.Millisecond)
	_, ok := h.runUntil(2*managedFailoverBound, func() bool { return h.group().Term > before && h.serving(before+1) })
	assert.Assert(t, ok, "the group has no primary: %+v", h.group())
	assert.Assert(t, h.primary() == old)
}

// TestLeavingPrimaryWaitsForItsReplicas preserves the commits of a leaving
// primary whose replicas lag.
func TestLeavingPrimaryWaitsForItsReplicas(t *testing.T) {
	h := startManaged(t)
	old := h.primary()
	old.lag = 2 * time.Second
	old.write(7)
	old.leaving = true
	_, ok := h.runUntil(2*managedFailoverBound, func() bool { return h.group().Primary != old.name && h.serving(h.group().Term) })
	assert.Assert(t, ok, "the primary was not replaced: %+v", h.group())
	assert.Equal(t, h.primary().pos.Offset, uint64(7), "acknowledged commits were rolled back")
}

// TestReturnedPrimaryInvalidatesLateRequest accepts the old primary again after
// the answer to the request that was to replace it was lost. The request must
// not be executed later, while proxies hold leases and read from the old
// primary.
func TestReturnedPrimaryInvalidatesLateRequest(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"same leader": func(*harness) {},
		"next leader": func(h *harness) { h.elect("c2") },
	} {
		t.Run(name, func(t *testing.T) {
			h := startManaged(t)
			old := h.primary()
			h.promotionService.unansweredCalls, h.promotionService.executionDelay = 1, 8*time.Second
			old.down = true
			_, ok := h.runUntil(managedFailoverBound, func() bool { return len(h.promotionService.tokens) == 1 })
			assert.Assert(t, ok, "no promotion was requested")
			requestedAt := h.clock()
			for _, target := range h.targets {
				target.down = target != old
			}
			change(h)
			_, ok = h.runUntil(h.promotionService.executionDelay-time.Second, func() bool { return h.serving(h.group().Term) && h.primary() == old })
			assert.Assert(t, ok, "the old primary was not accepted again: %+v", h.group())
			for _, target := range h.targets {
				target.down = false
			}
			term := h.group().TargetTerm()
			h.Run(requestedAt.Add(h.promotionService.executionDelay + 2*time.Second).Sub(h.clock()))
			assert.Assert(t, old.primary, "the late request was executed")
			assert.Equal(t, h.group().TargetTerm(), term)
		})
	}
}

// TestUnavailablePromotionServiceWhenPrimaryReturns bounds how long it takes to
// accept a returned primary when the external promotion service does not answer
// the request to confirm it.
func TestUnavailablePromotionServiceWhenPrimaryReturns(t *testing.T) {
	h := startManaged(t)
	old, before := h.primary(), h.group().Term
	h.promotionService.unansweredCalls = 1000
	h.promotionService.executionDelay = time.Hour
	old.down = true
	_, ok := h.runUntil(managedFailoverBound, func() bool { return len(h.promotionService.tokens) == 1 })
	assert.Assert(t, ok, "no promotion was requested")
	old.down = false
	elapsed, ok := h.runUntil(2*managedFailoverBound, func() bool { return h.group().Term > before && h.serving(before+1) })
	assert.Assert(t, ok, "the group has no primary: %+v", h.group())
	t.Logf("accepted again after %v", elapsed)
	assert.Assert(t, h.primary() == old)
}

// TestPrimaryOfManyIdleProxiesIsReplaced covers 60 proxies without requests for a primary
// of one slot, so that each probes it every 15 s: what the first one finds is enough for
// the others to look.
func TestPrimaryOfManyIdleProxiesIsReplaced(t *testing.T) {
	h := startManagedFleet(t, 60, func(*harness) {})
	h.Run(20 * time.Second)
	old, before := h.primary(), h.group().Term
	old.down = true
	elapsed, ok := h.runUntil(managedFailoverBound, func() bool { return h.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", h.group())
	t.Logf("replaced after %v", elapsed)
	assert.Assert(t, h.primary() != old)
}

// TestPositionOfTheLeavingPrimaryIsAwaited guards against the promotion of a member with an
// empty log in place of a leaving primary, as if it had caught up with that one, while the
// position of the primary is not known.
func TestPositionOfTheLeavingPrimaryIsAwaited(t *testing.T) {
	h := startManaged(t)
	h.targets["t1"].deaf, h.targets["t3"].deaf = true, true
	h.targets["t2"].write(20)
	h.targets["t2"].leaving = true
	for id := range h.hosts {
		h.blocked[string(id)+">t2"] = true
	}
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.group().Phase == types.GroupFencing })
	assert.Assert(t, ok, "%+v", h.group())
	h.Run(2 * time.Second)
	assert.Equal(t, len(h.promotionService.tokens), 0, "target %s was promoted", h.promotionService.lastTarget)
}
