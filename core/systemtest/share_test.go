package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// TestIdleProxiesHoldShares checks that a proxy has a share of every target before its
// first request, so that it can serve even while there is no control leader: all control
// hosts crash, and each proxy accepts a write within the time that its lease has left.
func TestIdleProxiesHoldShares(t *testing.T) {
	s := newSimulation(t, 7, 3, 4, 3)
	s.awaitServing()
	s.cluster.Run(3 * time.Second)
	for _, id := range s.proxyIDs() {
		for _, name := range s.targetNames() {
			ref := types.TargetRef{Service: service, Name: name}
			if share := s.proxies[id].view.Shares[ref]; share.Connections < 2 {
				t.Errorf("%s has a share of %d connections to %s, expected at least 2", id, share.Connections, name)
			}
		}
	}
	for _, id := range s.controls() {
		s.cluster.Crash(id)
	}
	callers := make(map[types.HostID]*caller)
	for _, id := range s.proxyIDs() {
		callers[id] = s.oracle.newCaller()
		s.oracle.openSession(callers[id], s.proxies[id])
		s.oracle.write(callers[id], "")
	}
	s.cluster.Run(500 * time.Millisecond)
	for id, c := range callers {
		if len(c.acked) != 1 {
			t.Errorf("%s accepted %d writes without a control leader, refusals: %v", id, len(c.acked), s.oracle.refusals)
		}
	}
}
