package membership

import (
	"maps"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// managedRemoveAfter is how long a member of a managed service has to be
// silent until it is removed. Until then it stays a member, and may announce
// itself again under the same name. The time is five times SilentAfter, after which the member gets no work.
const managedRemoveAfter = 15 * time.Second

// disputeAfter is how long the latest announcement of a target outweighs those that
// were made before it by their numbers. It is longer than the interval of announcements,
// and shorter than SilentAfter, so that a target whose numbers were wrong once stays active.
const disputeAfter = 2 * time.Second

// goneRetention is how long late announcements of a target that ended are ignored.
const goneRetention = time.Minute

// outdated reports whether an announcement was made before another one of the
// same target, or by an earlier process of it.
func outdated(a, last proto.Announcement) bool {
	if a.StartedAt != last.StartedAt {
		return a.StartedAt < last.StartedAt
	}
	return a.Seq < last.Seq
}

// outweighed reports whether an outdated announcement is to be ignored, and records it.
// It counts if the latest one has not been repeated for disputeAfter while outdated ones
// kept arriving: then the latest one came from another writer or had wrong numbers.
func (l *lastAnnouncement) outweighed(a proto.Announcement, now types.Instant) bool {
	goesOn := l.disputedBy.StartedAt == a.StartedAt && l.disputedBy.Seq < a.Seq
	l.disputedBy = a
	return !goesOn || now.Sub(l.sentAt) < disputeAfter
}

// ended reports whether an announcement is a late one of a process that has ended.
func (t *Tracker) ended(ref types.TargetRef, a proto.Announcement, now types.Instant) bool {
	g, ok := t.gone[ref]
	return ok && now.Sub(g.at) < goneRetention && a.StartedAt <= g.startedAt
}

// recordGone remembers that a member has ended, after its removal.
func (t *Tracker) recordGone(ref types.TargetRef, now types.Instant) {
	for other, g := range t.gone {
		if now.Sub(g.at) >= goneRetention {
			delete(t.gone, other)
		}
	}
	if last := t.announced[ref]; last.announcement.Terminated {
		t.gone[ref] = goneTarget{startedAt: last.announcement.StartedAt, at: now}
	}
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
		if last := t.announced[ref]; last.announcement.StartedAt > a.StartedAt && now.Sub(last.sentAt) < SilentAfter {
			return nil
		}
		if m.Name == g.Primary {
			break // it is removed once another member was promoted
		}
		return t.propose(now, ref, proto.SetMember{Service: g.Service, Target: m, Remove: true})
	}
	return t.propose(now, types.TargetRef{Service: g.Service, Name: a.Name},
		proto.SetMember{Service: g.Service, Target: targetFrom(a), Replaces: t.replaces(a.Address, now)})
}

// recordVacated remembers the address of a replica that was removed without having left. A
// new target there has none of its log, while one at the address of a member that left
// takes its log over.
func (t *Tracker) recordVacated(ref types.TargetRef, m types.Target, now types.Instant) {
	maps.DeleteFunc(t.vacated, func(_ types.Address, at types.Instant) bool { return now.Sub(at) >= goneRetention })
	left := m.State == types.TargetLeaving && !m.Drained || t.announced[ref].announcement.Leaving
	if g := t.state.Group(ref.Service); g != nil && !left && m.Name != g.LastPrimary {
		t.vacated[m.Address] = now
	}
}

// replaces reports whether a target that joins at an address replaces a replica whose log is
// gone.
func (t *Tracker) replaces(a types.Address, now types.Instant) bool {
	at, ok := t.vacated[a]
	return ok && now.Sub(at) < goneRetention
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
	if t.awaitsPositions(g) {
		return false
	}
	lastContact := t.leaderSince
	if known {
		lastContact = last.sentAt
	}
	return now.Sub(lastContact) >= managedRemoveAfter
}

// awaitsPositions reports whether a group without a primary may need a silent member: it
// may hold commits that no other member holds, which the next primary must have.
func (t *Tracker) awaitsPositions(g *types.Group) bool {
	return t.state.Config().Services[g.Service].SyncReplicas > 0 && g.Served() && g.Phase == types.GroupFencing
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
