// Package membership maintains the members of each group from the
// announcements of targets. New targets join; leaving and silent ones get no
// new work.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Timing of announcements.
const (
	// SilentAfter is the time without an announcement after which a target
	// counts as silent.
	SilentAfter = 3 * time.Second
	// sweepInterval is the time between two searches for silent targets.
	sweepInterval = 500 * time.Millisecond
	// replaceAfter is how long a member has to be silent before a new target
	// may replace it.
	replaceAfter = 30 * time.Second
	// reproposeAfter is how long a proposal may stay uncommitted before it is
	// proposed again.
	reproposeAfter = time.Second
)

// Tracker turns announcements into commands while this host leads.
type Tracker struct {
	state       *cluster.State
	role        role.Role
	leaderSince types.Instant // when this host became leader
	announced   map[types.TargetRef]lastAnnouncement
	proposed    map[types.TargetRef]proposal
	vacancies   map[types.ServiceName]vacancy
	gone        map[types.TargetRef]goneTarget
	vacated     map[types.Address]types.Instant // when replicas were removed that had not left
}

// goneTarget is a target that said that it has ended.
type goneTarget struct {
	startedAt int64 // of its process, as announced
	at        types.Instant
}

// lastAnnouncement is the most recent announcement of a target.
type lastAnnouncement struct {
	announcement proto.Announcement
	sentAt       types.Instant
	disputedBy   proto.Announcement // the last one that was made before it by its numbers
}

// proposal is the last command proposed for a target.
type proposal struct {
	member     proto.SetMember
	proposedAt types.Instant
}

// New returns a tracker without announcements.
func New(state *cluster.State) *Tracker {
	return &Tracker{
		state:     state,
		announced: make(map[types.TargetRef]lastAnnouncement),
		proposed:  make(map[types.TargetRef]proposal),
		vacancies: make(map[types.ServiceName]vacancy),
		gone:      make(map[types.TargetRef]goneTarget),
		vacated:   make(map[types.Address]types.Instant),
	}
}

// Step handles one event.
func (t *Tracker) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		return t.handleRoleChange(in.Now, e)
	case event.LeaseRequested:
		t.trackPositions(in.Now, e.Request.Reports)
		return t.handleAnnouncements(in.Now, e.Request.Announcements)
	case event.OperatorCalled:
		if e.Request.Announce != nil {
			return t.handleAnnouncements(in.Now, []proto.Announcement{*e.Request.Announce})
		}
	case event.Committed:
		return t.handleCommitted(in.Now, e.Entry.Command)
	case event.TimerFired:
		if e.ID.Domain == event.DomainMembership {
			return t.sweep(in.Now)
		}
	}
	return nil
}

func (t *Tracker) handleRoleChange(now types.Instant, e event.RoleChanged) []effect.Effect {
	if !t.role.Update(e) {
		return nil
	}
	clear(t.announced)
	clear(t.proposed)
	clear(t.vacancies)
	clear(t.gone)
	clear(t.vacated)
	t.leaderSince = now
	if !e.Leading {
		return nil
	}
	return []effect.Effect{armSweep(now)}
}

func armSweep(now types.Instant) effect.Effect {
	return effect.ArmTimer{ID: event.TimerID{Domain: event.DomainMembership}, At: now.Add(sweepInterval)}
}

func (t *Tracker) handleAnnouncements(now types.Instant, list []proto.Announcement) []effect.Effect {
	if !t.role.Leading {
		return nil
	}
	var out []effect.Effect
	for _, a := range list {
		out = append(out, t.handleAnnouncement(now, a)...)
	}
	return out
}

// handleAnnouncement keeps the latest announcement of a target and proposes
// the change of membership that follows from it.
func (t *Tracker) handleAnnouncement(now types.Instant, a proto.Announcement) []effect.Effect {
	if a.Terminated {
		return t.handleGone(now, a.Name)
	}
	ref := types.TargetRef{Service: a.Service, Name: a.Name}
	sentAt := now.Add(-a.Age)
	if t.state.Group(a.Service) == nil || t.ended(ref, a, now) {
		return nil
	}
	if last, ok := t.announced[ref]; ok && (last.sentAt > sentAt || outdated(a, last.announcement)) {
		outweighed := last.sentAt > sentAt || last.outweighed(a, now)
		t.announced[ref] = last
		if outweighed {
			return nil
		}
	}
	t.announced[ref] = lastAnnouncement{announcement: a, sentAt: sentAt}
	return t.reconcile(now, ref)
}

// reconcile proposes the change that brings a target's membership in line with
// its last announcement.
func (t *Tracker) reconcile(now types.Instant, ref types.TargetRef) []effect.Effect {
	g := t.state.Group(ref.Service)
	if g == nil {
		return nil
	}
	last, known := t.announced[ref]
	member, joined := g.Target(ref.Name)
	if joined && t.shouldRemove(now, g, last, known) {
		return t.propose(now, ref, proto.SetMember{Service: ref.Service, Target: member, Remove: true})
	}
	if joined {
		return t.propose(now, ref, proto.SetMember{Service: ref.Service, Target: t.desired(now, member, last, known)})
	}
	if !known || last.announcement.Leaving || now.Sub(last.sentAt) >= SilentAfter {
		return nil
	}
	if t.state.Config().Managed(ref.Service) {
		return t.join(now, g, last.announcement)
	}
	if len(g.Members) >= t.state.Config().Services[ref.Service].Members {
		return t.removeSilent(now, g)
	}
	if !t.mayJoin(g) {
		return nil
	}
	return t.propose(now, ref, proto.SetMember{Service: ref.Service, Target: targetFrom(last.announcement)})
}

// desired returns a member as it should be recorded according to its last
// announcement.
func (t *Tracker) desired(now types.Instant, member types.Target, last lastAnnouncement, known bool) types.Target {
	silentSince := t.leaderSince
	if known {
		silentSince = last.sentAt
		recorded := member
		member = targetFrom(last.announcement)
		member.Drained, member.LogIncomplete = recorded.Drained, recorded.LogIncomplete
	}
	switch {
	case member.Drained:
		member.State = types.TargetLeaving
	case now.Sub(silentSince) >= SilentAfter:
		member.State = types.TargetSilent
	}
	return member
}

// targetFrom returns the target that an announcement describes.
func targetFrom(a proto.Announcement) types.Target {
	t := types.Target{
		Name: a.Name, Address: a.Address, AvailabilityZone: a.AvailabilityZone, Slots: a.Slots, StartedAt: a.StartedAt,
	}
	if a.Leaving {
		t.State = types.TargetLeaving
	}
	return t
}

// removeSilent proposes to remove a member that has been silent for
// replaceAfter, so that another target can replace it. A group that has served
// must have a primary at that time, because the primary holds every
// acknowledged write.
func (t *Tracker) removeSilent(now types.Instant, g *types.Group) []effect.Effect {
	if g.Phase != types.GroupServing && len(g.History) > 0 {
		return nil
	}
	for _, m := range g.Members {
		ref := types.TargetRef{Service: g.Service, Name: m.Name}
		lastContact := max(t.announced[ref].sentAt, t.leaderSince)
		if m.State == types.TargetActive || m.Name == g.Primary || now.Sub(lastContact) < replaceAfter {
			continue
		}
		return t.propose(now, ref, proto.SetMember{Service: g.Service, Target: m, Remove: true})
	}
	return nil
}

// propose replicates a change of a member, unless the member is already in
// that state or the same change is pending.
func (t *Tracker) propose(now types.Instant, ref types.TargetRef, c proto.SetMember) []effect.Effect {
	if current, ok := t.state.Group(ref.Service).Target(ref.Name); ok && !c.Remove && current == c.Target {
		return nil
	}
	if last, ok := t.proposed[ref]; ok && last.member == c && now.Sub(last.proposedAt) < reproposeAfter {
		return nil
	}
	t.proposed[ref] = proposal{member: c, proposedAt: now}
	return []effect.Effect{effect.Propose{Command: proto.Command{Member: &c}}}
}

// handleCommitted handles announcements that arrived before the change that
// they depended on.
func (t *Tracker) handleCommitted(now types.Instant, c proto.Command) []effect.Effect {
	if !t.role.Leading || c.Member == nil {
		return nil
	}
	ref := types.TargetRef{Service: c.Member.Service, Name: c.Member.Target.Name}
	delete(t.proposed, ref)
	if !c.Member.Remove {
		return t.reconcile(now, ref)
	}
	t.recordGone(ref, now)
	t.recordVacated(ref, c.Member.Target, now)
	delete(t.announced, ref)
	var out []effect.Effect
	for _, other := range t.refs() {
		if other.Service == ref.Service {
			out = append(out, t.reconcile(now, other)...)
		}
	}
	return out
}

// sweep reconciles every member, to find those that have become silent.
func (t *Tracker) sweep(now types.Instant) []effect.Effect {
	if !t.role.Leading {
		return nil
	}
	out := []effect.Effect{armSweep(now)}
	for _, name := range t.state.Services() {
		for _, m := range t.state.Group(name).Members {
			out = append(out, t.reconcile(now, types.TargetRef{Service: name, Name: m.Name})...)
		}
	}
	return out
}

// refs returns the targets with an announcement, in order.
func (t *Tracker) refs() []types.TargetRef {
	return slices.SortedFunc(maps.Keys(t.announced), types.TargetRef.Compare)
}
