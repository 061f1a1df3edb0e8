package session

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// unknownAge is the age of a position that is not known.
const unknownAge = -time.Millisecond

// decide records a decision about a request with what it rests on.
func (s *Shard) decide(r *request, kind effect.Decision, reason string) {
	s.emit(effect.Decide{
		Kind: kind, Service: r.session.service, Target: r.target, Host: s.options.Host,
		Reason: reason, Request: r.Label, Basis: s.basis(r),
	})
}

func (s *Shard) basis(r *request) *effect.Basis {
	b := &effect.Basis{
		View: s.seen(), Floor: r.floor, PositionAge: unknownAge, Waited: s.now.Sub(r.arrived), Tries: r.retries,
	}
	if s.view != nil && s.view.Cluster != nil {
		b.LeaseLeft = s.view.LeaseUntil.Sub(s.now)
		if s.view.Cluster.Config != nil {
			b.Config = s.view.Cluster.Config.Version
		}
	}
	if r.service == nil {
		return b
	}
	if at := r.service.samples.Latest(); at != 0 {
		b.PositionAge = s.now.Sub(at)
	}
	b.Waiting += r.service.queued()
	return b
}

// lateBy returns by how much the answer misses the profile's objective.
func (r *request) lateBy(now types.Instant) time.Duration {
	if r.profile.Objective <= 0 {
		return 0
	}
	return max(0, now.Sub(r.arrived)-r.profile.Objective)
}
