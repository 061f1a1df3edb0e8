package admission

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

var (
	high = Class{Profile: "high", Priority: 0, Weight: 1}
	low  = Class{Profile: "low", Priority: 1, Weight: 1}
)

const ms = types.Instant(time.Millisecond)

// TestPriorityOrderDoesNotStarve covers two profiles that both wait all the time: the
// higher priority gets all but the guaranteed part of the work.
func TestPriorityOrderDoesNotStarve(t *testing.T) {
	q := Queue[string]{Order: OrderPriority}
	for range 2000 {
		q.Push(low, "", 3, "low")
		q.Push(high, "", 1, "high")
	}
	work := make(map[string]float64)
	for range 1000 {
		e, _ := q.Next(always[string])
		q.Take(e)
		work[e.Value] += e.cost
	}
	part := work["low"] / (work["low"] + work["high"])
	assert.Assert(t, part > 0.8*guaranteedPart && part < 1.2*guaranteedPart, "the lower priority got %.3f of the work", part)
}

// TestOrganisationsShareFairly covers an organisation that has sent seven times as much as
// another one: while both wait, each gets half.
func TestOrganisationsShareFairly(t *testing.T) {
	for _, order := range []Order{OrderWeighted, OrderPriority} {
		q := Queue[types.OrganisationName]{Order: order}
		for range 70 {
			q.Push(high, "large", 1, "large")
		}
		for range 10 {
			q.Push(high, "small", 1, "small")
		}
		served := make(map[types.OrganisationName]int)
		for range 20 {
			v, _ := q.Pop()
			served[v]++
		}
		assert.Assert(t, served["small"] >= 9, "%v", served)
	}
}

// TestAheadOfSmallOrganisation covers the estimate by which requests are refused: the queue
// of a large organisation does not count for a small one.
func TestAheadOfSmallOrganisation(t *testing.T) {
	q := Queue[int]{Order: OrderPriority}
	for range 100 {
		q.Push(high, "large", 1, 0)
		q.Push(low, "large", 1, 0)
	}
	q.Push(high, "small", 1, 0)
	assert.Equal(t, q.Ahead(high, "small"), 3)
	assert.Equal(t, q.Ahead(high, "large"), 101)
	assert.Equal(t, q.Waiting("large"), 200)
}

// TestQueuePassesOverBlockedOrganisation covers connections that serve one organisation
// each: the first request lacks one, and another behind it has one.
func TestQueuePassesOverBlockedOrganisation(t *testing.T) {
	var q Queue[types.OrganisationName]
	q.Push(high, "blocked", 1, "blocked")
	q.Push(high, "other", 1, "other")
	e, ok := q.Next(func(o types.OrganisationName) bool { return o != "blocked" })
	assert.Assert(t, ok && e.Value == "other")
	q.Take(e)
	_, ok = q.Next(func(o types.OrganisationName) bool { return o != "blocked" })
	assert.Assert(t, !ok && q.Len() == 1)
}

// TestReturnDoesNotOvertake covers a refused request that comes back while others of its
// class wait.
func TestReturnDoesNotOvertake(t *testing.T) {
	q := Queue[int]{Order: OrderPriority}
	for i := range 3 {
		q.Push(high, "", 1, i)
	}
	refused := q.Expire(func(i int) bool { return i == 0 })
	assert.DeepEqual(t, refused, []int{0})
	q.Push(high, "", 1, 0)
	assert.DeepEqual(t, q.Drain(), []int{1, 2, 0})
}

// TestReturnsAreSpread refuses more callers at once than the targets serve within the limit.
func TestReturnsAreSpread(t *testing.T) {
	const perSecond, limit = 100, 250 * time.Millisecond
	var r Returns
	at := make(map[time.Duration]int)
	for range 200 {
		after := r.After(ms, perSecond, limit)
		assert.Assert(t, after > 0 && after <= limit, "after %s", after)
		at[after/(10*time.Millisecond)]++
	}
	for slot, n := range at {
		assert.Assert(t, n <= 200/25+1, "%d come back within 10 ms after %s", n, slot*10*time.Millisecond)
	}
}

// TestLevelsOfProxiesBecomeEqual covers proxies whose levels differ when a target becomes
// overloaded: its queue follows the sum of what they admit.
func TestLevelsOfProxiesBecomeEqual(t *testing.T) {
	const classes, tolerated = 3, 16 * time.Millisecond
	levels := []Level{{}, {refused: 1}, {refused: 2}}
	for i := range 600 {
		var admitted float64
		for _, l := range levels {
			admitted += classes - l.refused
		}
		delay := time.Duration(max(0, admitted-5) * float64(2*tolerated)) // the target carries 5 of 9 classes
		for j := range levels {
			levels[j].Observe(types.Instant(i)*50*ms, delay, tolerated, classes)
		}
	}
	for _, l := range levels {
		assert.Assert(t, l.refused > 1 && l.refused < 1.6, "refused %.2f classes", l.refused)
		assert.Equal(t, l.Probability(0, classes), 1.0)
		assert.Equal(t, l.Probability(2, classes), guaranteedPart)
	}
}

// TestSlowTargetIsNotOverload covers a target that has become slow by itself: after a while
// all priorities are admitted again.
func TestSlowTargetIsNotOverload(t *testing.T) {
	const classes, tolerated, delay = 2, 16 * time.Millisecond, 100 * time.Millisecond
	var l Level
	lowest := 1.0
	for i := range 200 {
		l.Observe(types.Instant(i)*50*ms, delay, tolerated, classes)
		lowest = min(lowest, l.Probability(1, classes))
	}
	assert.Equal(t, lowest, guaranteedPart)
	assert.Equal(t, l.Probability(1, classes), 1.0)
}

// TestEmptyQueueHasNothingToVisit covers a queue whose requests have all been served.
func TestEmptyQueueHasNothingToVisit(t *testing.T) {
	var q Queue[int]
	q.Push(high, "a", 1, 0)
	q.Pop()
	q.VisitFlows(func(types.OrganisationName, int, int) { t.Fatal("visited") })
	_, ok := q.Next(always[int])
	assert.Assert(t, !ok)
}
