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
	// firstLogTerm is the term that the targets of the managed service count at
	// the start. It differs from control's.
	firstLogTerm = types.Term(7)
	// takesOver is how long the outside service takes to promote a member.
	takesOver = 300 * time.Millisecond
	// managedFailover is within which a failed primary has to be replaced, as
	// letter 1 states.
	managedFailover = 6 * time.Second
)

// outsideService promotes the members of a managed service.
type outsideService struct {
	world  *world
	tokens []types.Term  // of the calls that came, in their order
	late   time.Duration // until a call is carried out, without an answer
	lost   int           // so many calls are carried out late
}

// promote carries out a call, unless a higher token was seen by then.
func (o *outsideService) promote(p *process, e effect.CallTarget) {
	o.tokens = append(o.tokens, e.Operation.Term)
	token := e.Operation.Term
	if o.lost > 0 {
		o.lost--
		o.world.Schedule(o.late, func() { o.carryOut(token, e.Target.Name) })
		o.world.Schedule(e.Timeout, func() { o.answer(p, e, types.Result{}, errUnreachable) })
		return
	}
	kind := types.TargetErrNone
	if !o.carryOut(token, e.Target.Name) {
		kind = types.TargetErrStaleTerm
	}
	o.world.Schedule(2*hop, func() { o.answer(p, e, types.Result{Err: kind}, nil) })
}

func (o *outsideService) answer(p *process, e effect.CallTarget, r types.Result, err error) {
	p.step(event.TargetReplied{Call: e.Call, Err: err, Result: r})
}

func (o *outsideService) carryOut(token types.Term, name types.TargetName) bool {
	chosen := o.world.targets[name]
	for _, seen := range o.tokens {
		if token < seen {
			return false
		}
	}
	if chosen.down || chosen.primary {
		return chosen.primary
	}
	o.world.Schedule(takesOver, func() { o.lead(chosen) })
	return true
}

// lead makes a member the primary of the next term. The others follow it.
func (o *outsideService) lead(chosen *fakeTarget) {
	term := types.Term(0)
	for _, t := range o.world.targets {
		term = max(term, t.term)
	}
	for _, t := range o.world.targets {
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

// startedManaged returns a world whose group was taken over from the outside
// service.
func startedManaged(t *testing.T) *world {
	t.Helper()
	return startManaged(t, func(*world) {})
}

// startManaged lets prepare change the world before anything is configured.
func startManaged(t *testing.T, prepare func(w *world)) *world {
	t.Helper()
	w := emptyWorld(t)
	w.outside = &outsideService{world: w, late: 4 * time.Second}
	w.fill(3, 4, 3)
	prepare(w)
	for name, target := range w.targets {
		target.term, target.primary = firstLogTerm, name == "t2"
		if !target.primary {
			target.leader = "t2"
		}
	}
	w.change(1, map[types.ServiceName]types.Service{service: {Name: service, Connections: 20, Managed: true}})
	_, ok := w.run(5*time.Second, func() bool { return w.serving(1) && len(w.group().Members) == 3 })
	assert.Assert(t, ok, "no first primary: %+v", w.group())
	w.Run(3 * time.Second)
	return w
}

func TestPrimaryThatLeadsIsTakenOver(t *testing.T) {
	w := startedManaged(t)
	assert.Equal(t, w.group().Primary, types.TargetName("t2"))
	assert.Equal(t, w.group().TargetTerm(), firstLogTerm)
	assert.Equal(t, len(w.outside.tokens), 0, "a member that leads already was promoted")
}

// TestPrimaryThatAnnouncesItselfLast lets the replicas be known before the
// primary, which must not be replaced for that.
func TestPrimaryThatAnnouncesItselfLast(t *testing.T) {
	w := startManaged(t, func(w *world) {
		w.cut["t2"] = true
		w.Schedule(time.Second, func() { delete(w.cut, "t2") }) // announces itself at the next try
	})
	assert.Equal(t, w.group().Primary, types.TargetName("t2"))
	assert.Equal(t, len(w.outside.tokens), 0, "the primary was replaced before it was known")
}

// TestGroupWithoutAPrimaryAtTheStart promotes a member when none ever says that
// it leads.
func TestGroupWithoutAPrimaryAtTheStart(t *testing.T) {
	w := emptyWorld(t)
	w.outside = &outsideService{world: w}
	w.fill(3, 4, 3)
	w.targets["t2"].down = true
	for _, target := range w.targets {
		target.term = firstLogTerm
	}
	w.change(1, map[types.ServiceName]types.Service{service: {Name: service, Connections: 20, Managed: true}})
	_, ok := w.run(2*managedFailover, func() bool { return w.serving(1) })
	assert.Assert(t, ok, "nobody leads: %+v", w.group())
	assert.Equal(t, len(w.outside.tokens), 1)
}

func TestManagedFailover(t *testing.T) {
	for name, fail := range map[string]func(w *world, old *fakeTarget){
		"killed":               func(_ *world, old *fakeTarget) { old.down = true },
		"cut off from proxies": func(w *world, old *fakeTarget) { w.cutFromProxies(old) },
		"answers only probes":  func(w *world, old *fakeTarget) { w.silence(old.name, w.clock()) },
	} {
		t.Run(name, func(t *testing.T) {
			w := startedManaged(t)
			old, before := w.primary(), w.group().Term
			old.write(7)
			w.Run(20 * time.Millisecond)
			fail(w, old)
			gap, ok := w.run(managedFailover, func() bool { return w.serving(before + 1) })
			assert.Assert(t, ok, "no second primary: %+v", w.group())
			t.Logf("replaced after %v", gap)
			assert.Assert(t, w.primary() != old)
			assert.Equal(t, w.primary().pos.Offset, uint64(7))
			assert.Equal(t, w.group().TargetTerm(), firstLogTerm+1)
			assert.Equal(t, len(w.outside.tokens), 1, "one promotion is enough")
		})
	}
}

// silence has the shards of all proxies report that the primary answers no
// requests. It goes on answering probes.
func (w *world) silence(primary types.TargetName, since types.Instant) {
	for _, p := range w.proxies {
		p.silent = func() map[types.ServiceName]types.Instant {
			if g := w.group(); g == nil || g.Primary != primary {
				return nil
			}
			return map[types.ServiceName]types.Instant{service: since}
		}
		p.report()
	}
}

// cutFromProxies keeps the proxies from a target that control still reaches.
func (w *world) cutFromProxies(t *fakeTarget) {
	for id := range w.proxies {
		w.cut[string(id)+">"+string(t.name)] = true
	}
}

// TestPromotionCarriedOutLate loses the answer to the first call, which is
// carried out seconds later. No two attempts share a token, and the late call
// changes nothing.
func TestPromotionCarriedOutLate(t *testing.T) {
	w := startedManaged(t)
	w.outside.lost = 1
	before := w.group().Term
	w.primary().down = true
	_, ok := w.run(2*managedFailover, func() bool { return w.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", w.group())
	primary, term := w.group().Primary, w.group().TargetTerm()
	w.Run(w.outside.late)
	assert.Equal(t, w.group().Primary, primary)
	assert.Equal(t, w.group().TargetTerm(), term)
	for i := 1; i < len(w.outside.tokens); i++ {
		assert.Assert(t, w.outside.tokens[i] > w.outside.tokens[i-1], "tokens %v", w.outside.tokens)
	}
}

// TestTokensGrowAcrossLeaders changes the control leader while a promotion is
// under way.
func TestTokensGrowAcrossLeaders(t *testing.T) {
	w := startedManaged(t)
	w.outside.lost = 1
	before := w.group().Term
	w.primary().down = true
	_, ok := w.run(managedFailover, func() bool { return len(w.outside.tokens) == 1 })
	assert.Assert(t, ok, "no promotion was ordered")
	w.elect("c2")
	_, ok = w.run(managedFailover, func() bool { return w.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", w.group())
	assert.Equal(t, len(w.outside.tokens), 2)
	assert.Assert(t, w.outside.tokens[1] > w.outside.tokens[0], "tokens %v", w.outside.tokens)
}

func TestLeavingManagedPrimaryIsReplaced(t *testing.T) {
	w := startedManaged(t)
	old := w.primary()
	old.leaving = true
	_, ok := w.run(managedFailover, func() bool { return w.group().Primary != old.name && w.serving(w.group().Term) })
	assert.Assert(t, ok, "the primary stays: %+v", w.group())
	assert.Equal(t, old.primary, false)
}

// TestPrimaryReplacedByOthers lets the outside service promote a member that
// nobody asked it for.
func TestPrimaryReplacedByOthers(t *testing.T) {
	w := startedManaged(t)
	w.outside.lead(w.replica())
	_, ok := w.run(managedFailover, func() bool { return w.group().TargetTerm() == firstLogTerm+1 && w.serving(1) })
	assert.Assert(t, ok, "the new primary is not taken over: %+v", w.group())
	assert.Equal(t, len(w.outside.tokens), 0)
}

// TestFailedAttemptDoesNotReturnToTheOldPrimary loses the first call while
// control still reaches the primary that the proxies can't reach.
func TestFailedAttemptDoesNotReturnToTheOldPrimary(t *testing.T) {
	w := startedManaged(t)
	old, before := w.primary(), w.group().Term
	w.outside.lost = 1
	w.cutFromProxies(old)
	_, ok := w.run(2*managedFailover, func() bool { return w.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", w.group())
	assert.Assert(t, w.primary() != old)
}

// TestOnlyTheOldPrimaryIsLeft takes the primary back when nobody else answers.
func TestOnlyTheOldPrimaryIsLeft(t *testing.T) {
	w := startedManaged(t)
	old, before := w.primary(), w.group().Term
	for _, target := range w.targets {
		target.down = target != old
	}
	old.frozen = w.clock().Add(1500 * time.Millisecond)
	_, ok := w.run(2*managedFailover, func() bool { return w.group().Term > before && w.serving(before+1) })
	assert.Assert(t, ok, "nobody leads: %+v", w.group())
	assert.Assert(t, w.primary() == old)
}

// TestLeavingPrimaryWaitsForItsReplicas keeps the commits of a primary that
// leaves while its replicas are behind.
func TestLeavingPrimaryWaitsForItsReplicas(t *testing.T) {
	w := startedManaged(t)
	old := w.primary()
	old.lag = 2 * time.Second
	old.write(7)
	old.leaving = true
	_, ok := w.run(2*managedFailover, func() bool { return w.group().Primary != old.name && w.serving(w.group().Term) })
	assert.Assert(t, ok, "the primary stays: %+v", w.group())
	assert.Equal(t, w.primary().pos.Offset, uint64(7), "acknowledged commits were rolled back")
}

// TestReturnedPrimaryRulesOutALateOrder takes the old primary back after the
// answer to the order that was to replace it got lost. The order must not be
// carried out later, under the leases of proxies that read from the old primary.
func TestReturnedPrimaryRulesOutALateOrder(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"same leader": func(*world) {},
		"next leader": func(w *world) { w.elect("c2") },
	} {
		t.Run(name, func(t *testing.T) {
			w := startedManaged(t)
			old := w.primary()
			w.outside.lost, w.outside.late = 1, 8*time.Second
			old.down = true
			_, ok := w.run(managedFailover, func() bool { return len(w.outside.tokens) == 1 })
			assert.Assert(t, ok, "no promotion was ordered")
			ordered := w.clock()
			for _, target := range w.targets {
				target.down = target != old
			}
			change(w)
			_, ok = w.run(w.outside.late-time.Second, func() bool { return w.serving(w.group().Term) && w.primary() == old })
			assert.Assert(t, ok, "the old primary is not taken back: %+v", w.group())
			for _, target := range w.targets {
				target.down = false
			}
			term := w.group().TargetTerm()
			w.Run(ordered.Add(w.outside.late + 2*time.Second).Sub(w.clock()))
			assert.Assert(t, old.primary, "the late order was carried out")
			assert.Equal(t, w.group().TargetTerm(), term)
		})
	}
}

// TestOutsideServiceIsAwayWhenThePrimaryReturns bounds what the confirmation of
// a primary costs when nobody answers it.
func TestOutsideServiceIsAwayWhenThePrimaryReturns(t *testing.T) {
	w := startedManaged(t)
	old, before := w.primary(), w.group().Term
	w.outside.lost = 1000
	w.outside.late = time.Hour
	old.down = true
	_, ok := w.run(managedFailover, func() bool { return len(w.outside.tokens) == 1 })
	assert.Assert(t, ok, "no promotion was ordered")
	old.down = false
	gap, ok := w.run(2*managedFailover, func() bool { return w.group().Term > before && w.serving(before+1) })
	assert.Assert(t, ok, "nobody leads: %+v", w.group())
	t.Logf("taken back after %v", gap)
	assert.Assert(t, w.primary() == old)
}
