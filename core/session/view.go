package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// viewChanged acts on a new view before anything else happens under it.
func (s *Shard) viewChanged() {
	if s.view == nil {
		return
	}
	if s.view.Draining && !s.draining {
		s.drain()
	}
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		s.dirty[name] = true
		s.followLeader(svc)
		s.sampleProbe(svc)
		s.updateTargets(svc)
		s.followCatchUp(svc)
		s.dropReplaced(svc)
		s.replaceWaiting(svc)
		if s.changedFor(svc) {
			s.replaceQueued(svc)
		}
		svc.group = s.view.Group(name)
	}
}

// changedFor reports whether the new view tells anything new of the service's
// targets.
func (s *Shard) changedFor(svc *service) bool {
	changed := svc.group != s.view.Group(svc.name)
	for _, name := range sortedKeys(svc.targets) {
		t := svc.targets[name]
		h := s.probed(svc, name)
		changed = changed || h != t.placedAt
		t.placedAt = h
	}
	return changed
}

// updateTargets gives each member its address and share, and takes both from
// targets that are gone. A target that leaves keeps only the connections that
// belong to sessions.
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
	for _, name := range sortedKeys(svc.targets) {
		if !members[name] {
			s.closeAll(svc.targets[name].pool.Update("", types.Share{}))
		}
	}
}

func (s *Shard) updateMember(svc *service, m types.Target) {
	if svc.departures.Update(m, s.now) {
		s.emit(effect.Decide{Kind: effect.DecideDrain, Service: svc.name, Target: m.Name, Host: s.options.Host, Reason: "the target gets no new work"})
		s.rearmLeaving(svc, m.Name)
	}
	share := s.view.Shares[types.TargetRef{Service: svc.name, Name: m.Name}]
	if m.State != types.TargetActive {
		share = types.Share{}
	}
	s.closeAll(svc.target(m.Name).pool.Update(m.Address, share))
}

// rearmLeaving bounds the transactions that run on a leaving target.
func (s *Shard) rearmLeaving(svc *service, name types.TargetName) {
	for _, c := range s.owners(svc, name) {
		s.armSession(c)
	}
}

// owners returns the sessions that hold a connection of the target.
func (s *Shard) owners(svc *service, name types.TargetName) []*session {
	var owners []*session
	for _, conn := range svc.target(name).pool.ConnsInUse() {
		owners = append(owners, s.sessions[conn.Owner])
	}
	return owners
}

// dropReplaced ends what runs on a primary that was replaced: nothing of it
// can be acknowledged any more.
func (s *Shard) dropReplaced(svc *service) {
	if svc.managed(s.view) {
		return // the target itself refuses what it can't do any more
	}
	old, g := svc.group, s.view.Group(svc.name)
	if !hasPrimary(old) || (hasPrimary(g) && g.Term == old.Term) {
		return
	}
	reason := fmt.Sprintf("primary %s of term %d was replaced", old.Primary, old.Term)
	for _, c := range s.owners(svc, old.Primary) {
		switch {
		case c.inTransaction() && c.onReplica:
		case c.inTransaction():
			s.endTransaction(c, types.RefuseReplaced, reason)
		case c.request != nil && !c.request.replica:
			s.attemptFailed(c.request, true, types.RefuseReplaced, reason)
		}
	}
}

// replaceWaiting looks again at the requests that wait for positions.
func (s *Shard) replaceWaiting(svc *service) {
	for _, r := range svc.waitingInOrder() {
		switch {
		case r.stage == stageDurable:
			s.acknowledge(r)
		case s.sessionFloor(r.session, r.floorDeadline()):
			delete(svc.waiting, r)
			s.place(r)
		}
	}
}

// replaceQueued puts each queued request into the queue where it belongs now.
func (s *Shard) replaceQueued(svc *service) {
	var all []*request
	for _, key := range sortedKeys(svc.queues) {
		all = append(all, svc.queues[key].drain()...)
		if key != primaryKey {
			delete(svc.queues, key)
		}
	}
	for _, r := range all {
		r.entry = nil
		r.stage = stageBackoff
		s.place(r)
	}
}
