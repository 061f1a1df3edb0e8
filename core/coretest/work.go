package coretest

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// workload makes a host handle one event at a time. Like the loop of a control host, it
// handles the latest lease request of each proxy only, in turn with other events.
type workload struct {
	step      func(step func()) time.Duration // executes a step and returns how long it takes
	busyUntil time.Duration
	events    []event.Event
	order     []types.HostID // proxies whose lease requests wait
	requests  map[types.HostID]event.LeaseRequested
	leaseTurn bool // a lease request comes next
}

// finished is the event at the end of a step that took time.
type finished struct{ event.Event }

// SetWork makes a host handle one event at a time. step has to execute the step of an
// event and returns how long the host takes for it.
func (h *Host) SetWork(step func(step func()) time.Duration) {
	h.work = &workload{step: step, requests: make(map[types.HostID]event.LeaseRequested)}
}

// Busy keeps a host from handling events for d, in addition to its work.
func (c *Cluster) Busy(id types.HostID, d time.Duration) {
	h := c.Hosts[id]
	h.work.busyUntil = max(h.work.busyUntil, c.now) + d
	c.after(h.work.busyUntil-c.now, h, finished{Event: event.Start{}})
}

// add queues an event.
func (w *workload) add(ev event.Event) {
	r, ok := ev.(event.LeaseRequested)
	if !ok {
		w.events = append(w.events, ev)
		return
	}
	if _, waits := w.requests[r.Request.Proxy]; !waits {
		w.order = append(w.order, r.Request.Proxy)
	}
	w.requests[r.Request.Proxy] = r
}

// next removes and returns the event that the host handles next.
func (w *workload) next() (event.Event, bool) {
	w.leaseTurn = !w.leaseTurn
	if len(w.events) > 0 && (!w.leaseTurn || len(w.order) == 0) {
		ev := w.events[0]
		w.events = w.events[1:]
		return ev, true
	}
	if len(w.order) == 0 {
		return nil, false
	}
	proxy := w.order[0]
	w.order = w.order[1:]
	r := w.requests[proxy]
	delete(w.requests, proxy)
	return r, true
}

// stepQueued lets a host with work handle its next event unless it is busy.
func (c *Cluster) stepQueued(h *Host) {
	w := h.work
	if c.now < w.busyUntil {
		return // a finished event follows
	}
	ev, ok := w.next()
	if !ok {
		return
	}
	w.busyUntil = c.now + w.step(func() { c.Step(h, ev) })
	c.after(w.busyUntil-c.now, h, finished{Event: event.Start{}})
}
