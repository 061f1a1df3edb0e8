package promotion_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// confirmedBound is the time within which a primary has to be confirmed once the
// external promotion service answers: an open request times out, and the next one
// and the check of the primary follow.
const confirmedBound = 6 * time.Second

// confirmed reports whether every proxy that holds a lease takes its primary for
// confirmed.
func (h *harness) confirmed() bool {
	for _, p := range h.proxies {
		if g := p.view.Group(service); !h.serving(1) || g.Unconfirmed {
			return false
		}
	}
	return true
}

// replacedUnderLease returns the proxy that reads from a replaced primary without
// asking it, because it holds a lease and takes the primary for confirmed, or "".
func (h *harness) replacedUnderLease() types.HostID {
	for id, p := range h.proxies {
		g := p.view.Group(service)
		if g == nil || g.Phase != types.GroupServing || g.Unconfirmed || !p.view.LeaseLive(h.clock()) {
			continue
		}
		if !h.targets[g.Primary].primary {
			return id
		}
	}
	return ""
}

// primaryReturnsUnconfirmed has the primary crash and come back while the external
// promotion service answers nothing. It returns that primary once it serves again.
func (h *harness) primaryReturnsUnconfirmed() *fakeTarget {
	h.t.Helper()
	old, before := h.primary(), h.group().Term
	h.promotionService.unansweredCalls = 1000
	old.down = true
	_, ok := h.runUntil(managedFailoverBound, func() bool { return len(h.promotionService.tokens) == 1 })
	assert.Assert(h.t, ok, "no promotion was requested")
	old.down = false
	_, ok = h.runUntil(2*managedFailoverBound, func() bool { return h.group().Term > before && h.serving(before+1) })
	assert.Assert(h.t, ok, "the group has no primary: %+v", h.group())
	assert.Assert(h.t, h.primary() == old)
	return old
}

// TestLatePromotionOfAnotherMember guards against stale reads: a promotion request
// that is executed after the old primary serves again replaces it, while proxies
// hold leases.
func TestLatePromotionOfAnotherMember(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"after the primary serves again": 9 * time.Second,
		"seconds later":                  12 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			h := startManaged(t)
			h.promotionService.executionDelay = delay
			old := h.primaryReturnsUnconfirmed()
			replaced := false
			_, stale := h.runUntil(2*delay, func() bool {
				replaced = replaced || !old.primary
				return h.replacedUnderLease() != ""
			})
			assert.Assert(t, !stale, "proxy %s trusts its lease after target %s was replaced", h.replacedUnderLease(), old.name)
			assert.Assert(t, replaced, "the late request was not executed")
		})
	}
}

// TestReturnedPrimaryIsConfirmedLater guards against a returned primary that stays
// unconfirmed although the external promotion service answers again.
func TestReturnedPrimaryIsConfirmedLater(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"same leader": func(*harness) {},
		"next leader": func(h *harness) { h.elect("c2") },
	} {
		t.Run(name, func(t *testing.T) {
			h := startManaged(t)
			h.promotionService.executionDelay = time.Minute
			old := h.primaryReturnsUnconfirmed()
			assert.Assert(t, !h.confirmed())
			h.promotionService.unansweredCalls = 0
			change(h)
			elapsed, ok := h.runUntil(confirmedBound, h.confirmed)
			assert.Assert(t, ok, "the primary was not confirmed: %+v", h.group())
			t.Logf("confirmed after %v", elapsed)
			_, stale := h.runUntil(time.Minute, func() bool { return h.replacedUnderLease() != "" })
			assert.Assert(t, !stale, "proxy %s trusts its lease after target %s was replaced", h.replacedUnderLease(), old.name)
			assert.Assert(t, old.primary, "a late request was executed after the confirmation")
		})
	}
}

// TestPromotionTakesEffectAfterConfirmation guards against stale reads: a late
// request that is executed right before the confirmation still replaces the
// primary when the confirmation was answered.
func TestPromotionTakesEffectAfterConfirmation(t *testing.T) {
	h := startManaged(t)
	h.promotionService.executionDelay = time.Minute
	old := h.primaryReturnsUnconfirmed()
	chosen := h.replica()
	h.Schedule(promotionLatency, func() { h.promotionService.makePrimary(chosen) })
	h.promotionService.unansweredCalls = 0
	_, stale := h.runUntil(confirmedBound, func() bool { return h.replacedUnderLease() != "" })
	assert.Assert(t, !stale, "proxy %s trusts its lease after target %s was replaced", h.replacedUnderLease(), old.name)
	_, ok := h.runUntil(confirmedBound, h.confirmed)
	assert.Assert(t, ok, "the new primary was not confirmed: %+v", h.group())
}

// TestAnsweredPromotionOfANewLeaderIsConfirmed guards against a primary that stays
// unconfirmed because an earlier leader may have left a request, although the answer to
// a request of its own ruled that out.
func TestAnsweredPromotionOfANewLeaderIsConfirmed(t *testing.T) {
	h := startManaged(t)
	h.elect("c2")
	h.Run(time.Second)
	before := h.group().Term
	h.primary().down = true
	_, ok := h.runUntil(managedFailoverBound, func() bool { return h.serving(before + 1) })
	assert.Assert(t, ok, "no second primary: %+v", h.group())
	assert.Assert(t, h.confirmed())
}

// TestSecondMemberIsPromotedLate guards against stale reads: of two unanswered
// requests for different members the earlier one is executed last.
func TestSecondMemberIsPromotedLate(t *testing.T) {
	h := startManaged(t)
	h.promotionService.unansweredCalls, h.promotionService.executionDelay = 1000, time.Hour
	first := h.primary()
	first.down = true
	_, ok := h.runUntil(managedFailoverBound, func() bool { return len(h.promotionService.tokens) == 1 })
	assert.Assert(t, ok, "no promotion was requested")
	requested := h.promotionService.lastTarget
	h.targets[requested].down = true // the next attempt chooses the third member
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.promotionService.lastTarget != requested })
	assert.Assert(t, ok, "no promotion of the third member was requested")
	third := h.targets[h.promotionService.lastTarget]
	h.promotionService.makePrimary(third) // by a request that is not known to have been executed
	_, ok = h.runUntil(managedFailoverBound, func() bool { return h.serving(1) && h.primary() == third })
	assert.Assert(t, ok, "the third member does not serve: %+v", h.group())
	h.targets[requested].down = false
	h.promotionService.makePrimary(h.targets[requested])
	assert.Equal(t, h.replacedUnderLease(), types.HostID(""))
}
