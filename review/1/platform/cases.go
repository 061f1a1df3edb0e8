package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// route returns a route of a configuration.
func route(database, kind, service string, timeoutMs, staleMs int) string {
	return fmt.Sprintf(`{"name":"r-%s","database":%q,"path_prefix":"/","route_type":%q,"timeout_ms":%d,"objective_ms":1000,`+
		`"priority":1,"service":%q,"attempts":2,"max_staleness_ms":%d}`, database, database, kind, timeoutMs, service, staleMs)
}

// config returns a configuration.
func config(version int, services []string, routes ...string) string {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":%d,"protocol":"h1","tls":false,"sync_replicas":0}`, s, memberConnections))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"txn_idle_ms":3000}}`,
		version, strings.Join(routes, ","), strings.Join(list, ","))
}

// proxies is the number of proxies in the rig.
const proxies = 4

// traffic lets sessions write and read until stop is closed: each waits for pause on
// average between two operations. A session that was lost is opened again.
func (r *rig) traffic(h *history, database string, sessions int, pause time.Duration, writes float64, stop chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	for i := range sessions {
		running.Go(func() {
			name := fmt.Sprintf("client-%s-%d", database, i)
			var s *session
			for n := 0; ; n++ {
				select {
				case <-stop:
					if s != nil {
						s.close()
					}
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(pause))):
				}
				if s == nil {
					s, _ = r.open(fmt.Sprintf("front-%d", 1+i%proxies), database, name)
					continue
				}
				text := fmt.Sprintf("READ k%d", rand.IntN(10))
				if rand.Float64() < writes {
					text = fmt.Sprintf("WRITE k%d %s-%d", rand.IntN(10), name, n)
				}
				a := s.do(text)
				a.session = name
				h.add(a)
				if a.err != nil || s.state != "I" {
					s.close()
					s = nil
				}
			}
		})
	}
	return &running
}

// latePromotion lets the primaries of all services crash while the platform executes the
// promotions of one service late and without an answer.
func latePromotion(r *rig) error {
	services := []string{"booths", "cures", "floors", "shops"}
	var routes []string
	for _, name := range services {
		if _, err := newGroup(r, name); err != nil {
			return err
		}
		routes = append(routes, route("db-"+name, "primary", name, 1000, 0))
	}
	if err := r.startAll(config(1, services, routes...)); err != nil {
		return err
	}
	h, other, stop := &history{}, &history{}, make(chan struct{})
	running := []*sync.WaitGroup{
		r.traffic(h, "db-booths", 36, 600*time.Millisecond, 0.35, stop),
		r.traffic(other, "db-cures", 4, 600*time.Millisecond, 0.35, stop),
		r.traffic(other, "db-floors", 4, 600*time.Millisecond, 0.35, stop),
		r.traffic(other, "db-shops", 4, 600*time.Millisecond, 0.35, stop),
	}
	time.Sleep(3 * time.Second)
	for range 5 {
		if r.trouble {
			if err := r.crashPrimaries(4 * time.Second); err != nil {
				return err
			}
		}
		time.Sleep(11500 * time.Millisecond)
	}
	close(stop)
	for _, w := range running {
		w.Wait()
	}
	r.record("platform: %d calls, %d of them executed late", r.service.calls, r.service.lateOnes)
	if n := h.staleReads(r, r.groups[0], 0, false); n > 0 {
		return fmt.Errorf("%w: %d stale reads of %d", errBroken, n, len(h.reads))
	}
	return nil
}

// lateFor is how long promotions of the first service are late, and lateBy how much later
// they are executed.
const (
	lateFor = 6 * time.Second
	lateBy  = 9 * time.Second
)

// crashPrimaries lets the primaries of all services crash for a while. Meanwhile the
// platform executes the promotions of the first service late and without an answer.
func (r *rig) crashPrimaries(down time.Duration) error {
	r.service.setLate(r.groups[0].service, lateBy)
	time.AfterFunc(lateFor, func() { r.service.setLate(r.groups[0].service, 0) })
	var crashed []*member
	for _, g := range r.groups {
		g.mu.Lock()
		m := g.primary
		g.mu.Unlock()
		r.record("members: primary %s crashes", m.id)
		m.crash()
		crashed = append(crashed, m)
	}
	time.Sleep(down)
	for _, m := range crashed {
		r.record("members: %s is back", m.id)
		if err := m.restart(); err != nil {
			return err
		}
	}
	return nil
}

// routeMovedBack moves a route to another service and soon back again while the replicas
// of the services lag.
func routeMovedBack(r *rig) error {
	services := []string{"booths", "cures"}
	for _, name := range services {
		if _, err := newGroup(r, name); err != nil {
			return err
		}
	}
	to := func(version int, service string) string {
		return config(version, services, route("shuffle", "read_your_writes", service, 1000, 2500))
	}
	if err := r.startAll(to(1, "booths")); err != nil {
		return err
	}
	h, stop := &history{}, make(chan struct{})
	running := r.traffic(h, "shuffle", 32, 300*time.Millisecond, 0.12, stop)
	time.Sleep(3 * time.Second)
	if r.trouble {
		if err := r.moveAndBack(to); err != nil {
			return err
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	running.Wait()
	n := h.staleReads(r, r.groups[0], 0, true) + h.staleReads(r, r.groups[1], 0, true)
	if n > 0 {
		return fmt.Errorf("%w: %d of %d reads lacked a commit of their own session", errBroken, n, len(h.reads))
	}
	return nil
}

// lagFactor is by how much later than usual the replicas apply commits.
const lagFactor = 30

// moveAndBack makes the replicas lag for 6 s, and meanwhile twice moves the route to the
// second service and back.
func (r *rig) moveAndBack(to func(version int, service string) string) error {
	for _, g := range r.groups {
		g.setLag(lagFactor)
	}
	r.record("members: replicas apply commits %d times as late", lagFactor)
	time.Sleep(1500 * time.Millisecond)
	for _, version := range []int{2, 4} {
		if err := r.put(to(version, r.groups[1].service)); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
		if err := r.put(to(version+1, r.groups[0].service)); err != nil {
			return err
		}
		time.Sleep(1750 * time.Millisecond)
	}
	for _, g := range r.groups {
		g.setLag(1)
	}
	r.record("members: replicas apply commits as usual")
	return nil
}

// greyShare is the share of its statements that a grey member fails.
const greyShare = 0.4

// failedBegin lets the primary fail a part of its statements while clients run
// transactions and roll them back.
func failedBegin(r *rig) error {
	g, err := newGroup(r, "booths")
	if err != nil {
		return err
	}
	if err := r.startAll(config(1, []string{"booths"}, route("slots", "primary", "booths", 1000, 0))); err != nil {
		return err
	}
	if r.trouble {
		g.mu.Lock()
		g.primary.fails = greyShare
		g.mu.Unlock()
		r.record("members: the primary fails a share of %.1f of its statements", greyShare)
	}
	var mu sync.Mutex
	var values []string
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() {
			for n := range 20 {
				value := fmt.Sprintf("rolled-back-%d-%d", i, n)
				r.rollBack(fmt.Sprintf("front-%d", 1+i%proxies), fmt.Sprint("client-", i), value)
				mu.Lock()
				values = append(values, value)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	committed := 0
	for _, v := range values {
		if g.find(v) != nil {
			committed++
			r.record("UNASKED: %s was written between BEGIN and ROLLBACK and is committed", v)
		}
	}
	if committed > 0 {
		return fmt.Errorf("%w: the writes of %d of %d transactions that were never committed are committed", errBroken, committed, len(values))
	}
	return nil
}

// rollBack writes a value in a transaction and rolls it back. It gives up when BEGIN is
// not answered with success.
func (r *rig) rollBack(proxy, name, value string) {
	s, err := r.open(proxy, "slots", name)
	if err != nil {
		return
	}
	defer s.close()
	time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	for _, text := range []string{"BEGIN", "WRITE item " + value, "ROLLBACK"} {
		if a := s.do(text); a.err != nil || a.code != "" && text == "BEGIN" {
			return
		}
	}
}

// stopInTransactions stops two proxies in turn, each while transactions with pauses are
// going on.
func stopInTransactions(r *rig) error {
	g, err := newGroup(r, "booths")
	if err != nil {
		return err
	}
	for _, m := range g.members {
		m.work = 55 * time.Millisecond
	}
	if err := r.startAll(config(1, []string{"booths"}, route("board", "bounded_staleness", "booths", 3000, 1500))); err != nil {
		return err
	}
	lost := 0
	for _, proxy := range []string{"front-1", "front-2"} {
		n, err := r.stopProxy(r.host(proxy))
		if err != nil {
			return err
		}
		lost += n
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d statements were cut off", errBroken, lost)
	}
	return nil
}

// stopProxy stops a proxy with SIGTERM and returns how many statements it has cut off.
func (r *rig) stopProxy(h *host) (int, error) {
	c := &stopCase{rig: r, proxy: h.name, stop: make(chan struct{})}
	var running sync.WaitGroup
	for i := range 74 {
		running.Go(func() { c.client(fmt.Sprintf("client-%s-%d", h.name, i)) })
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		c.mu.Lock()
		c.termAt = time.Now()
		c.mu.Unlock()
		r.record("platform: SIGTERM to %s", h.name)
		if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
		<-h.exited
		r.record("%s has exited", h.name)
	} else {
		time.Sleep(7 * time.Second)
	}
	close(c.stop)
	running.Wait()
	for _, a := range c.cut {
		r.record("LOST: %q %s was sent %.3f s after SIGTERM, in a transaction begun after SIGTERM; a member got it, and the client's connection ended without an answer after %.3f s",
			a.text, a.id, a.sentAt.Sub(c.termAt).Seconds(), a.doneAt.Sub(a.sentAt).Seconds())
	}
	return len(c.cut), nil
}

// lateRequest is how long after SIGTERM a request may be sent so that the rule excuses it
// if its member is still at work near the end of the grace period.
const lateRequest = 3 * time.Second

// stopCase is the state of the clients of stopInTransactions.
type stopCase struct {
	rig   *rig
	proxy string
	stop  chan struct{}

	mu     sync.Mutex
	termAt time.Time
	cut    []answer // statements that a member got and that no excuse covers
}

// client runs transactions on one session until it ends.
func (c *stopCase) client(name string) {
	s, err := c.rig.open(c.proxy, "board", name)
	if err != nil {
		return
	}
	defer s.close()
	time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond) // clients are out of step
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(rand.IntN(400)) * time.Millisecond):
		}
		begun := time.Now()
		for n, text := range transaction() {
			if n > 0 {
				time.Sleep(time.Duration(300+rand.IntN(100)) * time.Millisecond)
			}
			a := s.do(text)
			if a.err != nil {
				c.checkCut(begun, a)
			}
			if !a.ok() {
				return
			}
		}
	}
}

// checkCut records a statement without an answer unless an excuse covers it.
func (c *stopCase) checkCut(begun time.Time, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.termAt.IsZero() || begun.Before(c.termAt) || a.sentAt.Sub(c.termAt) <= lateRequest || !c.rig.groups[0].ran(a.id) {
		return
	}
	c.cut = append(c.cut, a)
}

// transaction returns the twelve statements of a transaction that reads.
func transaction() []string {
	out := []string{"BEGIN READ"}
	for range 10 {
		out = append(out, fmt.Sprintf("READ k%d", rand.IntN(10)))
	}
	return append(out, "COMMIT")
}
