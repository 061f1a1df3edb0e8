package session

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/drain"
	"github.com/camphorpaddle/camphorpaddle/core/freshness"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/retry"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// service is the traffic state of one service.
type service struct {
	name       types.ServiceName
	key        uint64 // numbers its timer
	targets    map[types.TargetName]*target
	queues     map[string]*queue
	waiting    map[*request]bool // for the floor or for a majority
	departures drain.Departures
	budget     *retry.Budget
	writing    int          // sessions with a write or a transaction on the primary
	group      *types.Group // group that the shard acted on last
	samples    freshness.Samples
	took       map[types.ProfileName]*routing.Stats // time that statements of each profile take

	// Of a managed service.
	leader       leader
	suspectUntil types.Instant // the primary has failed a request lately
	silence      silence       // of the primary
}

// target is what the shard knows of one member of a service.
type target struct {
	pool    *pool.Target
	stats   routing.Stats
	learned types.TargetHealth // status that came with an answer

	caughtUp  bool               // holds all that it ever held in the term
	mustReach types.LogPos       // position after which it is caught up
	last      types.TargetHealth // its probe in the last view
	awayUntil types.Instant      // when it was last seen to be away
	placedAt  types.TargetHealth // its probe when the queued requests were last placed

	behind behind // of a managed service

	heardAt     types.Instant // when it last answered anything
	answeredAt  types.Instant // when it last ran an operation
	steadySince types.Instant // when it began to answer without a pause
	failures    int           // exchanges in a row that it left without an answer
	avoidUntil  types.Instant // until when it gets no new reads for that
}

// answered takes in that the target ran an operation.
func (t *target) answered(now types.Instant, took time.Duration) {
	if now.Sub(t.answeredAt) > answerPause {
		t.steadySince = now
	}
	t.answeredAt = now
	t.failures, t.avoidUntil = 0, 0
	t.stats.Observe(took)
}

// steady reports whether the target has answered without a pause for long.
func (t *target) steady(now types.Instant) bool {
	return now.Sub(t.answeredAt) <= answerPause && now.Sub(t.steadySince) >= steadyAfter
}

// service returns the state of a service and creates it with its targets.
func (s *Shard) service(name types.ServiceName) *service {
	svc, ok := s.services[name]
	if !ok {
		svc = &service{
			name: name, key: uint64(len(s.services) + 1),
			targets: make(map[types.TargetName]*target),
			queues:  make(map[string]*queue),
			waiting: make(map[*request]bool),
			budget:  retry.NewBudget(),
			took:    make(map[types.ProfileName]*routing.Stats),
		}
		s.services[name] = svc
		svc.group = s.view.Group(name)
		s.followLeader(svc)
		s.sampleProbe(svc)
		s.updateTargets(svc)
		s.followCatchUp(svc)
	}
	return svc
}

// queued returns how many requests wait for a connection.
func (svc *service) queued() int {
	n := 0
	for _, q := range svc.queues {
		n += q.len()
	}
	return n
}

// target returns the state of a member.
func (svc *service) target(name types.TargetName) *target {
	t, ok := svc.targets[name]
	if !ok {
		t = &target{pool: pool.NewTarget(types.TargetRef{Service: svc.name, Name: name})}
		svc.targets[name] = t
	}
	return t
}

// work returns how long a statement of a profile takes on a target.
func (svc *service) work(name types.ProfileName) time.Duration {
	if st := svc.took[name]; st != nil {
		return st.Latency()
	}
	return 0
}

// learnWork takes in how long a statement of a profile took.
func (svc *service) learnWork(name types.ProfileName, took time.Duration) {
	st := svc.took[name]
	if st == nil {
		st = &routing.Stats{}
		svc.took[name] = st
	}
	st.Observe(took)
}

// health returns the latest that is known of a target: what its last probe
// brought, or what came with an answer to a request sent after that probe.
func (svc *service) health(v *types.NodeView, name types.TargetName) types.TargetHealth {
	h := v.Health[types.TargetRef{Service: svc.name, Name: name}]
	t, ok := svc.targets[name]
	switch {
	case !ok:
	case t.learned.AskedAt > h.AskedAt:
		h.Term, h.Primary, h.Pos = t.learned.Term, t.learned.Primary, t.learned.Pos
		h.AskedAt, h.HeardAt = t.learned.AskedAt, t.learned.HeardAt
	case t.learned.HeardAt >= h.AskedAt && t.learned.Term == h.Term && t.learned.Pos.Compare(h.Pos) > 0:
		h.Pos = t.learned.Pos // both were under way at once; the probe was answered first
	}
	return h
}

// learn takes in the status that came with an answer.
func (svc *service) learn(name types.TargetName, st types.TargetStatus, asked, heard types.Instant) {
	t := svc.target(name)
	if asked < t.learned.AskedAt {
		return
	}
	t.learned = types.TargetHealth{
		Term: st.Term, Primary: st.Primary, Pos: st.Pos, AskedAt: asked, HeardAt: heard,
	}
}

// waitingOrNil makes the set usable for requests that found no service.
func (svc *service) waitingOrNil() map[*request]bool {
	if svc == nil {
		return nil
	}
	return svc.waiting
}

// waitingInOrder returns the waiting requests in the order of their sessions.
func (svc *service) waitingInOrder() []*request {
	return slices.SortedFunc(maps.Keys(svc.waiting), func(a, b *request) int {
		return cmp.Compare(a.session.id, b.session.id)
	})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
