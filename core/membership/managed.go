package membership

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// forgetAfter is how long a member of a managed service has to be silent until
// it is removed. Until then it may return under its name. Chosen, not measured:
// five times SilentAfter, from which on it gets no work.
const forgetAfter = 15 * time.Second

// outdated reports whether an announcement was made before another one of the
// same target, or by an earlier process of it.
func outdated(a, last proto.Announcement) bool {
	if a.Born != last.Born {
		return a.Born < last.Born
	}
	return a.Seq < last.Seq
}

// join takes in a target that announced itself. The group of a managed service
// has no fixed size: whoever promotes its members also decides who they are. A
// target takes the place of an earlier one at its address.
func (t *Tracker) join(now types.Instant, g *types.Group, a proto.Announcement) []effect.Effect {
	for _, m := range g.Members {
		if m.Address != a.Address {
			continue
		}
		ref := types.TargetRef{Service: g.Service, Name: m.Name}
		if t.heard[ref].announcement.Born > a.Born {
			return nil
		}
		if m.Name == g.Primary {
			break // its place is free once another member was promoted
		}
		return t.propose(now, ref, proto.SetMember{Service: g.Service, Target: m, Remove: true})
	}
	return t.propose(now, types.TargetRef{Service: g.Service, Name: a.Name},
		proto.SetMember{Service: g.Service, Target: target(a)})
}

// ended reports whether a member of a managed service has left for good.
func (t *Tracker) ended(now types.Instant, g *types.Group, last heard, known bool) bool {
	if !t.state.Config().Managed(g.Service) {
		return false
	}
	if known && last.announcement.Gone {
		return true
	}
	at := t.since
	if known {
		at = last.at
	}
	return now.Sub(at) >= forgetAfter
}

// leave takes in that a target has ended its work.
func (t *Tracker) leave(now types.Instant, name types.TargetName) []effect.Effect {
	var out []effect.Effect
	for _, ref := range t.refs() {
		if ref.Name == name {
			last := t.heard[ref]
			last.announcement.Gone, last.announcement.Leaving = true, true
			t.heard[ref] = last
			out = append(out, t.settle(now, ref)...)
		}
	}
	return out
}
