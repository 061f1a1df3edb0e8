package promotion

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// follower is how far a member has come in following the primary.
type follower struct {
	open    bool          // it has to be asked
	askedAt types.Instant // the last question or its answer
}

// driveFollowers asks each member that does not stand in the group's term to
// follow the primary, and drops what it wrote past the start of the term.
func (m *Manager) driveFollowers(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	primary, ok := g.Target(g.Primary)
	if !ok {
		return nil
	}
	var out []effect.Effect
	open := false
	for _, t := range g.Members {
		f := gr.follower(t.Name)
		if t.Name == g.Primary || !f.open {
			continue
		}
		open = true
		if f.askedAt != 0 && now.Sub(f.askedAt) < retryInterval {
			continue
		}
		f.askedAt = now
		out = append(out, m.call(g, t, types.Operation{
			Kind: types.OpFollow, Term: g.TargetTerm(), Leader: primary, Start: termStart(g),
		}))
	}
	next := gr.movedAt.Add(moveInterval)
	switch {
	case open:
		out = append(out, arm(g.Service, now.Add(retryInterval)))
	case gr.moves > 0 && now < next:
		out = append(out, arm(g.Service, next))
	}
	return out
}

func termStart(g *types.Group) uint64 {
	if len(g.History) == 0 {
		return 0
	}
	return g.History[len(g.History)-1].Offset
}

func (gr *group) follower(name types.TargetName) *follower {
	if gr.followers == nil {
		gr.followers = make(map[types.TargetName]*follower)
	}
	f := gr.followers[name]
	if f == nil {
		f = &follower{}
		gr.followers[name] = f
	}
	return f
}

func (m *Manager) followed(now types.Instant, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	s := e.Result.Status
	f := gr.follower(name)
	if e.Err == nil && e.Result.Err == types.TargetErrNone && !s.Primary {
		f.open, f.askedAt = false, now
	}
	return nil
}
