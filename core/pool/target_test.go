package pool

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// failingTarget returns a target whose last dials failed.
func failingTarget(failures int, now types.Instant) *Target {
	t := NewTarget(types.TargetRef{Service: "s", Name: "t"})
	t.Update("address", types.Share{Connections: 4, Slots: 2})
	for i := range failures {
		t.DialFailed(t.Dial(types.ConnID(i+1), ""), false, now)
	}
	return t
}

// dials returns how many connections to open for requests without an organisation.
func dials(t *Target, waiting int, serviceWaiting bool, now types.Instant) int {
	return len(t.PlanDials(Demand{Waiting: []Waiting{{Requests: waiting}}, ServiceWaiting: serviceWaiting}, now).Open)
}

// TestWaitingRequestsShortenTheDialBackoff covers a target that accepts connections
// again after it refused them for some seconds, because the connections of hosts that
// had lost power still counted against its limit.
func TestWaitingRequestsShortenTheDialBackoff(t *testing.T) {
	const failed = types.Instant(time.Second)
	target := failingTarget(12, failed)
	soon := failed.Add(maxDialBackoffWaiting)
	assert.Equal(t, dials(target, 1, true, soon-1), 0)
	assert.Equal(t, dials(target, 0, true, soon), 1, "a request of the service waits")
	assert.Equal(t, dials(target, 0, false, soon), 0, "nothing waits")
	assert.Equal(t, dials(target, 0, false, failed.Add(maxDialBackoff)), 1)
	assert.Equal(t, target.NextDialAt(true), soon)
	assert.Equal(t, target.NextDialAt(false), failed.Add(maxDialBackoff))
}

func TestFirstDialBackoffIsShort(t *testing.T) {
	const failed = types.Instant(time.Second)
	target := failingTarget(1, failed)
	assert.Equal(t, target.NextDialAt(true), failed.Add(minDialBackoff))
	target.Connected(target.Dial(9, ""), 0)
	assert.Equal(t, target.NextDialAt(true), types.Instant(0))
}

// TestSharedConnectionsAreClosedWhenIdle covers a burst that needs three connections,
// of which the proxy keeps one while idle.
func TestSharedConnectionsAreClosedWhenIdle(t *testing.T) {
	target := NewTarget(types.TargetRef{Service: "a", Name: "t1"})
	target.Update("10.0.0.1:1", types.Share{Connections: 40, Shared: 39, Slots: 2})
	assert.Equal(t, dials(target, 0, false, 0), 1)
	var used []*Conn
	for id := range types.ConnID(3) {
		target.Connected(target.Dial(id, ""), 0)
		used = append(used, target.Acquire(types.SessionID(id), "", nil))
	}
	released := types.Instant(time.Second)
	for _, c := range used {
		assert.Assert(t, target.Release(c, released))
	}
	assert.Equal(t, target.NextIdleClose(), released.Add(idleTimeout))
	assert.Equal(t, len(target.CloseIdle(released.Add(idleTimeout-1))), 0)
	assert.Equal(t, len(target.CloseIdle(released.Add(idleTimeout))), 2)
	assert.Equal(t, target.Open(), 1)
	unused := released.Add(keptIdleTimeout)
	assert.Equal(t, target.NextIdleClose(), unused)
	assert.Equal(t, len(target.CloseIdle(unused-1)), 0, "it closes what it keeps")
	assert.Equal(t, len(target.CloseIdle(unused)), 1, "the target would close it")
	assert.Equal(t, target.NextIdleClose(), types.Instant(0))
}

// TestUseOfTheKeptConnectionOpensNone covers a proxy that keeps one connection, and uses it
// time and again: it opens no second one that would be closed without use.
func TestUseOfTheKeptConnectionOpensNone(t *testing.T) {
	target := NewTarget(types.TargetRef{Service: "a", Name: "t1"})
	target.Update("10.0.0.1:1", types.Share{Connections: 40, Shared: 39, Slots: 2})
	target.Connected(target.Dial(1, ""), 0)
	c := target.Acquire(1, "", nil)
	assert.Equal(t, dials(target, 0, false, 0), 0)
	assert.Assert(t, target.Release(c, types.Instant(time.Second)))
	target.Update("10.0.0.1:1", types.Share{Connections: 40, Shared: 38, Slots: 2})
	target.Acquire(1, "", nil)
	assert.Equal(t, dials(target, 0, false, 0), 1, "it may keep two")
}

// TestRejectedConnectionsShortenTheIdleTimeout covers many proxies before a target with few
// connections, which each of them finds full.
func TestRejectedConnectionsShortenTheIdleTimeout(t *testing.T) {
	target := NewTarget(types.TargetRef{Service: "a", Name: "t1"})
	target.Update("10.0.0.1:1", types.Share{Connections: 40, Shared: 40, Slots: 2})
	assert.Equal(t, target.idleTimeout(), keptNoneIdleTimeout)
	for range 20 {
		target.DialFailed(target.Dial(1, ""), false, 0)
	}
	assert.Equal(t, target.idleTimeout(), keptNoneIdleTimeout, "these failed for another reason")
	for range 2 {
		target.DialFailed(target.Dial(1, ""), true, 0)
	}
	assert.Equal(t, target.idleTimeout(), keptNoneIdleTimeout/4)
	target.Connected(target.Dial(1, ""), 0)
	assert.Equal(t, target.idleTimeout(), keptNoneIdleTimeout/4+idleTimeoutStep)
	for range 20 {
		target.DialFailed(target.Dial(1, ""), true, 0)
	}
	assert.Equal(t, target.idleTimeout(), minIdleTimeout)
}
