package membership_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/membership"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// harness runs a tracker whose proposals are committed at once.
type harness struct {
	state   *cluster.State
	tracker *membership.Tracker
	now     types.Instant
	index   uint64
}

func newHarness() *harness {
	state := cluster.New()
	h := &harness{state: state, tracker: membership.New(state), now: types.Instant(time.Minute)}
	h.commit(proto.Command{Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{
		Services: map[types.ServiceName]types.Service{"s": {Name: "s", Managed: true}},
	}}})
	h.step(event.RoleChanged{Leading: true, Leader: "c1", Term: 1})
	return h
}

func (h *harness) commit(c proto.Command) {
	h.index++
	h.step(event.Committed{Entry: proto.Entry{Index: h.index, Command: c}})
}

func (h *harness) step(ev event.Event) {
	in := event.Input{Now: h.now, Event: ev}
	h.state.Step(in)
	for _, eff := range h.tracker.Step(in) {
		if p, ok := eff.(effect.Propose); ok {
			h.commit(p.Command)
		}
	}
}

func (h *harness) announce(a proto.Announcement) {
	a.Service = "s"
	h.step(event.OperatorCalled{Request: proto.OperatorRequest{Announce: &a}})
}

// advance moves the time on and fires the sweep timer once.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(event.TimerFired{ID: event.TimerID{Domain: event.DomainMembership}})
}

func (h *harness) members() map[types.TargetName]types.Target {
	out := make(map[types.TargetName]types.Target)
	for _, m := range h.state.Group("s").Members {
		out[m.Name] = m
	}
	return out
}

func TestManagedMembersJoinAndLeave(t *testing.T) {
	h := newHarness()
	for _, name := range []types.TargetName{"a", "b", "c", "d"} {
		h.announce(proto.Announcement{Name: name, Address: types.Address(name), Slots: 3, StartedAt: 1, Seq: 1})
	}
	assert.Equal(t, len(h.members()), 4, "a managed group has no fixed size")
	assert.Equal(t, h.members()["a"].Slots, 3)
	h.announce(proto.Announcement{Name: "a", Address: "a", Leaving: true, StartedAt: 1, Seq: 2})
	assert.Equal(t, h.members()["a"].State, types.TargetLeaving)
	h.announce(proto.Announcement{Name: "a", Terminated: true, Leaving: true})
	_, still := h.members()["a"]
	assert.Assert(t, !still)
}

// TestLateAnnouncementsAreIgnored delivers announcements that a partition
// delayed. Neither those of an earlier process nor earlier ones of the same
// process may change the member.
func TestLateAnnouncementsAreIgnored(t *testing.T) {
	h := newHarness()
	h.announce(proto.Announcement{Name: "a", Address: "old", Leaving: true, StartedAt: 1, Seq: 9})
	h.announce(proto.Announcement{Name: "a", Address: "new", StartedAt: 2, Seq: 1})
	h.announce(proto.Announcement{Name: "a", Address: "old", Leaving: true, StartedAt: 1, Seq: 10})
	h.announce(proto.Announcement{Name: "a", Address: "older", StartedAt: 2, Seq: 0})
	assert.Equal(t, h.members()["a"].Address, types.Address("new"))
	assert.Equal(t, h.members()["a"].State, types.TargetActive)
}

// TestNewProcessAtTheSameAddress starts a member under another name at the
// address of an earlier one, whose last announcement arrives late.
func TestNewProcessAtTheSameAddress(t *testing.T) {
	h := newHarness()
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: 5})
	h.announce(proto.Announcement{Name: "b", Address: "x", StartedAt: 2, Seq: 1})
	h.announce(proto.Announcement{Name: "b", Address: "x", StartedAt: 2, Seq: 2})
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: 6})
	members := h.members()
	_, old := members["a"]
	assert.Assert(t, !old, "%v", members)
	assert.Equal(t, members["b"].Address, types.Address("x"))
}

func TestSilentManagedMemberIsRemoved(t *testing.T) {
	h := newHarness()
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: 1})
	h.advance(4 * time.Second)
	assert.Equal(t, h.members()["a"].State, types.TargetSilent)
	h.advance(20 * time.Second)
	assert.Equal(t, len(h.members()), 0)
}

// TestOddNumbersDoNotShutATargetOut covers another writer's announcement under the name
// of a living target, with numbers that the target will never reach.
func TestOddNumbersDoNotShutATargetOut(t *testing.T) {
	for _, odd := range []proto.Announcement{
		{Name: "a", Address: "odd", StartedAt: 1, Seq: 1 << 53},
		{Name: "a", Address: "odd", StartedAt: 1 << 40, Seq: 1},
		{Name: "b", Address: "x", StartedAt: 1 << 40, Seq: 1},
	} {
		h := newHarness()
		beat := func(seq uint64) { h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: seq}) }
		beat(1)
		h.announce(odd)
		for seq := uint64(2); seq < 6; seq++ {
			for range 4 {
				h.advance(300 * time.Millisecond)
			}
			beat(seq)
		}
		assert.Equal(t, h.members()["a"].Address, types.Address("x"), "after %+v", odd)
		assert.Equal(t, h.members()["a"].State, types.TargetActive, "after %+v", odd)
	}
}

// TestTargetWithWrongNumbersStaysActive covers the time until the target's own
// announcements count again.
func TestTargetWithWrongNumbersStaysActive(t *testing.T) {
	h := newHarness()
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: 1})
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: 1 << 53})
	for seq := uint64(2); seq < 12; seq++ {
		for range 4 {
			h.advance(300 * time.Millisecond)
			assert.Equal(t, h.members()["a"].State, types.TargetActive, "before announcement %d", seq)
		}
		h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: seq})
	}
}

// TestOneLateAnnouncementOfAnEarlierProcess covers a target that has restarted and died:
// what a partition held back of its earlier process does not make it active again.
func TestOneLateAnnouncementOfAnEarlierProcess(t *testing.T) {
	h := newHarness()
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 2, Seq: 1})
	h.advance(4 * time.Second)
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: 7})
	assert.Equal(t, h.members()["a"].State, types.TargetSilent)
}

// TestEndedTargetDoesNotComeBack delivers an announcement that was held back until after
// the target said that it has ended. A new process under the same name does join.
func TestEndedTargetDoesNotComeBack(t *testing.T) {
	h := newHarness()
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: 5})
	h.announce(proto.Announcement{Name: "a", Terminated: true, Leaving: true})
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 1, Seq: 4})
	assert.Equal(t, len(h.members()), 0)
	h.announce(proto.Announcement{Name: "a", Address: "x", StartedAt: 2, Seq: 1})
	assert.Equal(t, len(h.members()), 1)
}
