// Package operator answers the calls of operators on a control host: it checks
// them against the replicated state, proposes commands and replies once they
// are committed.
package operator

import (
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/lease"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Handler holds the calls that wait for their commands to be committed.
type Handler struct {
	self    types.HostID
	state   *cluster.State
	leases  *lease.Table
	role    role.Role
	waiting map[uint64]waiter
}

// waiter is a call that waits. It looks at a committed command and answers if
// that settled the call.
type waiter func(c proto.Command) (proto.OperatorReply, bool)

// New returns a handler without calls.
func New(self types.HostID, state *cluster.State, leases *lease.Table) *Handler {
	return &Handler{self: self, state: state, leases: leases, waiting: make(map[uint64]waiter)}
}

// Step takes in one event.
func (h *Handler) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		return h.changeRole(e)
	case event.OperatorCalled:
		return h.call(in.Now, e.Call, e.Request)
	case event.Committed:
		return h.committed(e.Entry.Command)
	}
	return nil
}

// changeRole gives up the calls under way when this host stops leading: their
// commands may be committed yet, or never.
func (h *Handler) changeRole(e event.RoleChanged) []effect.Effect {
	led := h.role.Leading
	if !h.role.Update(e) || !led {
		return nil
	}
	var out []effect.Effect
	for _, call := range slices.Sorted(maps.Keys(h.waiting)) {
		out = append(out, reply(call, proto.OperatorReply{
			Err: proto.OpErrUnknown, Leader: e.Leader,
			Reason: "this host stopped leading before the call was committed",
		}))
	}
	clear(h.waiting)
	return out
}

func (h *Handler) call(now types.Instant, call uint64, r proto.OperatorRequest) []effect.Effect {
	if r.Status != nil {
		return done(call, proto.OperatorReply{
			Leader: h.role.Leader, LeaderAddress: h.leaderAddress(), Status: h.status(now),
		})
	}
	if !h.role.Leading {
		return done(call, proto.OperatorReply{
			Err: proto.OpErrNotLeader, Leader: h.role.Leader, LeaderAddress: h.leaderAddress(),
			Reason: "this host does not lead",
		})
	}
	switch {
	case r.Change != nil:
		return h.change(call, *r.Change)
	case r.Drain != nil:
		return h.drain(call, *r.Drain)
	case r.Promote != nil:
		return h.promote(call, *r.Promote)
	case r.RemoveHost != nil:
		return h.removeHost(call, *r.RemoveHost)
	case r.Announce != nil:
		return h.announce(call, *r.Announce)
	}
	return done(call, proto.OperatorReply{Err: proto.OpErrRefused, Reason: "the request is empty"})
}

// leaderAddress returns where the leader listens for other processes, or "".
func (h *Handler) leaderAddress() types.Address {
	for _, v := range h.state.Voters() {
		if v.Host == h.role.Leader {
			return v.Address
		}
	}
	return ""
}

// await proposes a command and keeps the call until w answers it.
func (h *Handler) await(call uint64, c proto.Command, w waiter) []effect.Effect {
	h.waiting[call] = w
	return []effect.Effect{effect.Propose{Command: c}}
}

func (h *Handler) committed(c proto.Command) []effect.Effect {
	var out []effect.Effect
	for _, call := range slices.Sorted(maps.Keys(h.waiting)) {
		if answer, ok := h.waiting[call](c); ok {
			delete(h.waiting, call)
			out = append(out, reply(call, answer))
		}
	}
	return out
}

func (h *Handler) announce(call uint64, a proto.Announcement) []effect.Effect {
	if h.state.Group(a.Service) == nil && !a.Gone {
		return done(call, proto.OperatorReply{Err: proto.OpErrNotFound, Reason: "no such service"})
	}
	return done(call, proto.OperatorReply{Leader: h.role.Leader})
}

func (h *Handler) status(now types.Instant) *proto.Status {
	st := &proto.Status{
		Host: h.self, Leader: h.role.Leader, Surely: h.leases.SurelyLeads(), Term: h.role.Term,
		Commit: h.state.Applied(), Applied: h.state.Applied(), ConfigSince: h.state.ConfigSince(),
		Voters: h.state.Voters(), State: h.state.Snapshot(), Proxies: h.leases.Status(),
	}
	latest := make(map[types.TargetRef]proto.TargetReport)
	for _, r := range h.leases.Requests(now) {
		for _, report := range r.Reports {
			old, ok := latest[report.Ref]
			if !ok || report.HeardAgo < old.HeardAgo {
				latest[report.Ref] = report
			}
		}
	}
	for _, s := range st.State.Groups {
		for _, t := range s.Members {
			if report, ok := latest[types.TargetRef{Service: s.Service, Name: t.Name}]; ok {
				st.Targets = append(st.Targets, report)
			}
		}
	}
	return st
}

func reply(call uint64, r proto.OperatorReply) effect.Effect {
	return effect.ReplyOperator{Call: call, Reply: r}
}

func done(call uint64, r proto.OperatorReply) []effect.Effect {
	return []effect.Effect{reply(call, r)}
}
