// Package coretest is a deterministic simulator for tests. It runs the reducers of
// several hosts in virtual time, with a network that can drop, delay, duplicate
// and reorder messages, disks that lose unsynced writes, and clocks that drift.
// Tests observe the effects.
package coretest

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Stepper is a reducer or one part of one.
type Stepper interface {
	Step(in event.Input) []effect.Effect
}

// Network configures the delivery of messages. Its zero value delivers at once.
type Network struct {
	DelayMin, DelayMax time.Duration
	DropPercent        int
	DuplicatePercent   int
	cut                map[link]bool
}

// link is one direction of the connection between two hosts.
type link struct{ from, to types.HostID }

// Host is one host of a Cluster.
type Host struct {
	ID       types.HostID
	Disk     consensus.PersistentState // synced state
	Stepper  Stepper                   // nil while the host is down
	SyncTime time.Duration             // from a Persist effect until it is synced
	Drift    float64                   // relative error of the clock: 0.01 runs one percent fast

	// View returns the view that a traffic shard uses.
	View func() *types.NodeView

	run     int       // counts starts and crashes; events of an earlier run are dropped
	work    *workload // nil if the host handles events at once
	frozen  bool
	pending []event.Event // received while frozen
	timers  map[event.TimerID]timer
	epoch   time.Duration // cluster time at which the clock was started

	syncedAt  time.Duration // when all writes so far are synced
	fullUntil time.Duration // no write succeeds before
}

// Cluster steps hosts in virtual time. It is deterministic for a seed.
type Cluster struct {
	Network Network
	// Build returns the reducer of a host that starts from its disk.
	Build func(h *Host) Stepper
	// Effect is called with each effect before it is executed.
	Effect func(h *Host, eff effect.Effect)
	Hosts  map[types.HostID]*Host

	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  uint64
}

// NewCluster returns a cluster without hosts.
func NewCluster(seed uint64, build func(*Host) Stepper) *Cluster {
	return &Cluster{
		Build:   build,
		Effect:  func(*Host, effect.Effect) {},
		Hosts:   make(map[types.HostID]*Host),
		random:  rand.New(rand.NewPCG(seed, 0)),
		Network: Network{cut: make(map[link]bool)},
	}
}

// Start starts a host from its disk. An unknown host is added.
func (c *Cluster) Start(id types.HostID) *Host {
	h, ok := c.Hosts[id]
	if !ok {
		h = &Host{ID: id}
		c.Hosts[id] = h
	}
	h.run++
	h.epoch = c.now
	h.frozen, h.pending, h.syncedAt = false, nil, c.now
	h.timers = make(map[event.TimerID]timer)
	h.Stepper = c.Build(h)
	c.Step(h, event.Start{})
	return h
}

// Crash stops a host. Unsynced writes are lost.
func (c *Cluster) Crash(id types.HostID) {
	h := c.Hosts[id]
	h.run++
	h.Stepper = nil
}

// Freeze keeps a host from handling events while its clock runs on.
func (c *Cluster) Freeze(id types.HostID) { c.Hosts[id].frozen = true }

// Thaw resumes a frozen host with the pending events.
func (c *Cluster) Thaw(id types.HostID) {
	h := c.Hosts[id]
	events := h.pending
	h.frozen, h.pending = false, nil
	for _, ev := range events {
		c.Step(h, ev)
	}
}

// FillDisk makes all writes of a host wait for d, as while its disk is full.
func (c *Cluster) FillDisk(id types.HostID, d time.Duration) { c.Hosts[id].fullUntil = c.now + d }

// Cut drops all messages in one direction.
func (c *Cluster) Cut(from, to types.HostID) { c.Network.cut[link{from, to}] = true }

// Isolate drops all messages from and to a host.
func (c *Cluster) Isolate(id types.HostID) {
	for other := range c.Hosts {
		c.Cut(id, other)
		c.Cut(other, id)
	}
}

// Heal removes all cuts.
func (c *Cluster) Heal() { c.Network.cut = make(map[link]bool) }

// Healed reports whether there are no cuts.
func (c *Cluster) Healed() bool { return len(c.Network.cut) == 0 }

// Now returns the virtual time.
func (c *Cluster) Now() time.Duration { return c.now }

// LocalTime returns the reading of a host's clock, which starts at one second.
func (c *Cluster) LocalTime(h *Host) types.Instant {
	return types.Instant(time.Second) + types.Instant(float64(c.now-h.epoch)*(1+h.Drift))
}

// ClusterTime returns the cluster time at which a host's clock reads t.
func (c *Cluster) ClusterTime(h *Host, t types.Instant) time.Duration {
	elapsed := float64(t.Sub(types.Instant(time.Second))) / (1 + h.Drift)
	return h.epoch + time.Duration(math.Ceil(elapsed)) + 1
}

// Run runs the cluster for the duration d.
func (c *Cluster) Run(d time.Duration) { c.RunUntil(d, func() bool { return false }) }

// RunUntil runs the cluster until done returns true, for at most d. It reports
// whether done returned true.
func (c *Cluster) RunUntil(d time.Duration, done func() bool) bool {
	end := c.now + d
	for !done() {
		if len(c.queue) == 0 || c.queue[0].at > end {
			c.now = end
			return done()
		}
		next := heap.Pop(&c.queue).(queued)
		c.now = max(c.now, next.at)
		c.dispatch(next)
	}
	return true
}

// dispatch passes a queued event to its host unless the host has restarted since. Peer
// messages are delivered even then.
func (c *Cluster) dispatch(q queued) {
	if call, ok := q.event.(scheduled); ok {
		call.do()
		return
	}
	h := q.host
	_, message := q.event.(event.PeerMessage) // in the network, so that a restart does not drop it
	if h.Stepper == nil || h.run != q.run && !message {
		return
	}
	if d, ok := q.event.(synced); ok {
		if err := h.Disk.Apply(d.write); err != nil {
			panic(err)
		}
		q.event = event.Persisted{Seq: d.write.Seq}
	}
	if t, ok := q.event.(event.TimerFired); ok {
		armed := h.timers[t.ID]
		if armed.queued != q.order {
			return // stopped or rearmed meanwhile
		}
		if armed.at > c.LocalTime(h) {
			c.armTimer(h, t.ID, armed.at) // the clock was slowed down meanwhile
			return
		}
		delete(h.timers, t.ID)
	}
	if h.frozen {
		h.pending = append(h.pending, q.event)
		return
	}
	if h.work == nil {
		c.Step(h, q.event)
		return
	}
	if _, done := q.event.(finished); !done {
		h.work.add(q.event)
	}
	c.stepQueued(h)
}

// Step lets a host handle an event now and executes the effects.
func (c *Cluster) Step(h *Host, ev event.Event) {
	in := event.Input{Now: c.LocalTime(h), Seed: c.random.Uint64(), Event: ev}
	if h.View != nil {
		in.View = h.View()
	}
	for _, eff := range h.Stepper.Step(in) {
		c.Effect(h, eff)
		c.execute(h, eff)
	}
}

func (c *Cluster) execute(h *Host, eff effect.Effect) {
	switch e := eff.(type) {
	case effect.ArmTimer:
		c.armTimer(h, e.ID, e.At)
	case effect.StopTimer:
		delete(h.timers, e.ID)
	case effect.Persist:
		h.syncedAt = max(h.syncedAt, c.now, h.fullUntil) + h.SyncTime
		c.after(h.syncedAt-c.now, h, synced{Event: event.Persisted{}, write: e})
	case effect.SendPeer:
		c.sendPeer(h, e.Message)
	}
}

func (c *Cluster) armTimer(h *Host, id event.TimerID, at types.Instant) {
	c.after(max(0, c.ClusterTime(h, at)-c.now), h, event.TimerFired{ID: id})
	h.timers[id] = timer{at: at, queued: c.order}
}

// timer is an armed timer with the order of the queued event that fires it.
type timer struct {
	at     types.Instant
	queued uint64
}

// synced is the event that applies a write to the disk.
type synced struct {
	event.Event
	write effect.Persist
}

func (c *Cluster) sendPeer(from *Host, m proto.Message) {
	for _, id := range sortedHostIDs(c.Hosts) {
		if id != from.ID && (m.To == "" || m.To == id) && !c.Network.cut[link{from.ID, id}] {
			c.transmit(c.Hosts[id], event.PeerMessage{Message: m})
		}
	}
}

// transmit delivers an event after a network delay, unless it is dropped, and once
// more if it is duplicated.
func (c *Cluster) transmit(to *Host, ev event.Event) {
	copies := 1
	if c.random.IntN(100) < c.Network.DropPercent {
		copies--
	}
	if c.random.IntN(100) < c.Network.DuplicatePercent {
		copies++
	}
	for range copies {
		c.after(c.Delay(), to, ev)
	}
}

// after queues an event for a host with a delay of d.
func (c *Cluster) after(d time.Duration, h *Host, ev event.Event) {
	c.order++
	heap.Push(&c.queue, queued{at: c.now + d, order: c.order, host: h, run: h.run, event: ev})
}
