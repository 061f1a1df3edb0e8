// Package operator answers the calls of operators on a control host: it checks
// them against the replicated state, proposes commands, and replies once these
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

// Handler handles operator calls and keeps those that wait for a commit.
type Handler struct {
	self    types.HostID
	state   *cluster.State
	leases  *lease.Table
	role    role.Role
	waiting map[uint64]waiter
	reports map[types.TargetRef]receivedReport // while this host leads
	quotas  QuotaSource                        // nil without limits
}

// QuotaSource knows how much of the limits of organisations is in use.
type QuotaSource interface {
	Uses() []proto.OrganisationUse
}

// SetQuotas sets the source of the use of limits in the status.
func (h *Handler) SetQuotas(q QuotaSource) { h.quotas = q }

// waiter returns the reply to a pending call if the committed command c
// completes the call, and reports whether it does.
type waiter func(c proto.Command) (proto.OperatorReply, bool)

// New returns a handler with no pending calls.
func New(self types.HostID, state *cluster.State, leases *lease.Table) *Handler {
	return &Handler{
		self: self, state: state, leases: leases, waiting: make(map[uint64]waiter),
		reports: make(map[types.TargetRef]receivedReport),
	}
}

// Step handles one event.
func (h *Handler) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		return h.handleRoleChange(e)
	case event.LeaseRequested:
		if h.role.Leading {
			h.recordReports(in.Now, e.Request.Reports)
		}
	case event.OperatorCalled:
		return h.handleCall(in.Now, e.Call, e.Request)
	case event.Committed:
		return h.handleCommitted(e.Entry.Command)
	}
	return nil
}

// handleRoleChange ends the pending calls with an unknown outcome when this
// host stops leading: their commands may still be committed, or never.
func (h *Handler) handleRoleChange(e event.RoleChanged) []effect.Effect {
	wasLeading := h.role.Leading
	if !h.role.Update(e) {
		return nil
	}
	clear(h.reports)
	if !wasLeading {
		return nil
	}
	var out []effect.Effect
	for _, call := range slices.Sorted(maps.Keys(h.waiting)) {
		out = append(out, reply(call, proto.OperatorReply{
			Err: proto.OpErrUnknown, Leader: e.Leader,
			Reason: "this control host stopped leading before the command was committed",
		}))
	}
	clear(h.waiting)
	return out
}

func (h *Handler) handleCall(now types.Instant, call uint64, r proto.OperatorRequest) []effect.Effect {
	if r.Status != nil {
		return respond(call, proto.OperatorReply{
			Leader: h.role.Leader, LeaderAddress: h.leaderAddress(), Status: h.status(now),
		})
	}
	if !h.role.Leading {
		return respond(call, proto.OperatorReply{
			Err: proto.OpErrNotLeader, Leader: h.role.Leader, LeaderAddress: h.leaderAddress(),
			Reason: "this control host does not lead",
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
	return respond(call, proto.OperatorReply{Err: proto.OpErrRefused, Reason: "the request contains no operation"})
}

// leaderAddress returns the address at which the leader listens for other
// processes, or "" if it is unknown.
func (h *Handler) leaderAddress() types.Address {
	for _, v := range h.state.Voters() {
		if v.Host == h.role.Leader {
			return v.Address
		}
	}
	return ""
}

// proposeAndWait proposes a command and keeps the call until w completes it.
func (h *Handler) proposeAndWait(call uint64, c proto.Command, w waiter) []effect.Effect {
	h.waiting[call] = w
	return []effect.Effect{effect.Propose{Command: c}}
}

// handleCommitted replies to the pending calls that a command completes.
func (h *Handler) handleCommitted(c proto.Command) []effect.Effect {
	var out []effect.Effect
	for _, call := range slices.Sorted(maps.Keys(h.waiting)) {
		if answer, ok := h.waiting[call](c); ok {
			delete(h.waiting, call)
			out = append(out, reply(call, answer))
		}
	}
	return out
}

// announce acknowledges an announcement, which package membership handles.
func (h *Handler) announce(call uint64, a proto.Announcement) []effect.Effect {
	if h.state.Group(a.Service) == nil && !a.Terminated {
		return respond(call, proto.OperatorReply{Err: proto.OpErrNotFound, Reason: "no such service"})
	}
	return respond(call, proto.OperatorReply{Leader: h.role.Leader})
}

// status describes this host, the replicated state and, for each target, the
// proxies' report with the latest contact.
func (h *Handler) status(now types.Instant) *proto.Status {
	st := &proto.Status{
		Host: h.self, Leader: h.role.Leader, Authoritative: h.leases.ConfirmedLeader(), Term: h.role.Term,
		Commit: h.state.Applied(), Applied: h.state.Applied(), ConfigSince: h.state.ConfigSince(),
		Voters: h.state.Voters(), State: h.state.Snapshot(), Proxies: h.leases.Status(),
	}
	if h.quotas != nil {
		st.Organisations = h.quotas.Uses()
	}
	st.Targets = h.targetReports(now, st.State.Groups)
	return st
}

// reply returns the effect that answers a call.
func reply(call uint64, r proto.OperatorReply) effect.Effect {
	return effect.ReplyOperator{Call: call, Reply: r}
}

// respond answers a call at once.
func respond(call uint64, r proto.OperatorReply) []effect.Effect {
	return []effect.Effect{reply(call, r)}
}
