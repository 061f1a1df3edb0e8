package coretest

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// scheduled is the event that runs a function of the test.
type scheduled struct {
	event.Event
	do func()
}

// Schedule runs do after a time, whichever hosts are up.
func (c *Cluster) Schedule(d time.Duration, do func()) {
	c.after(d, &Host{}, scheduled{Event: event.Start{}, do: do})
}

// Connected reports whether messages from one host reach another.
func (c *Cluster) Connected(from, to types.HostID) bool { return !c.Network.cut[link{from, to}] }

// Message sends an event over the network from one host to another, like a
// consensus message: it may be lost, repeated or overtaken.
func (c *Cluster) Message(from, to types.HostID, ev event.Event) {
	if h, ok := c.Hosts[to]; ok && c.Connected(from, to) {
		c.travel(h, ev)
	}
}

// Delay returns how long one message takes.
func (c *Cluster) Delay() time.Duration {
	spread := c.Network.DelayMax - c.Network.DelayMin
	if spread <= 0 {
		return c.Network.DelayMin
	}
	return c.Network.DelayMin + time.Duration(c.random.Int64N(int64(spread)))
}

// Hand gives an event to a host without the network, in the order of calls.
func (c *Cluster) Hand(to types.HostID, ev event.Event) {
	if h, ok := c.Hosts[to]; ok && h.Stepper != nil {
		c.after(0, h, ev)
	}
}

// Random returns random bits of the cluster's seed.
func (c *Cluster) Random() uint64 { return c.random.Uint64() }

// Frozen reports whether the host takes in no events.
func (h *Host) Frozen() bool { return h.frozen }
