package promotion_test

import (
	"strings"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/coretest"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// roomOfTarget is how many connections the targets of a group before a large fleet accept.
const roomOfTarget = 46

// fleetWithoutPrimary returns a harness of a managed service whose targets accept room
// connections each and none of which is primary.
func fleetWithoutPrimary(t *testing.T, proxies, room int) *harness {
	t.Helper()
	h := emptyHarness(t)
	h.promotionService = &promotionService{harness: h, executionDelay: 4 * time.Second}
	h.addProcesses(3, proxies, 3)
	for _, target := range h.targets {
		target.term, target.room = firstLogTerm, room
	}
	h.change(1, map[types.ServiceName]types.Service{service: {Name: service, Connections: room, Slots: 4, Managed: true}})
	return h
}

// TestFleetLargerThanTheConnections covers a group that gets its first primary while far
// more proxies than its targets accept connections look for one.
func TestFleetLargerThanTheConnections(t *testing.T) {
	for _, proxies := range []int{4, 90, 300} {
		h := fleetWithoutPrimary(t, proxies, roomOfTarget)
		_, ok := h.runUntil(12*time.Second, func() bool { return h.serving(1) })
		assert.Assert(t, ok, "%d proxies: no first primary: %+v", proxies, h.group())
	}
}

// TestFleetLooksForAFailedPrimary covers a fleet before a primary that is killed: as soon as
// before, and without taking the connections that control needs.
func TestFleetLooksForAFailedPrimary(t *testing.T) {
	for _, proxies := range []int{4, 40, 90, 300} {
		h := fleetWithoutPrimary(t, proxies, roomOfTarget)
		_, ok := h.runUntil(12*time.Second, func() bool { return h.serving(1) })
		assert.Assert(t, ok, "%d proxies: no first primary: %+v", proxies, h.group())
		h.Run(5 * time.Second)
		for _, target := range h.targets {
			target.rejected = 0
		}
		old, before := h.primary(), h.group().Term
		old.down = true
		for _, p := range h.proxies {
			p.suspects = []types.ServiceName{service}
			p.report()
		}
		elapsed, ok := h.runUntil(managedFailoverBound, func() bool { return h.serving(before + 1) })
		assert.Assert(t, ok, "%d proxies: no second primary: %+v", proxies, h.group())
		assert.Assert(t, elapsed < 2*time.Second, "%d proxies: replaced after %v", proxies, elapsed)
		for name, target := range h.targets {
			assert.Equal(t, target.rejected, 0, "%d proxies: connections that target %s rejected", proxies, name)
		}
		t.Logf("%d proxies: replaced after %v", proxies, elapsed)
	}
}

// TestAttemptSaysWhatItWaitsFor covers targets whose connections others hold for good.
func TestAttemptSaysWhatItWaitsFor(t *testing.T) {
	h := fleetWithoutPrimary(t, 4, roomOfTarget)
	for _, target := range h.targets {
		target.room = 1
		target.connections = map[string]types.Instant{"other": h.clock().Add(time.Hour)}
	}
	var reasons []string
	h.Effect = func(host *coretest.Host, eff effect.Effect) {
		if d, ok := eff.(effect.Decide); ok && d.Kind == effect.DecidePromotionWaits {
			reasons = append(reasons, d.Reason)
		}
		h.process(host.ID).execute(eff)
	}
	h.Run(10 * time.Second)
	assert.Assert(t, len(reasons) >= 6 && len(reasons) <= 10, "%d lines in 10 s: %q", len(reasons), reasons)
	assert.Assert(t, strings.Contains(reasons[len(reasons)-1], "t1 ("+errTargetFull.Error()+")"), "%q", reasons)
}

// TestGroupOfAServiceThatWasConfiguredBefore removes a service and configures it again
// while a proxy that is cut off acts on the earlier group: the first primary of the new
// group is chosen once the proxy's lease has ended.
func TestGroupOfAServiceThatWasConfiguredBefore(t *testing.T) {
	h := startServing(t)
	lost := h.proxies["p1"]
	h.blocked["p1"] = true
	h.change(2, map[types.ServiceName]types.Service{})
	h.change(3, map[types.ServiceName]types.Service{service: {Name: service, Members: 3, Slots: 3, Connections: 20}})
	for name, target := range h.targets {
		target.term = 0
		h.call(10, h.leader, proto.OperatorRequest{Announce: &proto.Announcement{
			Service: service, Name: name, Address: types.Address(name),
		}})
	}
	assert.Assert(t, lost.view.LeaseLive(h.clock()))
	_, ok := h.runUntil(5*time.Second, func() bool { return h.group().Phase == types.GroupServing })
	assert.Assert(t, ok, "the new group has no primary: %+v", h.group())
	assert.Assert(t, !lost.view.LeaseLive(h.clock()), "a proxy with a lease still acts on the earlier group")
}
