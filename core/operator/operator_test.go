package operator_test

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/operator"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// permanentLeader is a lease.Leadership that never ends.
type permanentLeader struct{}

func (permanentLeader) LeadsUntil() types.Instant { return 1 << 62 }

// host is a control host whose proposals the test commits.
type host struct {
	state    *cluster.State
	handler  *operator.Handler
	proposed []proto.Command
	replies  map[uint64]proto.OperatorReply
	index    uint64
}

func newHost() *host {
	h := &host{state: cluster.New(), replies: map[uint64]proto.OperatorReply{}}
	h.handler = operator.New("c1", h.state, lease.NewTable("c1", h.state, permanentLeader{}))
	h.role(true, 1)
	return h
}

func (h *host) role(leading bool, term proto.ControlTerm) {
	e := event.RoleChanged{Leading: leading, Leader: "c1", Term: term}
	if !leading {
		e.Leader = "c2"
	}
	h.step(e)
}

func (h *host) step(ev event.Event) { h.stepAt(0, ev) }

func (h *host) stepAt(now types.Instant, ev event.Event) {
	h.state.Step(event.Input{Now: now, Event: ev})
	for _, eff := range h.handler.Step(event.Input{Now: now, Event: ev}) {
		switch e := eff.(type) {
		case effect.Propose:
			h.proposed = append(h.proposed, e.Command)
		case effect.ReplyOperator:
			h.replies[e.Call] = e.Reply
		}
	}
}

func (h *host) commit(c proto.Command) {
	h.index++
	h.step(event.Committed{Entry: proto.Entry{Index: h.index, Command: c}})
}

func (h *host) change(call uint64, id types.ChangeID, base uint64) {
	h.step(event.OperatorCalled{Call: call, Request: proto.OperatorRequest{Change: &proto.ChangeConfig{
		ID: id, Base: base, Source: string(id), Config: &types.Config{Services: map[types.ServiceName]types.Service{
			"a": {Name: "a", Members: 3},
		}},
	}}})
}

func TestChangeIsAnsweredOnceCommitted(t *testing.T) {
	h := newHost()
	h.change(1, "one", 0)
	assert.Equal(t, len(h.replies), 0, "the answer came before the commit")
	h.commit(h.proposed[0])
	assert.DeepEqual(t, *h.replies[1].Change, proto.ChangeResult{ID: "one", Accepted: true, Version: 1})
}

func TestOperatorsWithEqualNumbers(t *testing.T) {
	h := newHost()
	h.change(1, "one", 0)
	h.change(2, "two", 0)
	h.commit(h.proposed[0])
	h.commit(h.proposed[1])
	assert.Equal(t, h.replies[1].Err, proto.OpErrNone)
	assert.Equal(t, h.replies[2].Err, proto.OpErrConflict)
	assert.Equal(t, h.replies[2].Change.Version, uint64(1))
}

func TestResentChangeAfterALeaderChange(t *testing.T) {
	for _, committed := range []bool{true, false} {
		h := newHost()
		h.change(1, "one", 0)
		h.role(false, 2)
		assert.Equal(t, h.replies[1].Err, proto.OpErrUnknown)
		if committed {
			h.commit(h.proposed[0])
		}
		h.change(2, "one", 0)
		assert.Equal(t, h.replies[2].Err, proto.OpErrNotLeader)
		assert.Equal(t, h.replies[2].Leader, types.HostID("c2"))
		h.role(true, 3)
		h.change(3, "one", 0)
		if !committed {
			h.commit(h.proposed[1])
		}
		assert.Equal(t, h.replies[3].Change.Accepted, true)
		assert.Equal(t, h.state.Config().Version, uint64(1))
	}
}

func TestResentChangeAfterARestart(t *testing.T) {
	h := newHost()
	h.change(1, "one", 0)
	h.commit(h.proposed[0])
	h.change(2, "two", 1)
	h.commit(h.proposed[1])
	again := newHost()
	again.step(event.Restored{Snapshot: proto.Snapshot{Index: h.index, State: h.state.Snapshot()}})
	again.change(3, "one", 0)
	assert.DeepEqual(t, again.replies[3].Change, h.replies[1].Change)
	assert.Equal(t, len(again.proposed), 0)
}

func TestCallErrors(t *testing.T) {
	h := newHost()
	h.change(1, "one", 0)
	h.commit(h.proposed[0])
	cases := []struct {
		name string
		call proto.OperatorRequest
		want proto.OperatorError
	}{
		{"empty", proto.OperatorRequest{}, proto.OpErrRefused},
		{"change without id", proto.OperatorRequest{Change: &proto.ChangeConfig{Config: &types.Config{}}}, proto.OpErrRefused},
		{"drain of unknown target", proto.OperatorRequest{Drain: &proto.Drain{Ref: types.TargetRef{Service: "a", Name: "x"}}}, proto.OpErrNotFound},
		{"promote in unknown service", proto.OperatorRequest{Promote: &proto.Promote{Service: "x"}}, proto.OpErrNotFound},
		{"promote without primary", proto.OperatorRequest{Promote: &proto.Promote{Service: "a"}}, proto.OpErrRefused},
		{"remove unknown host", proto.OperatorRequest{RemoveHost: &proto.RemoveHost{Host: "x"}}, proto.OpErrNotFound},
		{"announce to unknown service", proto.OperatorRequest{Announce: &proto.Announcement{Service: "x"}}, proto.OpErrNotFound},
		{"announce", proto.OperatorRequest{Announce: &proto.Announcement{Service: "a"}}, proto.OpErrNone},
		{"status", proto.OperatorRequest{Status: &proto.StatusRequest{}}, proto.OpErrNone},
	}
	for i, c := range cases {
		call := uint64(100 + i)
		h.step(event.OperatorCalled{Call: call, Request: c.call})
		reply, ok := h.replies[call]
		assert.Assert(t, ok, c.name)
		assert.Equal(t, reply.Err, c.want, c.name)
	}
}

// TestLastVoterCannotBeRemoved checks that the removal of the only voter is
// refused at once, even if learners remain. Consensus would never accept that
// change, so the call would not end.
func TestLastVoterCannotBeRemoved(t *testing.T) {
	h := newHost()
	h.commit(proto.Command{Voters: &proto.SetVoters{Voters: []proto.Voter{
		{Host: "c1"}, {Host: "c2", Learner: true},
	}}})
	remove := proto.OperatorRequest{RemoveHost: &proto.RemoveHost{Host: "c1"}}
	h.step(event.OperatorCalled{Call: 1, Request: remove})
	assert.Equal(t, h.replies[1].Err, proto.OpErrRefused)
	assert.Equal(t, len(h.proposed), 0)
	remove.RemoveHost = &proto.RemoveHost{Host: "c2"}
	h.step(event.OperatorCalled{Call: 2, Request: remove})
	assert.Equal(t, len(h.proposed), 1)
	h.commit(h.proposed[0])
	assert.Equal(t, h.replies[2].Err, proto.OpErrNone)
}
