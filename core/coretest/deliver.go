package coretest

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// scheduled is a queued call of a function of the test.
type scheduled struct {
	event.Event
	do func()
}

// Schedule calls do after d, independent of the state of any host.
func (c *Cluster) Schedule(d time.Duration, do func()) {
	c.after(d, &Host{}, scheduled{Event: event.Start{}, do: do})
}

// Connected reports whether messages from one host reach another.
func (c *Cluster) Connected(from, to types.HostID) bool { return !c.Network.cut[link{from, to}] }

// Send sends an event over the network from one host to another. Like a
// consensus message it may be dropped, duplicated or reordered.
func (c *Cluster) Send(from, to types.HostID, ev event.Event) {
	if h, ok := c.Hosts[to]; ok && c.Connected(from, to) {
		c.transmit(h, ev)
	}
}

// Delay returns the network delay of one message.
func (c *Cluster) Delay() time.Duration {
	spread := c.Network.DelayMax - c.Network.DelayMin
	if spread <= 0 {
		return c.Network.DelayMin
	}
	return c.Network.DelayMin + time.Duration(c.random.Int64N(int64(spread)))
}

// Deliver delivers an event to a host without the network, in the order of calls.
func (c *Cluster) Deliver(to types.HostID, ev event.Event) {
	if h, ok := c.Hosts[to]; ok && h.Stepper != nil {
		c.after(0, h, ev)
	}
}

// Random returns the next random number of the cluster's seeded source.
func (c *Cluster) Random() uint64 { return c.random.Uint64() }

// Frozen reports whether the host is frozen.
func (h *Host) Frozen() bool { return h.frozen }
