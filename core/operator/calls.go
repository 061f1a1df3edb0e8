package operator

import (
	"fmt"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// change replicates a change of the configuration. A change that was committed
// before is answered at once.
func (h *Handler) change(call uint64, c proto.ChangeConfig) []effect.Effect {
	if c.Config == nil || c.ID == "" && c.Number == 0 {
		return respond(call, proto.OperatorReply{
			Err: proto.OpErrRefused, Reason: "the change has no configuration, or neither an id nor a number",
		})
	}
	if result, ok := h.state.Answer(c); ok {
		return respond(call, changeReply(result))
	}
	return h.proposeAndWait(call, proto.Command{Change: &c}, func(committed proto.Command) (proto.OperatorReply, bool) {
		if committed.Change == nil || committed.Change.ID != c.ID || committed.Change.Number != c.Number {
			return proto.OperatorReply{}, false
		}
		result, ok := h.state.Answer(c)
		return changeReply(result), ok
	})
}

func changeReply(r proto.ChangeResult) proto.OperatorReply {
	out := proto.OperatorReply{Change: &r, Reason: r.Reason}
	if !r.Accepted {
		out.Err = proto.OpErrConflict
	}
	return out
}

// drain stops new work on a target, or allows it again.
func (h *Handler) drain(call uint64, c proto.Drain) []effect.Effect {
	g := h.state.Group(c.Ref.Service)
	if g == nil {
		return respond(call, notFound("no such service"))
	}
	t, ok := g.Target(c.Ref.Name)
	if !ok {
		return respond(call, notFound(noSuchTarget(c.Ref.Service, c.Ref.Name)))
	}
	t.Drained = c.On
	command := proto.Command{Member: &proto.SetMember{Service: c.Ref.Service, Target: t, Operator: true}}
	return h.proposeAndWait(call, command, func(committed proto.Command) (proto.OperatorReply, bool) {
		if committed.Member == nil || committed.Member.Service != c.Ref.Service || committed.Member.Target.Name != c.Ref.Name {
			return proto.OperatorReply{}, false
		}
		return h.drainResult(c)
	})
}

// drainResult returns the reply to a drain call, and reports whether the
// target is in the state that the call asked for or no longer exists.
func (h *Handler) drainResult(c proto.Drain) (proto.OperatorReply, bool) {
	g := h.state.Group(c.Ref.Service)
	if g == nil {
		return notFound("no such service"), true
	}
	t, ok := g.Target(c.Ref.Name)
	if !ok {
		return notFound(noSuchTarget(c.Ref.Service, c.Ref.Name)), true
	}
	return proto.OperatorReply{}, t.Drained == c.On
}

// promote begins an ordered change of primary and answers once the group has
// a primary in a later term.
func (h *Handler) promote(call uint64, c proto.Promote) []effect.Effect {
	g := h.state.Group(c.Service)
	if g == nil {
		return respond(call, notFound("no such service"))
	}
	if reason := promoteRefusal(g, c.To); reason != "" {
		return respond(call, proto.OperatorReply{Err: proto.OpErrRefused, Reason: reason})
	}
	if g.Primary == c.To {
		return respond(call, proto.OperatorReply{})
	}
	command := proto.Command{Quiesce: &proto.Quiesce{Service: c.Service, Term: g.Term, To: c.To}}
	return h.proposeAndWait(call, command, func(committed proto.Command) (proto.OperatorReply, bool) {
		if committed.ServeTerm == nil || committed.ServeTerm.Service != c.Service || committed.ServeTerm.Term <= g.Term {
			return proto.OperatorReply{}, false
		}
		if c.To != "" && committed.ServeTerm.Primary != c.To {
			return proto.OperatorReply{
				Err:    proto.OpErrRefused,
				Reason: fmt.Sprintf("target %s was promoted instead of %s: it had the most up-to-date position", committed.ServeTerm.Primary, c.To),
			}, true
		}
		return proto.OperatorReply{}, true
	})
}

// promoteRefusal returns why an ordered change of primary is refused, or "".
func promoteRefusal(g *types.Group, to types.TargetName) string {
	if g.Phase != types.GroupServing {
		return "the group has no primary, or a change of primary is in progress"
	}
	if to == "" {
		return ""
	}
	t, ok := g.Target(to)
	switch {
	case !ok:
		return noSuchTarget(g.Service, to)
	case t.State != types.TargetActive:
		return fmt.Sprintf("target %s is not active", to)
	}
	return ""
}

// removeHost removes a control host from the voters and learners.
func (h *Handler) removeHost(call uint64, c proto.RemoveHost) []effect.Effect {
	matchesHost := func(v proto.Voter) bool { return v.Host == c.Host }
	voters := h.state.Voters()
	if !slices.ContainsFunc(voters, matchesHost) {
		return respond(call, notFound(fmt.Sprintf("no such control host: %s", c.Host)))
	}
	remaining, ok := consensus.WithoutHost(voters, c.Host)
	if !ok {
		return respond(call, proto.OperatorReply{
			Err: proto.OpErrRefused, Reason: fmt.Sprintf("control host %s is the last voter and can't be removed", c.Host),
		})
	}
	command := proto.Command{Voters: &proto.SetVoters{Voters: remaining}}
	return h.proposeAndWait(call, command, func(committed proto.Command) (proto.OperatorReply, bool) {
		removed := committed.Voters != nil && !slices.ContainsFunc(committed.Voters.Voters, matchesHost)
		return proto.OperatorReply{}, removed
	})
}

func noSuchTarget(service types.ServiceName, target types.TargetName) string {
	return fmt.Sprintf("no such target: %s/%s", service, target)
}

func notFound(reason string) proto.OperatorReply {
	return proto.OperatorReply{Err: proto.OpErrNotFound, Reason: reason}
}
