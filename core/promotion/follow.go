package promotion

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// follower tracks whether a member follows the primary.
type follower struct {
	pending     bool          // it must be told to follow
	lastContact types.Instant // when it was last told to follow, or last confirmed it
}

// advanceFollowers tells each pending member to follow the primary. The member
// drops what it wrote past the start of the term.
func (m *Manager) advanceFollowers(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	primary, ok := g.Target(g.Primary)
	if !ok {
		return nil
	}
	var out []effect.Effect
	pending := false
	for _, t := range g.Members {
		f := gr.follower(t.Name)
		if t.Name == g.Primary || !f.pending {
			continue
		}
		pending = true
		if f.lastContact != 0 && now.Sub(f.lastContact) < retryInterval {
			continue
		}
		f.lastContact = now
		out = append(out, m.call(g, t, types.Operation{
			Kind: types.OpFollow, Term: g.TargetTerm(), Leader: primary, Start: termStart(g),
		}))
	}
	next := gr.lastLeaveAttempt.Add(leaveRetryInterval)
	switch {
	case pending:
		out = append(out, armTimer(g.Service, now.Add(retryInterval)))
	case gr.leaveAttempts > 0 && now < next:
		out = append(out, armTimer(g.Service, next))
	}
	return out
}

// termStart returns the last offset before the current term.
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

// handleFollowed marks a member that confirmed it follows the primary.
func (m *Manager) handleFollowed(now types.Instant, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	s := e.Result.Status
	f := gr.follower(name)
	if e.Err == nil && e.Result.Err == types.TargetErrNone && !s.Primary {
		f.pending, f.lastContact = false, now
	}
	return nil
}
