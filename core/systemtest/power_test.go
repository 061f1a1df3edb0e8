package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestChangeBeforeAPowerLoss stops all control hosts and proxies some time after a
// change was sent, or right after its answer, and starts them again. The operators
// check that an answered change keeps its answer, that an unanswered one gets an
// answer, and that no version means two configurations.
func TestChangeBeforeAPowerLoss(t *testing.T) {
	const afterAnswer = 0
	delays := []time.Duration{afterAnswer, 1, 2, 5, 10, 20, 40, 80, 150, 250, 400}
	for seed, delay := range delays {
		t.Run(fmt.Sprint(delay*time.Millisecond), func(t *testing.T) {
			m := &machine{simulation: newSimulation(t, uint64(seed)+40, voters, 3, 3)}
			m.awaitServing()
			m.operators.send(m.leader, operatorCall{change: m.operators.change(3)})
			if delay == afterAnswer {
				answered := func() bool { return len(m.operators.unanswered()) == 0 }
				assert.Assert(t, m.cluster.RunUntil(recoveryBound, answered), "the change has no answer within %v", recoveryBound)
			} else {
				m.cluster.Run(delay * time.Millisecond)
			}
			m.losePower()
			m.operators.checkConverged()
			m.checkChange()
			m.checkAllServe()
		})
	}
}

// losePower stops all control hosts and proxies at once and restarts them after a
// second.
func (m *machine) losePower() {
	for _, id := range append(m.controls(), m.proxyIDs()...) {
		m.stop(id)
	}
	m.cluster.Run(time.Second)
	m.recover()
	m.cluster.Run(failoverBound)
}

// TestLargeConfiguration changes a configuration with 350 routes 200 times, each time
// to another set of routes, and loses power after the last change.
func TestLargeConfiguration(t *testing.T) {
	const changes, routes = 200, 350
	m := &machine{simulation: newSimulation(t, 60, voters, 3, 3)}
	m.awaitServing()
	var last proto.ChangeConfig
	for n := range changes {
		last = m.operators.change(3)
		last.Config.Routes = make(map[types.DatabaseName]types.Route)
		for r := range routes {
			name := types.DatabaseName(fmt.Sprintf("database-%d", n+r))
			last.Config.Routes[name] = types.Route{Database: name, Service: service, Profile: "session"}
		}
		m.operators.send(m.leader, operatorCall{change: last})
		m.cluster.Run(20 * time.Millisecond)
	}
	m.losePower()
	m.operators.checkConverged()
	assert.Equal(t, m.operators.version, uint64(changes+1))
	for _, id := range m.proxyIDs() {
		assert.DeepEqual(t, m.proxies[id].view.Cluster.Config.Routes, last.Config.Routes)
	}
	m.checkAllServe()
}
