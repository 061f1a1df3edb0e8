package operator

import (
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// change replicates a change of the configuration. One that is known already
// is answered at once.
func (h *Handler) change(call uint64, c proto.ChangeConfig) []effect.Effect {
	if c.Config == nil || c.ID == "" && c.Number == 0 {
		return done(call, proto.OperatorReply{
			Err: proto.OpErrRefused, Reason: "the change lacks an id or a configuration",
		})
	}
	if result, ok := h.state.Answer(c); ok {
		return done(call, changeReply(result))
	}
	return h.await(call, proto.Command{Change: &c}, func(done proto.Command) (proto.OperatorReply, bool) {
		if done.Change == nil || done.Change.ID != c.ID || done.Change.Number != c.Number {
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

// drain takes a target out of work, or back in.
func (h *Handler) drain(call uint64, c proto.Drain) []effect.Effect {
	g := h.state.Group(c.Ref.Service)
	if g == nil {
		return done(call, notFound("no such service"))
	}
	t, ok := g.Target(c.Ref.Name)
	if !ok {
		return done(call, notFound("no such target"))
	}
	t.Drained = c.On
	command := proto.Command{Member: &proto.SetMember{Service: c.Ref.Service, Target: t, Operator: true}}
	return h.await(call, command, func(done proto.Command) (proto.OperatorReply, bool) {
		if done.Member == nil || done.Member.Service != c.Ref.Service || done.Member.Target.Name != c.Ref.Name {
			return proto.OperatorReply{}, false
		}
		return h.drained(c)
	})
}

func (h *Handler) drained(c proto.Drain) (proto.OperatorReply, bool) {
	g := h.state.Group(c.Ref.Service)
	if g == nil {
		return notFound("no such service"), true
	}
	t, ok := g.Target(c.Ref.Name)
	if !ok {
		return notFound("no such target"), true
	}
	return proto.OperatorReply{}, t.Drained == c.On
}

// promote begins an ordered change of primary and answers once the group has
// a primary in a later term.
func (h *Handler) promote(call uint64, c proto.Promote) []effect.Effect {
	g := h.state.Group(c.Service)
	if g == nil {
		return done(call, notFound("no such service"))
	}
	if reason := refusePromote(g, c.To); reason != "" {
		return done(call, proto.OperatorReply{Err: proto.OpErrRefused, Reason: reason})
	}
	if g.Primary == c.To {
		return done(call, proto.OperatorReply{})
	}
	command := proto.Command{Quiesce: &proto.Quiesce{Service: c.Service, Term: g.Term, To: c.To}}
	return h.await(call, command, func(done proto.Command) (proto.OperatorReply, bool) {
		if done.ServeTerm == nil || done.ServeTerm.Service != c.Service || done.ServeTerm.Term <= g.Term {
			return proto.OperatorReply{}, false
		}
		if c.To != "" && done.ServeTerm.Primary != c.To {
			return proto.OperatorReply{
				Err:    proto.OpErrRefused,
				Reason: "target " + string(done.ServeTerm.Primary) + " held more and was promoted",
			}, true
		}
		return proto.OperatorReply{}, true
	})
}

func refusePromote(g *types.Group, to types.TargetName) string {
	if g.Phase != types.GroupServing {
		return "the group has no primary, or a change of primary is under way"
	}
	if to == "" {
		return ""
	}
	t, ok := g.Target(to)
	switch {
	case !ok:
		return "no such target"
	case t.State != types.TargetActive:
		return "the target is not active"
	}
	return ""
}

// removeHost takes a control host out of the voters.
func (h *Handler) removeHost(call uint64, c proto.RemoveHost) []effect.Effect {
	isHost := func(v proto.Voter) bool { return v.Host == c.Host }
	voters := h.state.Voters()
	if !slices.ContainsFunc(voters, isHost) {
		return done(call, notFound("no such control host"))
	}
	rest, ok := consensus.WithoutHost(voters, c.Host)
	if !ok {
		return done(call, proto.OperatorReply{Err: proto.OpErrRefused, Reason: "the last voter stays"})
	}
	command := proto.Command{Voters: &proto.SetVoters{Voters: rest}}
	return h.await(call, command, func(done proto.Command) (proto.OperatorReply, bool) {
		gone := done.Voters != nil && !slices.ContainsFunc(done.Voters.Voters, isHost)
		return proto.OperatorReply{}, gone
	})
}

func notFound(reason string) proto.OperatorReply {
	return proto.OperatorReply{Err: proto.OpErrNotFound, Reason: reason}
}
