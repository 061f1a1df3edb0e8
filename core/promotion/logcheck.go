package promotion

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// logCheckInterval is the time between two requests for the positions of a primary and of
// the members whose logs may be incomplete.
const logCheckInterval = 250 * time.Millisecond

// logCheck is the progress of this leader in finding out whether members whose logs may be
// incomplete have caught up: they hold all that the primary held after they had started.
type logCheck struct {
	term      types.Term
	members   map[types.TargetName]int64 // start of the process of each member
	floorCall uint64                     // the last call that asks the primary for its position
	floor     types.LogPos
	known     bool   // floor is set
	knownAt   uint64 // the last call before that
	checkedAt types.Instant
}

// incompleteLogs returns the members whose logs may be incomplete, with the starts of their
// processes.
func incompleteLogs(g *types.Group) map[types.TargetName]int64 {
	out := make(map[types.TargetName]int64)
	for _, t := range g.Members {
		if t.LogIncomplete && t.Name != g.Primary {
			out[t.Name] = t.StartedAt
		}
	}
	return out
}

// checkLogs asks the primary for its position once the members have started, and then the
// members until they have reached it.
func (m *Manager) checkLogs(now types.Instant, g *types.Group, gr *group) []effect.Effect {
	members, c := incompleteLogs(g), &gr.logCheck
	if len(members) == 0 {
		*c = logCheck{}
		return nil
	}
	if c.term != g.Term || !containsAll(c.members, members) {
		*c = logCheck{term: g.Term, members: members}
	}
	out := []effect.Effect{armTimer(g.Service, now.Add(logCheckInterval))}
	if c.checkedAt != 0 && now.Sub(c.checkedAt) < logCheckInterval {
		return out
	}
	c.checkedAt = now
	for _, t := range g.Members {
		if _, incomplete := members[t.Name]; c.known && incomplete || !c.known && t.Name == g.Primary {
			out = append(out, m.call(g, t, types.Operation{Kind: types.OpPosition}))
		}
	}
	if !c.known {
		c.floorCall = m.lastCall
	}
	return out
}

// containsAll reports whether each entry of part is in all.
func containsAll(all, part map[types.TargetName]int64) bool {
	for name, startedAt := range part {
		if at, ok := all[name]; !ok || at != startedAt {
			return false
		}
	}
	return true
}

// handleLogPosition handles the position of the primary or of a member that is checked.
func (m *Manager) handleLogPosition(now types.Instant, g *types.Group, gr *group, name types.TargetName, e event.TargetReplied) []effect.Effect {
	c, s := &gr.logCheck, e.Result.Status
	if c.term != g.Term || e.Err != nil || e.Result.Err != types.TargetErrNone || s.Term != g.TargetTerm() {
		return nil
	}
	if e.Call == c.floorCall && s.Primary {
		c.floor, c.known, c.knownAt, c.checkedAt = s.Pos, true, m.lastCall, 0
		return m.advance(now, g.Service)
	}
	t, ok := g.Target(name)
	if !ok || !t.LogIncomplete || !c.known || e.Call <= c.knownAt || s.Pos.Compare(c.floor) < 0 {
		return nil
	}
	return []effect.Effect{effect.Propose{Command: proto.Command{Member: &proto.SetMember{
		Service: g.Service, Target: t, CaughtUp: true,
	}}}}
}
