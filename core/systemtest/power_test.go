package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestChangeBeforeAPowerLoss stops all processes some time after a change was
// sent, or right after its answer, and starts them again. The operators check
// that the change keeps the answer it had, that one without an answer gets one,
// and that no version stands for two configurations.
func TestChangeBeforeAPowerLoss(t *testing.T) {
	const afterTheAnswer = 0
	gaps := []time.Duration{afterTheAnswer, 1, 2, 5, 10, 20, 40, 80, 150, 250, 400}
	for seed, gap := range gaps {
		t.Run(fmt.Sprint(gap*time.Millisecond), func(t *testing.T) {
			m := &machine{world: newWorld(t, uint64(seed)+40, voters, 3, 3)}
			m.waitServing()
			m.operators.send(m.leading, operatorCall{change: m.operators.change(3)})
			if gap == afterTheAnswer {
				answered := func() bool { return len(m.operators.open()) == 0 }
				assert.Assert(t, m.cluster.RunUntil(settle, answered), "the change has no answer")
			} else {
				m.cluster.Run(gap * time.Millisecond)
			}
			m.losePower()
			m.operators.settled()
			m.checkChange()
			m.checkAllServe()
		})
	}
}

// losePower stops all control hosts and proxies at once and starts them again.
func (m *machine) losePower() {
	for _, id := range append(m.controls(), m.proxyIDs()...) {
		m.stop(id)
	}
	m.cluster.Run(time.Second)
	m.recover()
	m.cluster.Run(failoverBound)
}

// TestLargeConfiguration changes a configuration of 350 more routes 200 times,
// each time with another set of routes, and loses the power after the last.
func TestLargeConfiguration(t *testing.T) {
	const changes, routes = 200, 350
	m := &machine{world: newWorld(t, 60, voters, 3, 3)}
	m.waitServing()
	var last proto.ChangeConfig
	for n := range changes {
		last = m.operators.change(3)
		last.Config.Routes = make(map[types.DatabaseName]types.Route)
		for r := range routes {
			name := types.DatabaseName(fmt.Sprintf("database-%d", n+r))
			last.Config.Routes[name] = types.Route{Database: name, Service: service, Profile: "session"}
		}
		m.operators.send(m.leading, operatorCall{change: last})
		m.cluster.Run(20 * time.Millisecond)
	}
	m.losePower()
	m.operators.settled()
	assert.Equal(t, m.operators.version, uint64(changes+1))
	for _, id := range m.proxyIDs() {
		assert.DeepEqual(t, m.proxies[id].view.Cluster.Config.Routes, last.Config.Routes)
	}
	m.checkAllServe()
}
