package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// viewChanged applies a new view before any event is handled under it.
func (s *Shard) viewChanged() {
	if s.view == nil {
		return
	}
	if s.view.Draining && !s.draining {
		s.drain(0)
	}
	s.endRevokedTransactions()
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		s.dirty[name] = true
		s.updatePrimary(svc)
		s.addProbeSample(svc)
		s.updateTargets(svc)
		s.updateCatchUp(svc)
		s.dropReplacedPrimary(svc)
		s.recheckWaiting(svc)
		if s.targetsChanged(svc) {
			s.requeueAll(svc)
		}
		svc.group = s.view.Group(name)
	}
	s.recheckLacking()
}

// targetsChanged reports whether the new view has a changed group or probe of the
// service's targets.
func (s *Shard) targetsChanged(svc *service) bool {
	changed := svc.group != s.view.Group(svc.name)
	for _, name := range sortedKeys(svc.targets) {
		t := svc.targets[name]
		h := s.lastProbe(svc, name)
		changed = changed || h != t.probeAtPlacement
		t.probeAtPlacement = h
	}
	return changed
}

// updateTargets sets each member's address and share, and clears both for targets
// that are no longer members. A leaving target keeps only the connections that
// are bound to sessions.
func (s *Shard) updateTargets(svc *service) {
	if s.view == nil {
		return
	}
	members := make(map[types.TargetName]bool)
	if g := s.view.Group(svc.name); g != nil {
		for _, m := range g.Members {
			members[m.Name] = true
			s.updateMember(svc, m)
		}
	}
	svc.outliers.Keep(func(name types.TargetName) bool { return members[name] && name != svc.primary.name })
	for _, name := range sortedKeys(svc.targets) {
		if !members[name] {
			s.closeConns(svc.targets[name].pool.Update("", types.Share{}))
		}
	}
}

// updateMember applies the state, address and share of a member in the view.
func (s *Shard) updateMember(svc *service, m types.Target) {
	if svc.departures.Update(m, s.now) {
		s.emit(effect.Decide{Kind: effect.DecideDrain, Service: svc.name, Target: m.Name, Host: s.options.Host, Reason: "the target is no longer active and gets no new work"})
		s.rearmSessionTimers(svc, m.Name)
	}
	share := s.view.Shares[types.TargetRef{Service: svc.name, Name: m.Name}]
	if m.State != types.TargetActive {
		share = types.Share{}
	}
	s.closeConns(svc.target(m.Name).pool.Update(m.Address, share))
}

// rearmSessionTimers makes the drain timeout apply to the sessions that use a
// leaving target.
func (s *Shard) rearmSessionTimers(svc *service, name types.TargetName) {
	for _, c := range s.connOwners(svc, name) {
		s.armSessionTimer(c)
	}
}

// connOwners returns the sessions that use a connection to the target.
func (s *Shard) connOwners(svc *service, name types.TargetName) []*session {
	var owners []*session
	for _, conn := range svc.target(name).pool.ConnsInUse() {
		owners = append(owners, s.sessions[conn.Owner])
	}
	return owners
}

// dropReplacedPrimary ends the requests and transactions on a replaced primary:
// none of them can be acknowledged any more.
func (s *Shard) dropReplacedPrimary(svc *service) {
	if svc.selfFenced(s.view) {
		return // a replaced target itself refuses what only the primary may execute
	}
	old, g := svc.group, s.view.Group(svc.name)
	if !hasPrimary(old) || (hasPrimary(g) && g.Term == old.Term) {
		return
	}
	reason := fmt.Sprintf("primary %s of term %d was replaced", old.Primary, old.Term)
	for _, c := range s.connOwners(svc, old.Primary) {
		switch {
		case c.inTransaction() && c.onReplica:
		case c.inTransaction():
			s.endTransaction(c, types.RefuseReplaced, reason)
		case c.request != nil && !c.request.replica:
			s.attemptFailed(c.request, true, types.RefuseReplaced, reason)
		}
	}
}

// recheckWaiting rechecks the requests that wait for positions or for a lease.
func (s *Shard) recheckWaiting(svc *service) {
	for _, r := range svc.waitingInOrder() {
		switch {
		case r.stage == stageDurable:
			s.acknowledge(r)
		case r.stage == stageLease:
			if !s.lacksLease(r) {
				s.resumeLeased(r)
			}
		case s.ensureFloor(r.session, r.floorDeadline()):
			delete(svc.waiting, r)
			s.place(r)
		}
	}
}

// requeueAll places each queued request again, since its candidate set may have
// changed.
func (s *Shard) requeueAll(svc *service) {
	var all []*request
	for _, key := range sortedKeys(svc.queues) {
		all = append(all, svc.queues[key].drain()...)
		if key != primaryKey {
			delete(svc.queues, key)
		}
	}
	for _, r := range all {
		r.queueEntry = nil
		r.stage = stageBackoff
		s.place(r)
	}
}
