package session

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/organisation"
	"github.com/camphorpaddle/camphorpaddle/core/quota"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// quotaTimeout is how long a request waits for a right of its organisation under a
	// lease: as long as it takes to elect another control leader.
	quotaTimeout = time.Second
	// quotaLogInterval is the minimum time between two log records that an organisation is
	// at its limit.
	quotaLogInterval = time.Second
)

// quotaDeadline returns until when a request waits for a right. Before the first lease of
// the process, control has not answered yet, as after a restart of all hosts.
func (s *Shard) quotaDeadline(r *request) types.Instant {
	if s.view.LeaseUntil == 0 {
		return r.queueDeadline
	}
	return min(r.queueDeadline, s.now.Add(quotaTimeout))
}

// admitByQuota reports whether the limit of the caller's organisation allows the request
// now. Otherwise the request is refused, or waits while control may have a right for it.
// A transaction is admitted at its beginning.
func (s *Shard) admitByQuota(r *request) bool {
	if r.organisation == "" || r.inTx {
		return true
	}
	verdict := quota.Wait
	if len(s.lacking[r.organisation]) == 0 {
		verdict = s.quotas.Admit(s.view, r.organisation, s.now)
	}
	switch verdict {
	case quota.Admitted:
		return true
	case quota.Wait:
		s.awaitRight(r)
	case quota.Refused:
		s.refuseOverQuota(r)
	}
	return false
}

// awaitRight adds a request to those that wait for a right of their organisation.
func (s *Shard) awaitRight(r *request) {
	r.stage, r.retryAt, r.quotaDeadline = stageQuota, math.MaxInt64, s.quotaDeadline(r)
	s.lacking[r.organisation] = append(s.lacking[r.organisation], r)
	if len(s.lacking[r.organisation]) == 1 {
		s.awaitFreeRight(r)
	}
	s.quotas.SetWaiting(r.organisation, len(s.lacking[r.organisation]))
	s.reports.urgent = true
	s.armSessionTimer(r.session)
}

// removeLacking removes a request from those that wait for a right.
func (s *Shard) removeLacking(r *request) {
	name := r.organisation
	left := slices.DeleteFunc(s.lacking[name], func(other *request) bool { return other == r })
	if len(left) == 0 {
		delete(s.lacking, name)
	} else {
		s.lacking[name] = left
		s.awaitFreeRight(left[0])
	}
	s.quotas.SetWaiting(name, len(left))
}

// recheckLacking starts the waiting requests for which there are rights now, and refuses
// those for which there will be none.
func (s *Shard) recheckLacking() {
	for _, name := range sortedKeys(s.lacking) {
		for len(s.lacking[name]) > 0 && s.recheck(s.nextLacking(name)) {
		}
	}
}

// nextLacking returns the waiting request of an organisation that goes first: those that can
// still be answered in time before the others, then in the order of arrival. Otherwise a
// backlog would use up the rights that come back, and make all later requests late.
func (s *Shard) nextLacking(name types.OrganisationName) *request {
	for _, r := range s.lacking[name] {
		if !r.lateAt(s.now) {
			return r
		}
	}
	return s.lacking[name][0]
}

// recheckRight starts a waiting request if a right of this shard has come free. Otherwise it
// refuses the request at the end of its wait.
func (s *Shard) recheckRight(r *request) {
	s.recheckLacking()
	switch {
	case r.stage != stageQuota:
	case s.now >= r.quotaDeadline:
		s.refuseOverQuota(r)
	default:
		s.awaitFreeRight(r)
	}
}

// awaitFreeRight lets the first waiting request of an organisation try again when the next
// right of this shard is free.
func (s *Shard) awaitFreeRight(r *request) {
	r.retryAt = s.quotas.NextFree(r.organisation, s.now)
	s.armSessionTimer(r.session)
}

// recheck reports whether a waiting request has ended its wait.
func (s *Shard) recheck(r *request) bool {
	if s.view.Cluster == nil {
		return false
	}
	if organisation.Revoked(s.view, r.session.key, r.organisation) {
		s.refuse(r, types.RefuseUnknownKey, r.outcome(), fmt.Sprintf("the key does not belong to organisation %q any more", r.organisation))
		return true
	}
	switch s.quotas.Admit(s.view, r.organisation, s.now) {
	case quota.Admitted:
		s.abandon(r)
		s.begin(r)
	case quota.Refused:
		s.refuseOverQuota(r)
	default:
		return false
	}
	return true
}

// refuseOverQuota refuses a request that the limit of its organisation doesn't allow.
func (s *Shard) refuseOverQuota(r *request) {
	reason := fmt.Sprintf("organisation %q is at its limit", r.organisation)
	retryAfter := s.quotas.Refuse(r.organisation, s.now)
	if s.now.Sub(s.quotaLoggedAt) >= quotaLogInterval {
		s.quotaLoggedAt = s.now
		s.emit(effect.Decide{
			Kind: effect.DecideQuotaReached, Host: s.options.Host, Version: s.viewVersion(), Organisation: r.organisation,
			Reason: fmt.Sprintf("%s; this proxy may begin %d operations in each period", reason, s.view.Quotas[r.organisation].Rights),
		})
	}
	s.refuseUntil(r, types.RefuseOverQuota, r.outcome(), reason, retryAfter)
}

// chargeQuota counts the retry of a request whose last attempt was sent, since the targets
// may run it once more.
func (s *Shard) chargeQuota(r *request, sent bool) {
	if r.organisation != "" && sent {
		s.quotas.Charge(s.view, r.organisation, s.now)
	}
}
