// Command 9 has a member fail a part of its requests while clients with session values send
// statements.
package main

import (
	"fmt"
	"maps"
	"sync"
	"time"

	harness "github.com/camphorpaddle/camphorpaddle/review/harness/platform"
)

const (
	// failShare is the part of its requests that the grey member fails (srv_grey, x).
	failShare = 0.4
	// greyFor is how long the member is grey (srv_grey, for_s).
	greyFor = 6 * time.Second
	// sessions is the number of clients, half of them at each proxy.
	sessions = 12
	limit    = 20 * time.Second
)

func main() { harness.Main(3, 2, play) }

// ledger holds the values that were acknowledged to the client of each statement.
type ledger struct {
	mu     sync.Mutex
	values map[string]map[string]string // by id
}

func play(s *harness.System, trouble bool) (int, error) {
	g, err := s.NewGroup("ledger", []string{"i-a", "i-b", "i-c"})
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	services := harness.Service("ledger", 0)
	for _, name := range []string{"second", "third"} { // the grey member is one of nine
		idle, err := s.NewGroup(name, []string{"i-" + name + "-a", "i-" + name + "-b", "i-" + name + "-c"})
		if err != nil {
			return 0, err
		}
		defer idle.Stop()
		services += "," + harness.Service(name, 0)
	}
	config := harness.Config(7, harness.Route("r1", "stock", "primary", "ledger", 0), services)
	if _, err := s.StartAll(3, 2, config); err != nil {
		return 0, err
	}
	if err := s.AwaitReady(limit, "frontend-1", "frontend-2"); err != nil {
		return 0, err
	}
	if err := s.AwaitSuccess("frontend-1", "stock", "WRITE item0 first", limit); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		g.SetFailShare("i-a", failShare)
	}
	l := &ledger{values: map[string]map[string]string{}}
	var running sync.WaitGroup
	for i := range sessions {
		running.Go(func() {
			for until := time.Now().Add(greyFor); time.Now().Before(until); {
				session(s, l, []string{"frontend-1", "frontend-2"}[i%2], i, until)
			}
		})
	}
	running.Wait()
	return check(s, g, l), nil
}

// session opens a session, sets a value and sends statements until an error or until the
// time is up. The client closes its session after an error in response to SET.
func session(s *harness.System, l *ledger, proxy string, n int, until time.Time) {
	c, err := s.Dial(proxy, "stock", fmt.Sprint("u", n))
	if err != nil {
		return
	}
	defer c.Close()
	acked := map[string]string{}
	for i := 0; time.Now().Before(until); i++ {
		if i%5 == 0 {
			value := fmt.Sprintf("v%d-%d", n, i)
			_, lines, err := c.Query("SET zone "+value, 2*time.Second)
			if err != nil || !harness.Succeeded(lines) {
				return
			}
			acked["zone"] = value
		}
		text := "READ item0"
		if i%3 == 0 {
			text = fmt.Sprintf("WRITE item%d value%d", n+1, i)
		}
		id := harness.NextID()
		l.mu.Lock()
		l.values[id] = maps.Clone(acked)
		l.mu.Unlock()
		if _, err := c.QueryAs(id, text, 2*time.Second); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// check compares the values of the connection on which each statement ran with those that
// were acknowledged to its client.
func check(s *harness.System, g *harness.Group, l *ledger) int {
	ran, wrong := 0, 0
	for _, r := range g.Executed() {
		want, ok := l.values[r.ID]
		if !ok {
			continue
		}
		ran++
		if !maps.Equal(want, r.Values) {
			wrong++
			s.Record.Add("check: %s %q ran on %s with values %v instead of %v", r.ID, r.Text, r.Member, r.Values, want)
		}
	}
	s.Record.Add("check: %d statements ran, %d of them with other session values than were acknowledged", ran, wrong)
	if wrong > 0 {
		return harness.Broken
	}
	return harness.Held
}
