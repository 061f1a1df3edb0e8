package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// TestIdleProxiesHoldShares checks that a proxy has a share of every target before its
// first request, so that it can serve even while there is no control leader.
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
}
