package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// TestIdleProxiesHoldShares checks that a proxy that has served nothing can
// use every target, before anybody asks and while no control host leads.
func TestIdleProxiesHoldShares(t *testing.T) {
	w := newWorld(t, 7, 3, 4, 3)
	w.waitServing()
	w.cluster.Run(3 * time.Second)
	for _, id := range w.proxyIDs() {
		for _, name := range w.targetNames() {
			ref := types.TargetRef{Service: service, Name: name}
			if share := w.proxies[id].view.Shares[ref]; share.Connections < 2 {
				t.Errorf("%s may open %d connections to %s", id, share.Connections, name)
			}
		}
	}
}
