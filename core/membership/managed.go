package membership

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// managedRemoveAfter is how long a member of a managed service has to be
// silent until it is removed. Until then it stays a member, and may announce
// itself again under the same name. The time is five times SilentAfter, after which the member gets no work.
const managedRemoveAfter = 15 * time.Second

// outdated reports whether an announcement was made before another one of the
// same target, or by an earlier process of it.
func outdated(a, last proto.Announcement) bool {
	if a.StartedAt != last.StartedAt {
		return a.StartedAt < last.StartedAt
	}
	return a.Seq < last.Seq
}

// join adds a target that announced itself to the group of a managed service.
// Such a group has no fixed size: the external promotion service also decides
// which members it has. A new target replaces an earlier one at the same
// address.
func (t *Tracker) join(now types.Instant, g *types.Group, a proto.Announcement) []effect.Effect {
	for _, m := range g.Members {
		if m.Address != a.Address {
			continue
		}
		ref := types.TargetRef{Service: g.Service, Name: m.Name}
		if t.announced[ref].announcement.StartedAt > a.StartedAt {
			return nil
		}
		if m.Name == g.Primary {
			break // it is removed once another member was promoted
		}
		return t.propose(now, ref, proto.SetMember{Service: g.Service, Target: m, Remove: true})
	}
	return t.propose(now, types.TargetRef{Service: g.Service, Name: a.Name},
		proto.SetMember{Service: g.Service, Target: targetFrom(a)})
}

// shouldRemove reports whether to remove a member of a managed service: it has
// ended, or has been silent for managedRemoveAfter. A member without an
// announcement counts as silent since this host became the leader.
func (t *Tracker) shouldRemove(now types.Instant, g *types.Group, last lastAnnouncement, known bool) bool {
	if !t.state.Config().Managed(g.Service) {
		return false
	}
	if known && last.announcement.Terminated {
		return true
	}
	lastContact := t.leaderSince
	if known {
		lastContact = last.sentAt
	}
	return now.Sub(lastContact) >= managedRemoveAfter
}

// handleGone marks a target that has ended as gone, and reconciles its
// membership.
func (t *Tracker) handleGone(now types.Instant, name types.TargetName) []effect.Effect {
	var out []effect.Effect
	for _, ref := range t.refs() {
		if ref.Name == name {
			last := t.announced[ref]
			last.announcement.Terminated, last.announcement.Leaving = true, true
			t.announced[ref] = last
			out = append(out, t.reconcile(now, ref)...)
		}
	}
	return out
}
