package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// unknownAge is the age of a position that is not known.
const unknownAge = -time.Millisecond

// recordDecision records a decision about a request and the state that it was
// based on.
func (s *Shard) recordDecision(r *request, kind effect.Decision, cause effect.Cause, reason string) {
	basis := s.basis(r)
	basis.Cause = cause
	s.emit(effect.Decide{
		Kind: kind, Service: r.session.service, Target: r.target, Host: s.options.Host,
		Reason: reason, Request: r.Label, Basis: basis, Organisation: r.organisation,
	})
}

// rejectionCauses maps the errors of targets that rejected a request to the
// causes in decision records.
var rejectionCauses = map[types.TargetErrorKind]effect.Cause{
	types.TargetErrBusy:     effect.CauseNoCapacity,
	types.TargetErrBehind:   effect.CauseBehind,
	types.TargetErrReadOnly: effect.CauseNotPrimary,
}

// basis returns the state that decisions about the request are based on.
func (s *Shard) basis(r *request) *effect.Basis {
	b := ViewBasis(s.view, s.now)
	b.Floor, b.Elapsed, b.Retries = r.floor, s.now.Sub(r.arrived), r.retries
	if r.service == nil {
		return b
	}
	b.PositionAge = s.positionAge(r.service)
	b.QueuedRequests = r.service.queued()
	return b
}

// ViewBasis returns the part of a decision's basis that a view provides.
func ViewBasis(view *types.NodeView, now types.Instant) *effect.Basis {
	b := &effect.Basis{PositionAge: unknownAge}
	if view == nil || view.Cluster == nil {
		return b
	}
	b.ViewVersion, b.LeaseLeft = view.Cluster.Version, view.LeaseUntil.Sub(now)
	if view.Cluster.Config != nil {
		b.ConfigVersion = view.Cluster.Config.Version
	}
	return b
}

// positionAge returns how long ago the primary's last known position was
// requested, or unknownAge.
func (s *Shard) positionAge(svc *service) time.Duration {
	at := types.Instant(0)
	if svc != nil {
		at = svc.samples.LastRequestedAt()
	}
	if at == 0 {
		return unknownAge
	}
	return s.now.Sub(at)
}

// lateBy returns by how much an answer at now misses the profile's objective.
func (r *request) lateBy(now types.Instant) time.Duration {
	if r.profile.Objective <= 0 {
		return 0
	}
	return max(0, now.Sub(r.arrived)-r.profile.Objective)
}
