package systemtest

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// dial opens a connection after what one costs.
func (w *world) dial(p *proxy, e effect.DialTarget) {
	key := connKey{p.id, p.run, e.Conn}
	t := w.targets[e.Ref.Name]
	reachable := w.cluster.Connected(p.id, t.host()) && w.cluster.Connected(t.host(), p.id)
	switch {
	case w.cluster.Hosts[t.host()].Stepper == nil:
		w.connected(p, key, 2*w.cluster.Delay(), errBroken)
	case !reachable:
		w.connected(p, key, e.Timeout, errBroken)
	default:
		w.conns[key] = &conn{target: t.name}
		w.checkLimit(t.name)
		w.connected(p, key, connectCost, nil)
	}
}

func (w *world) connected(p *proxy, key connKey, after time.Duration, err error) {
	w.cluster.Schedule(after, func() {
		if p.run == key.run {
			w.cluster.Hand(p.shard(), event.TargetConnected{Conn: key.id, Err: err})
		}
	})
}

// checkLimit checks that the proxies together stay within what a target
// accepts. Connections of a proxy that is down do not count.
func (w *world) checkLimit(name types.TargetName) {
	w.t.Helper()
	open := 0
	for key, c := range w.conns {
		if c.target == name && w.proxies[key.proxy].run == key.run {
			open++
		}
	}
	if open > connections {
		w.t.Fatalf("%d connections to %s, which accepts %d", open, name, connections)
	}
}

// send runs an exchange on a connection. What was sent reaches the target even
// if the connection is closed meanwhile.
func (w *world) send(p *proxy, e effect.SendTarget) {
	key := connKey{p.id, p.run, e.Conn}
	c, ok := w.conns[key]
	if !ok {
		w.finish(p, key, e.Seq, event.TargetAnswered{Err: errBroken})
		return
	}
	if c.seq != 0 {
		w.t.Fatalf("exchange %d on connection %v before %d has ended", e.Seq, key, c.seq)
	}
	c.seq = e.Seq
	w.ask(p.id, w.targets[c.target], key, e.Operations,
		func(r []types.Result) { w.finish(p, key, e.Seq, event.TargetAnswered{Sent: true, Results: r}) },
		func() { w.finish(p, key, e.Seq, event.TargetAnswered{Sent: true, Err: errBroken}) })
}

func (w *world) finish(p *proxy, key connKey, seq uint64, ev event.TargetAnswered) {
	c, ok := w.conns[key]
	if p.run != key.run || ok && c.seq != seq {
		return
	}
	if ok {
		c.seq = 0
	}
	ev.Conn, ev.Seq, ev.Took = key.id, seq, 2*w.cluster.Network.DelayMin
	w.cluster.Hand(p.shard(), ev)
}

// closeConn forgets a connection; the target rolls back once it hears of it.
func (w *world) closeConn(key connKey) {
	c, ok := w.conns[key]
	if !ok {
		return
	}
	delete(w.conns, key)
	w.tellClosed(key, w.targets[c.target])
}

// tellClosed lets a target hear of the end of a connection after all that was
// sent on it.
func (w *world) tellClosed(key connKey, t *target) {
	w.cluster.Schedule(w.cluster.Network.DelayMax, func() {
		w.cluster.Hand(t.host(), exchange{Event: event.Start{}, conn: key, close: true})
	})
}

// crashTarget stops a target. Its log stays; its connections break.
func (w *world) crashTarget(t *target) {
	w.cluster.Crash(t.host())
	for key, c := range w.conns {
		if c.target != t.name {
			continue
		}
		p, seq := w.proxies[key.proxy], c.seq
		delete(w.conns, key)
		if seq != 0 {
			w.cluster.Schedule(w.cluster.Network.DelayMin, func() {
				w.finish(p, key, seq, event.TargetAnswered{Sent: true, Err: errBroken})
			})
		}
	}
}

// crashProxy stops a proxy; its connections and sessions are gone.
func (w *world) crashProxy(p *proxy) {
	w.cluster.Crash(p.id)
	w.cluster.Crash(p.shard())
	for key, c := range w.conns {
		if key.proxy == p.id {
			w.tellClosed(key, w.targets[c.target])
			delete(w.conns, key)
		}
	}
	w.oracle.lost(p)
	p.run++
}

// replicate lets every follower pull from its leader, again and again.
func (w *world) replicate() {
	for _, name := range w.targetNames() {
		t := w.targets[name]
		leader := w.targets[t.leader]
		if leader == nil || !w.up(t) || !w.up(leader) {
			continue
		}
		if w.cluster.Connected(t.host(), leader.host()) && w.cluster.Connected(leader.host(), t.host()) {
			t.pull(leader)
		}
	}
	w.cluster.Schedule(pullGap, w.replicate)
}

func (w *world) up(t *target) bool {
	h := w.cluster.Hosts[t.host()]
	return h.Stepper != nil && !h.Frozen()
}

// announce lets every target announce itself to all proxies.
func (w *world) announce() {
	for _, name := range w.targetNames() {
		t := w.targets[name]
		if !w.up(t) {
			continue
		}
		for _, id := range w.proxyIDs() {
			if w.cluster.Hosts[id].Stepper != nil {
				w.cluster.Message(t.host(), id, event.Announced{Announcement: w.announcement(t)})
			}
		}
	}
	w.cluster.Schedule(announceGap, w.announce)
}
