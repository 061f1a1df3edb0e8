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

// tracked is a tracker whose proposals are committed at once.
type tracked struct {
	state   *cluster.State
	tracker *membership.Tracker
	now     types.Instant
	index   uint64
}

func newTracked() *tracked {
	state := cluster.New()
	k := &tracked{state: state, tracker: membership.New(state), now: types.Instant(time.Minute)}
	k.commit(proto.Command{Change: &proto.ChangeConfig{ID: "1", Config: &types.Config{
		Services: map[types.ServiceName]types.Service{"s": {Name: "s", Managed: true}},
	}}})
	k.step(event.RoleChanged{Leading: true, Leader: "c1", Term: 1})
	return k
}

func (k *tracked) commit(c proto.Command) {
	k.index++
	k.step(event.Committed{Entry: proto.Entry{Index: k.index, Command: c}})
}

func (k *tracked) step(ev event.Event) {
	in := event.Input{Now: k.now, Event: ev}
	k.state.Step(in)
	for _, eff := range k.tracker.Step(in) {
		if p, ok := eff.(effect.Propose); ok {
			k.commit(p.Command)
		}
	}
}

func (k *tracked) hear(a proto.Announcement) {
	a.Service = "s"
	k.step(event.OperatorCalled{Request: proto.OperatorRequest{Announce: &a}})
}

// pass lets time go on, with a look at who is silent.
func (k *tracked) pass(d time.Duration) {
	k.now = k.now.Add(d)
	k.step(event.TimerFired{ID: event.TimerID{Domain: event.DomainMembership}})
}

func (k *tracked) members() map[types.TargetName]types.Target {
	out := make(map[types.TargetName]types.Target)
	for _, m := range k.state.Group("s").Members {
		out[m.Name] = m
	}
	return out
}

func TestManagedMembersJoinAndLeave(t *testing.T) {
	k := newTracked()
	for _, name := range []types.TargetName{"a", "b", "c", "d"} {
		k.hear(proto.Announcement{Name: name, Address: types.Address(name), Slots: 3, Born: 1, Seq: 1})
	}
	assert.Equal(t, len(k.members()), 4, "a managed group has no fixed size")
	assert.Equal(t, k.members()["a"].Slots, 3)
	k.hear(proto.Announcement{Name: "a", Address: "a", Leaving: true, Born: 1, Seq: 2})
	assert.Equal(t, k.members()["a"].State, types.TargetLeaving)
	k.hear(proto.Announcement{Name: "a", Gone: true, Leaving: true})
	_, still := k.members()["a"]
	assert.Assert(t, !still)
}

// TestLateAnnouncementsAreIgnored delivers what a partition held up.
func TestLateAnnouncementsAreIgnored(t *testing.T) {
	k := newTracked()
	k.hear(proto.Announcement{Name: "a", Address: "old", Leaving: true, Born: 1, Seq: 9})
	k.hear(proto.Announcement{Name: "a", Address: "new", Born: 2, Seq: 1})
	k.hear(proto.Announcement{Name: "a", Address: "old", Leaving: true, Born: 1, Seq: 10})
	k.hear(proto.Announcement{Name: "a", Address: "older", Born: 2, Seq: 0})
	assert.Equal(t, k.members()["a"].Address, types.Address("new"))
	assert.Equal(t, k.members()["a"].State, types.TargetActive)
}

// TestNewProcessTakesTheAddress starts a member under another name where an
// earlier one was. What the earlier one sent before comes late.
func TestNewProcessTakesTheAddress(t *testing.T) {
	k := newTracked()
	k.hear(proto.Announcement{Name: "a", Address: "x", Born: 1, Seq: 5})
	k.hear(proto.Announcement{Name: "b", Address: "x", Born: 2, Seq: 1})
	k.hear(proto.Announcement{Name: "b", Address: "x", Born: 2, Seq: 2})
	k.hear(proto.Announcement{Name: "a", Address: "x", Born: 1, Seq: 6})
	members := k.members()
	_, old := members["a"]
	assert.Assert(t, !old, "%v", members)
	assert.Equal(t, members["b"].Address, types.Address("x"))
}

func TestSilentManagedMemberIsForgotten(t *testing.T) {
	k := newTracked()
	k.hear(proto.Announcement{Name: "a", Address: "x", Born: 1, Seq: 1})
	k.pass(4 * time.Second)
	assert.Equal(t, k.members()["a"].State, types.TargetSilent)
	k.pass(20 * time.Second)
	assert.Equal(t, len(k.members()), 0)
}
