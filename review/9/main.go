// Command 9 removes a service from the configuration and adds it again, between two
// failovers of its primary under two control leaders.
package main

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/review/harness"
)

const (
	// applied is config_apply_ms and some time more.
	applied = 3500 * time.Millisecond
	// settled is contact_ms, after which the core counts as stable.
	settled = 4500 * time.Millisecond
	// limit bounds each wait.
	limit = 20 * time.Second
)

func main() { harness.Main(3, 2, play) }

func config(version int, withLedger bool) string {
	routes, services := harness.Route("r2", "other", "primary", "other", 0), harness.Service("other", 0)
	if withLedger {
		routes += "," + harness.Route("r1", "stock", "primary", "ledger", 0)
		services += "," + harness.Service("ledger", 0)
	}
	return harness.Config(version, routes, services)
}

func play(s *harness.System, trouble bool) (int, error) {
	g, err := s.NewGroup("ledger", []string{"i-a", "i-b", "i-c"})
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	operator, err := s.StartAll(3, 2, config(7, true))
	if err != nil {
		return 0, err
	}
	if err := s.AwaitReady(limit, "frontend-1", "frontend-2"); err != nil {
		return 0, err
	}
	if err := failOver(s, g); err != nil {
		return 0, err
	}
	if trouble {
		for _, change := range []struct {
			version int
			ledger  bool
		}{{9, false}, {12, true}} {
			if status := operator.Put(config(change.version, change.ledger), limit); status != 200 {
				return 0, fmt.Errorf("version %d was answered with %d", change.version, status)
			}
			time.Sleep(applied)
		}
	}
	if err := s.AwaitSuccess("frontend-1", "stock", "WRITE item1 again", limit); err != nil {
		return 0, err
	}
	calls := s.Platform.All()
	if len(calls) == 0 {
		return 0, fmt.Errorf("no member was promoted at the first failover")
	}
	leader := calls[len(calls)-1].Holder
	s.Kill(leader)
	time.Sleep(500 * time.Millisecond)
	if err := s.Start(leader, false); err != nil {
		return 0, err
	}
	time.Sleep(settled)
	if err := failOver(s, g); err != nil {
		return 0, err
	}
	return check(s), nil
}

// failOver crashes the primary, waits until another member serves writes, and starts the
// crashed one again.
func failOver(s *harness.System, g *harness.Group) error {
	if err := s.AwaitSuccess("frontend-1", "stock", "WRITE item0 before", limit); err != nil {
		return err
	}
	old := g.Primary()
	g.Member(old).Crash()
	if err := s.AwaitSuccess("frontend-1", "stock", "WRITE item0 after", limit); err != nil {
		return err
	}
	return g.Member(old).Restart()
}

// check looks for a fencing token with which two holders promoted.
func check(s *harness.System) int {
	holders := map[uint64]string{}
	code := harness.Held
	for _, c := range s.Platform.All() {
		if c.Status != 200 {
			continue
		}
		if other, ok := holders[c.Token]; ok && other != c.Holder {
			s.Record.Add("check: %s and %s promoted members of %s with the same fencing token %d", other, c.Holder, c.Service, c.Token)
			code = harness.Broken
		}
		holders[c.Token] = c.Holder
	}
	return code
}
