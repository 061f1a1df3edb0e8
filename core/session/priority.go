package session

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// queueingDivisor divides the shortest objective of a service into the time that one
	// statement may wait at the target. A transaction waits about four times, levels settle
	// at up to twice that delay, and two thirds of the objective are left for the rest.
	queueingDivisor = 24
	// admissionInterval is the shortest time until another try of a request that was not
	// admitted: about the time of one statement.
	admissionInterval = 50 * time.Millisecond
	// busyDelayFactor multiplies the tolerated delay to the one that a rejection for lack
	// of capacity counts as.
	busyDelayFactor = 4
)

const higherPriorityReason = "the targets serve requests of a higher priority"

// serviceClasses is what the profiles of the routes to a service have in common.
type serviceClasses struct {
	config     *types.Config // that it was computed from
	priorities []int         // sorted
	tolerated  time.Duration // time that a statement may wait at a target
}

// priorityClasses returns the classes of the service in the present configuration.
func (s *Shard) priorityClasses(svc *service) *serviceClasses {
	config := s.view.Cluster.Config
	if svc.classes.config == config {
		return &svc.classes
	}
	c := serviceClasses{config: config}
	for _, route := range config.Routes {
		p, ok := config.Profiles[route.Profile]
		if route.Service != svc.name || !ok {
			continue
		}
		c.priorities = append(c.priorities, p.Priority)
		if wait := p.Objective / queueingDivisor; wait > 0 && (c.tolerated == 0 || wait < c.tolerated) {
			c.tolerated = wait
		}
	}
	slices.Sort(c.priorities)
	c.priorities = slices.Compact(c.priorities)
	svc.classes = c
	return &svc.classes
}

// observeQueueing adapts the admission level of a target to an answer.
func (s *Shard) observeQueueing(r *request, res types.Result, latency time.Duration) {
	if !s.view.Cluster.Config.PriorityOrder || r.BeginsTx {
		return
	}
	t, c := r.service.target(r.target), s.priorityClasses(r.service)
	switch {
	case executed(res):
		t.level.Observe(s.now, t.stats.Queued(latency), c.tolerated, len(c.priorities))
	case res.Err == types.TargetErrBusy:
		t.level.Observe(s.now, busyDelayFactor*c.tolerated, c.tolerated, len(c.priorities))
	}
}

// admitByPriority reports whether a target of the queue admits one more request of the
// profile's priority. If none does, it lets the request wait for another try, or refuses it
// if it would be late by then.
func (s *Shard) admitByPriority(r *request, q *queue) bool {
	if !q.byPriority() || r.admitted {
		return true
	}
	if !r.usageCounted {
		s.usage.Add(r.organisation, s.now)
		r.usageCounted = true
	}
	admitted := s.admittedPart(r, q)
	if s.randomFraction() < admitted {
		return true
	}
	pause := time.Duration(float64(admissionInterval) / admitted)
	answered := s.now.Add(pause + s.lowestLatency(r.service, q))
	if answered >= r.deadline || answered.Sub(r.arrived) > q.waitLimit(r, s.now) {
		s.refuseOverloaded(r, q, effect.CausePriority, higherPriorityReason)
		return false
	}
	s.recordDecision(r, effect.DecideRequeue, effect.CausePriority, higherPriorityReason)
	r.stage, r.retryAt = stageBackoff, s.now.Add(pause)
	s.armSessionTimer(r.session)
	return false
}

// admittedPart returns the part of the requests of the profile's priority that the targets of
// the queue admit.
func (s *Shard) admittedPart(r *request, q *queue) float64 {
	c := s.priorityClasses(r.service)
	rank, _ := slices.BinarySearch(c.priorities, r.profile.Priority)
	targets := s.queueTargets(r.service, q)
	if len(targets) == 0 {
		return 1
	}
	var best float64
	for _, name := range targets {
		best = max(best, r.service.target(name).level.Probability(rank, len(c.priorities)))
	}
	return s.usage.Part(r.organisation, best)
}

// randomFraction returns a random number in [0, 1).
func (s *Shard) randomFraction() float64 {
	const bits = 53 // of the mantissa
	return float64(s.random()>>(64-bits)) / (1 << bits)
}
