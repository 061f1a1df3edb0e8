package probe_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/probe"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// managedView returns a view whose service is managed.
func managedView(syncReplicas int) *types.ClusterView {
	v := view(1, primary.Name)
	v.Config = &types.Config{Services: map[types.ServiceName]types.Service{
		service: {Name: service, Connections: 20, Managed: true, SyncReplicas: syncReplicas},
	}}
	return v
}

// reportedFailing reports whether control is told that the primary fails.
func reportedFailing(p *probe.Prober, now types.Instant) bool {
	for _, r := range p.Reports(now) {
		if r.Ref == primary {
			return r.Failing
		}
	}
	return false
}

// TestPrimaryThatWaitsForItsReplicasIsKept guards against the replacement of a primary that
// answers no requests because it may acknowledge no commit before a replica has received it.
func TestPrimaryThatWaitsForItsReplicasIsKept(t *testing.T) {
	const since, now = 1000 * ms, 2100 * ms
	status := func(p *probe.Prober) { answerProbe(p, primary, now, now, 7) }
	for _, tt := range []struct {
		name            string
		syncReplicas    int
		primaryAnswers  func(*probe.Prober)
		replicaProbedAt types.Instant
		replicaPosition uint64
		silentFor       time.Duration
		failing         bool
	}{
		{"replica lacks commits", 1, status, now, 3, time.Second, false},
		{"replica is not known", 1, status, 0, 0, time.Second, false},
		{"replica was known before", 1, status, since - 1, 7, time.Second, false},
		{"replica holds everything", 1, status, now, 7, time.Second, true},
		{"replica lacks commits for long", 1, status, now, 3, 4 * time.Second, true},
		{"two replicas have to confirm", 2, status, now, 7, time.Second, false},
		{"no replica has to confirm", 0, status, now, 3, time.Second, true},
		{"primary has no capacity for a probe", 1, rejectProbe, now, 3, time.Second, false},
		{"primary leaves a probe unanswered", 1, ignoreProbe, now, 3, time.Second, true},
		{"primary was not probed yet", 1, func(*probe.Prober) {}, now, 3, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := probe.New()
			p.SetView(managedView(tt.syncReplicas), 1*ms)
			if tt.replicaProbedAt != 0 {
				answerProbe(p, replica, tt.replicaProbedAt, tt.replicaProbedAt, tt.replicaPosition)
			}
			p.SetSilentSince(map[types.ServiceName]types.Instant{service: since})
			tt.primaryAnswers(p)
			at := now + types.Instant(tt.silentFor) - types.Instant(time.Second)
			assert.Equal(t, reportedFailing(p, at), tt.failing)
		})
	}
}

// rejectProbe has the primary answer a probe at 2,100 ms that it has no capacity.
func rejectProbe(p *probe.Prober) {
	p.Step(event.Input{Now: 2050 * ms, Event: tick})
	p.Step(event.Input{Now: 2100 * ms, Event: event.Probed{Ref: primary, ProbedAt: 2050 * ms, Busy: true}})
}

// ignoreProbe has the primary accept the connection of a probe and answer nothing.
func ignoreProbe(p *probe.Prober) {
	p.Step(event.Input{Now: 1500 * ms, Event: tick})
	p.Step(event.Input{Now: 2100 * ms, Event: event.Probed{Ref: primary, ProbedAt: 1500 * ms, Busy: true, Unanswered: true}})
}

// TestReplicasOfASilentPrimaryAreProbed checks that the positions that decide are asked for.
func TestReplicasOfASilentPrimaryAreProbed(t *testing.T) {
	p := probe.New()
	p.SetView(managedView(1), 1*ms)
	answerProbe(p, primary, 2000*ms, 2000*ms, 7)
	p.SetSilentSince(map[types.ServiceName]types.Instant{service: 1000 * ms})
	probed := probedTargets(p.Step(event.Input{Now: 2300 * ms, Event: tick}))
	assert.DeepEqual(t, probed, []types.TargetRef{primary, replica})
}
