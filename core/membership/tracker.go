// Package membership keeps the members of each group from what targets say of
// themselves: new ones join, leaving and silent ones get no new work.
package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/cluster"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/role"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Times of announcements.
const (
	// SilentAfter is how long a target may go without an announcement.
	SilentAfter = 3 * time.Second
	// sweepInterval is the time between two searches for silent targets.
	sweepInterval = 500 * time.Millisecond
	// replaceAfter is how long a member has to be silent before a new target
	// takes its place.
	replaceAfter = 30 * time.Second
	// repeatAfter is how long a proposal may stay without effect.
	repeatAfter = time.Second
)

// Tracker turns announcements into commands while this host leads.
type Tracker struct {
	state    *cluster.State
	role     role.Role
	since    types.Instant // when this host became leader
	heard    map[types.TargetRef]heard
	proposed map[types.TargetRef]proposal
	places   map[types.ServiceName]place
}

// heard is the last announcement of a target.
type heard struct {
	announcement proto.Announcement
	at           types.Instant
}

// proposal is the last command proposed for a target.
type proposal struct {
	member proto.SetMember
	at     types.Instant
}

// New returns a tracker that has heard nothing.
func New(state *cluster.State) *Tracker {
	return &Tracker{
		state:    state,
		heard:    make(map[types.TargetRef]heard),
		proposed: make(map[types.TargetRef]proposal),
		places:   make(map[types.ServiceName]place),
	}
}

// Step takes in one event.
func (t *Tracker) Step(in event.Input) []effect.Effect {
	switch e := in.Event.(type) {
	case event.RoleChanged:
		return t.changeRole(in.Now, e)
	case event.LeaseRequested:
		t.readReports(in.Now, e.Request.Reports)
		return t.hearAll(in.Now, e.Request.Announcements)
	case event.OperatorCalled:
		if e.Request.Announce != nil {
			return t.hearAll(in.Now, []proto.Announcement{*e.Request.Announce})
		}
	case event.Committed:
		return t.committed(in.Now, e.Entry.Command)
	case event.TimerFired:
		if e.ID.Domain == event.DomainMembership {
			return t.sweep(in.Now)
		}
	}
	return nil
}

func (t *Tracker) changeRole(now types.Instant, e event.RoleChanged) []effect.Effect {
	if !t.role.Update(e) {
		return nil
	}
	clear(t.heard)
	clear(t.proposed)
	clear(t.places)
	t.since = now
	if !e.Leading {
		return nil
	}
	return []effect.Effect{armSweep(now)}
}

func armSweep(now types.Instant) effect.Effect {
	return effect.ArmTimer{ID: event.TimerID{Domain: event.DomainMembership}, At: now.Add(sweepInterval)}
}

func (t *Tracker) hearAll(now types.Instant, list []proto.Announcement) []effect.Effect {
	if !t.role.Leading {
		return nil
	}
	var out []effect.Effect
	for _, a := range list {
		out = append(out, t.hear(now, a)...)
	}
	return out
}

// hear keeps the latest announcement of a target and acts on it.
func (t *Tracker) hear(now types.Instant, a proto.Announcement) []effect.Effect {
	if a.Gone {
		return t.leave(now, a.Name)
	}
	ref := types.TargetRef{Service: a.Service, Name: a.Name}
	at := now.Add(-a.Age)
	if last, ok := t.heard[ref]; ok && (last.at > at || outdated(a, last.announcement)) {
		return nil
	}
	if t.state.Group(a.Service) == nil {
		return nil
	}
	t.heard[ref] = heard{announcement: a, at: at}
	return t.settle(now, ref)
}

// settle proposes what the last announcement of a target calls for.
func (t *Tracker) settle(now types.Instant, ref types.TargetRef) []effect.Effect {
	g := t.state.Group(ref.Service)
	if g == nil {
		return nil
	}
	last, known := t.heard[ref]
	member, joined := g.Target(ref.Name)
	if joined && t.ended(now, g, last, known) {
		return t.propose(now, ref, proto.SetMember{Service: ref.Service, Target: member, Remove: true})
	}
	if joined {
		return t.propose(now, ref, proto.SetMember{Service: ref.Service, Target: t.wanted(now, member, last, known)})
	}
	if !known || last.announcement.Leaving || now.Sub(last.at) >= SilentAfter {
		return nil
	}
	if t.state.Config().Managed(ref.Service) {
		return t.join(now, g, last.announcement)
	}
	if len(g.Members) >= t.state.Config().Services[ref.Service].Members {
		return t.makeRoom(now, g)
	}
	if !t.mayJoin(g) {
		return nil
	}
	return t.propose(now, ref, proto.SetMember{Service: ref.Service, Target: target(last.announcement)})
}

// wanted returns a member as its last announcement makes it.
func (t *Tracker) wanted(now types.Instant, member types.Target, last heard, known bool) types.Target {
	silentSince := t.since
	if known {
		silentSince = last.at
		drained := member.Drained
		member = target(last.announcement)
		member.Drained = drained
	}
	switch {
	case member.Drained:
		member.State = types.TargetLeaving
	case now.Sub(silentSince) >= SilentAfter:
		member.State = types.TargetSilent
	}
	return member
}

func target(a proto.Announcement) types.Target {
	t := types.Target{Name: a.Name, Address: a.Address, AvailabilityZone: a.AvailabilityZone, Slots: a.Slots}
	if a.Leaving {
		t.State = types.TargetLeaving
	}
	return t
}

// makeRoom proposes to remove a member that has been gone for long, so that
// another target can take its place. A group that has served must have a
// primary then, which holds every acknowledged write.
func (t *Tracker) makeRoom(now types.Instant, g *types.Group) []effect.Effect {
	if g.Phase != types.GroupServing && len(g.History) > 0 {
		return nil
	}
	for _, m := range g.Members {
		ref := types.TargetRef{Service: g.Service, Name: m.Name}
		at := max(t.heard[ref].at, t.since)
		if m.State == types.TargetActive || m.Name == g.Primary || now.Sub(at) < replaceAfter {
			continue
		}
		return t.propose(now, ref, proto.SetMember{Service: g.Service, Target: m, Remove: true})
	}
	return nil
}

// propose replicates a change of a member, unless it is so already or the same
// change is under way.
func (t *Tracker) propose(now types.Instant, ref types.TargetRef, c proto.SetMember) []effect.Effect {
	if current, ok := t.state.Group(ref.Service).Target(ref.Name); ok && !c.Remove && current == c.Target {
		return nil
	}
	if last, ok := t.proposed[ref]; ok && last.member == c && now.Sub(last.at) < repeatAfter {
		return nil
	}
	t.proposed[ref] = proposal{member: c, at: now}
	return []effect.Effect{effect.Propose{Command: proto.Command{Member: &c}}}
}

// committed acts on announcements that came before the change they needed.
func (t *Tracker) committed(now types.Instant, c proto.Command) []effect.Effect {
	if !t.role.Leading || c.Member == nil {
		return nil
	}
	ref := types.TargetRef{Service: c.Member.Service, Name: c.Member.Target.Name}
	delete(t.proposed, ref)
	if !c.Member.Remove {
		return t.settle(now, ref)
	}
	delete(t.heard, ref)
	var out []effect.Effect
	for _, other := range t.refs() {
		if other.Service == ref.Service {
			out = append(out, t.settle(now, other)...)
		}
	}
	return out
}

// sweep looks for members that have gone silent.
func (t *Tracker) sweep(now types.Instant) []effect.Effect {
	if !t.role.Leading {
		return nil
	}
	out := []effect.Effect{armSweep(now)}
	for _, name := range t.state.Services() {
		for _, m := range t.state.Group(name).Members {
			out = append(out, t.settle(now, types.TargetRef{Service: name, Name: m.Name})...)
		}
	}
	return out
}

// refs returns the targets that were heard, in order.
func (t *Tracker) refs() []types.TargetRef {
	return slices.SortedFunc(maps.Keys(t.heard), func(a, b types.TargetRef) int {
		return strings.Compare(a.String(), b.String())
	})
}
