package pool

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Turn is how long requests of an organisation that has connections may go before one that
// waits for a connection of its own, where there is no room for one. Opening one takes
// 12 ms of a slot and two round trips.
const Turn = 50 * time.Millisecond

// Demand is what connections to a target are wanted for.
type Demand struct {
	Waiting        []Waiting // requests that could run on the target, in the order in which they are served
	ServiceWaiting bool      // requests of the target's service wait, perhaps for another target
	Organisations  bool      // callers may belong to organisations, which a connection opened in advance doesn't know
}

// Waiting is how many requests of an organisation wait.
type Waiting struct {
	Organisation types.OrganisationName
	Requests     int
	Since        types.Instant // arrival of the one that has waited the longest
}

// requests returns how many requests of an organisation wait.
func (d Demand) requests(organisation types.OrganisationName) int {
	n := 0
	for _, w := range d.Waiting {
		if w.Organisation == organisation {
			n += w.Requests
		}
	}
	return n
}

// overdue reports whether a request of an organisation has waited for Turn or more.
func (d Demand) overdue(organisation types.OrganisationName, now types.Instant) bool {
	return slices.ContainsFunc(d.Waiting, func(w Waiting) bool { return w.Organisation == organisation && now.Sub(w.Since) >= Turn })
}

// Plan is what to open and close now.
type Plan struct {
	Open  []types.OrganisationName // organisations to open a connection for, with Dial
	Close []*Conn                  // idle connections of other organisations, which the pool has dropped for them
}

// PlanDials returns which connections to open now. Where there is no room for one, an idle
// connection of another organisation is closed for it.
func (t *Target) PlanDials(d Demand, now types.Instant) Plan {
	var p Plan
	backingOff := now < t.NextDialAt(d.ServiceWaiting)
	if t.address == "" || backingOff && !t.lastRejected() {
		return p
	}
	for _, o := range t.missing(d) {
		if t.dialFailures > 0 && t.countState(Dialing)+len(p.Open) > 0 {
			break
		}
		hasRoom := t.share.Connections > len(t.conns)+len(p.Open)
		if !hasRoom || backingOff || t.Full(now) {
			c := t.replaceable(o, d, now)
			switch {
			case c != nil:
				t.Drop(c)
				t.counts.Replaced++
				p.Close = append(p.Close, c)
			case !hasRoom, backingOff, d.overdue(o, now) && t.Starved(o, now) && t.freesSoon(o):
				continue
			}
		}
		p.Open = append(p.Open, o)
	}
	return p
}

// freesSoon reports whether a connection of another organisation comes free when its
// exchange ends.
func (t *Target) freesSoon(organisation types.OrganisationName) bool {
	return slices.ContainsFunc(t.conns, func(c *Conn) bool { return c.inFlight && c.Organisation != organisation })
}

// missing returns the organisation of each connection that is wanted beyond those that are
// idle or being opened.
func (t *Target) missing(d Demand) []types.OrganisationName {
	var out []types.OrganisationName
	free := t.Limit() - t.InFlight()
	for _, w := range d.Waiting {
		n := min(w.Requests, free)
		free -= max(0, n)
		if n <= 0 && w.Requests > 0 {
			if t.countState(Dialing)+len(out) > 0 {
				break
			}
			if !t.progresses(w.Organisation) {
				n = 1 // it is open by the time that an exchange in flight has ended
			}
		}
		for range n - t.available(w.Organisation) {
			out = append(out, w.Organisation)
		}
	}
	if len(out) == 0 {
		out = t.inAdvance(d)
	}
	return out
}

// inAdvance returns the organisation of a connection to open without a request that waits
// for it: one that is kept open, or one that shows whether a target that could not be
// reached can be again.
func (t *Target) inAdvance(d Demand) []types.OrganisationName {
	switch {
	case t.share.Connections == 0:
	case t.dialFailures > 0 && !t.lastRejected() && len(t.conns) == 0:
		return []types.OrganisationName{t.failedOrganisation}
	case !d.Organisations && t.available("") < minConnections && len(t.conns) < t.kept():
		return []types.OrganisationName{""}
	}
	return nil
}

// Usable returns how many requests of an organisation could start on its connections that
// are idle or being opened.
func (t *Target) Usable(organisation types.OrganisationName) int {
	return max(0, min(t.available(organisation), t.Limit()-t.InFlight()))
}

// Openable returns how many more of them could start if connections were opened.
func (t *Target) Openable(organisation types.OrganisationName, now types.Instant) int {
	if t.address == "" || now < t.NextDialAt(true) {
		return 0
	}
	return max(0, min(t.Limit()-t.InFlight(), t.share.Connections)-t.available(organisation))
}

// available returns how many connections of an organisation are idle or being opened.
func (t *Target) available(organisation types.OrganisationName) int {
	return t.count(organisation, Idle) + t.count(organisation, Dialing)
}

// count returns how many connections of an organisation are in a state.
func (t *Target) count(organisation types.OrganisationName, state State) int {
	n := 0
	for _, c := range t.conns {
		if c.Organisation == organisation && c.state == state {
			n++
		}
	}
	return n
}

// progresses reports whether an organisation has a connection that is idle or being opened,
// or one whose exchange is in flight. A transaction may hold others through pauses.
func (t *Target) progresses(organisation types.OrganisationName) bool {
	for _, c := range t.conns {
		if c.Organisation == organisation && (c.state != InUse || c.inFlight) {
			return true
		}
	}
	return false
}

// replaceable returns the connection to close for one of the given organisation, or nil:
// the least recently used one of the others that no waiting request needs. An organisation
// that has connections gets none that was used within Turn. One that is starved and overdue
// gets one that is needed, but not before that has been used.
func (t *Target) replaceable(organisation types.OrganisationName, d Demand, now types.Instant) *Conn {
	hasOthers := t.progresses(organisation)
	c := t.leastRecentlyUsed(func(c *Conn) bool {
		return c.Organisation != organisation && t.count(c.Organisation, Idle) > d.requests(c.Organisation) &&
			!(hasOthers && now.Sub(c.idleSince) < Turn)
	})
	if c != nil || !d.overdue(organisation, now) || !t.Starved(organisation, now) {
		return c
	}
	if c = t.leastRecentlyUsed(func(c *Conn) bool { return c.Organisation != organisation }); c != nil {
		t.turnBegan = now
	}
	return c
}

// Starved reports whether the organisation may have the next connection that comes free
// closed for one of its own: it has none that will be free, there is no room, and each
// connection that was opened lately has been used.
func (t *Target) Starved(organisation types.OrganisationName, now types.Instant) bool {
	if t.address == "" || now < t.NextDialAt(true) && !t.lastRejected() || t.progresses(organisation) {
		return false
	}
	if t.dialFailures > 0 && t.countState(Dialing) > 0 {
		return false // one attempt at a time
	}
	full := t.share.Connections > 0 && len(t.conns) >= t.share.Connections || t.Full(now)
	return full && now.Sub(t.turnBegan) >= Turn && !slices.ContainsFunc(t.conns, func(c *Conn) bool { return c.state == Idle && c.seq == 0 })
}

// Dial adds a connection that is being opened for an organisation.
func (t *Target) Dial(id types.ConnID, organisation types.OrganisationName) *Conn {
	c := &Conn{ID: id, Ref: t.Ref, Address: t.address, Organisation: organisation}
	t.conns = append(t.conns, c)
	return c
}
