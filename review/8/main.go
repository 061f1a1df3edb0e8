// Command 8 crashes a primary whose service has sync_replicas 1, while one replica is
// draining and the other receives nothing.
package main

import (
	"fmt"
	"time"

	harness "github.com/camphorpaddle/camphorpaddle/review/harness/platform"
)

const (
	// writes is how many values are written after the drain was acknowledged.
	writes = 20
	// promoteLimit is how long a new primary is awaited.
	promoteLimit = 6 * time.Second
)

func main() { harness.Main(3, 2, play) }

func play(s *harness.System, trouble bool) (int, error) {
	g, err := s.NewGroup("ledger", []string{"i-a", "i-b", "i-c"})
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	g.SyncReplicas = 1
	promoted := make(chan []string, 10)
	g.OnPromoted = func(_ *harness.Member, lost []string) { promoted <- lost }
	config := harness.Config(7, harness.Route("r1", "stock", "primary", "ledger", 0), harness.Service("ledger", 1))
	if _, err := s.StartAll(3, 2, config); err != nil {
		return 0, err
	}
	if err := s.AwaitReady(20*time.Second, "frontend-1", "frontend-2"); err != nil {
		return 0, err
	}
	if err := s.AwaitSuccess("frontend-1", "stock", "WRITE item0 first", 20*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // catch_up_s: all machines count as working
	g.Member("i-b").Drain()
	for end := time.Now().Add(5 * time.Second); g.DrainAcked("i-b").IsZero(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return 0, fmt.Errorf("the draining of i-b was not acknowledged")
		}
	}
	if trouble {
		g.Member("i-c").SetDeaf(true)
	}
	acked, err := write(s)
	if err != nil {
		return 0, err
	}
	s.Record.Add("clients: %d writes were acknowledged", acked)
	if acked == 0 {
		return 0, fmt.Errorf("no write was acknowledged")
	}
	if trouble {
		g.Member("i-a").Crash()
		time.AfterFunc(4*time.Second, func() { g.Member("i-c").SetDeaf(false) })
	}
	return outcome(s, g, trouble, promoted), nil
}

// write writes values one after the other and returns how many were acknowledged.
func write(s *harness.System) (int, error) {
	c, err := s.Dial("frontend-1", "stock", "writer")
	if err != nil {
		return 0, err
	}
	defer c.Close()
	acked := 0
	for i := range writes {
		_, lines, err := c.Query(fmt.Sprintf("WRITE item%d value%d", i+1, i+1), 2*time.Second)
		if err != nil {
			return acked, nil
		}
		if harness.Succeeded(lines) {
			acked++
		}
	}
	return acked, nil
}

// outcome checks that the member that is promoted has all acknowledged commits.
func outcome(s *harness.System, g *harness.Group, trouble bool, promoted chan []string) int {
	if !trouble {
		return harness.Held
	}
	select {
	case lost := <-promoted:
		if len(lost) > 0 {
			s.Record.Add("check: %d acknowledged commits are not in the log of the promoted member %s", len(lost), g.Primary())
			return harness.Broken
		}
	case <-time.After(promoteLimit):
		s.Record.Add("check: no member was promoted within %s", promoteLimit)
	}
	return harness.Held
}
