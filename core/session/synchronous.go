package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// This file holds the rules for commits of services with synchronous replicas. Control
// promotes a member that holds every commit that callers know of. It reads the positions
// of the members once no proxy acts on the earlier term any more. A commit that a replica
// receives later is missed, so its success may only be relayed under the lease.

// synchronous reports whether the request may append to the log of a service with
// synchronous replicas.
func (s *Shard) synchronous(r *request) bool {
	return r.MayCommit && s.view.Cluster.Config.Synchronous(r.service.name)
}

// lacksLease reports whether the request must not be sent, because no live lease on a
// confirmed primary would allow its commit to be acknowledged.
func (s *Shard) lacksLease(r *request) bool {
	return s.synchronous(r) && !(s.leaseLive() && r.service.primary.leased)
}

// awaitLease holds a request back until a view brings a lease on a confirmed primary.
func (s *Shard) awaitLease(r *request) { s.awaitView(r, stageLease) }

// resumeLeased continues with a request that waited for a lease.
func (s *Shard) resumeLeased(r *request) {
	delete(r.service.waiting, r)
	if r.inTx {
		s.startPinned(r)
		return
	}
	s.place(r)
}

// checkSynchronousCommit accepts the success of a commit if a lease still rules out that
// the primary which gave it was replaced. Without a lease or a confirmed primary it waits:
// the same primary may serve on.
func (s *Shard) checkSynchronousCommit(r *request) answerCheck {
	p := r.service.primary
	samePrimary := p.name == r.target && p.term == r.sentTerm
	switch {
	case samePrimary && s.underLease(r):
		return answerCheck{ok: true}
	case samePrimary, p.name == "":
		return answerCheck{wait: true}
	}
	return targetReplaced(r)
}

// refuseUnconfirmed refuses a commit whose primary was not confirmed in time. The target
// has executed it, and the next primary may hold it or not.
func (s *Shard) refuseUnconfirmed(r *request) {
	s.refuse(r, s.unavailableCode(r), types.Unknown,
		fmt.Sprintf("target %s was not confirmed as the primary of term %d after it had answered", r.target, r.sentTerm))
}
