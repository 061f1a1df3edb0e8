package pool

import (
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

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

// Plan is what to open and close now.
type Plan struct {
	Open  []types.OrganisationName // organisations to open a connection for, with Dial
	Close []*Conn                  // idle connections of other organisations, which the pool has dropped for them
}

// PlanDials returns which connections to open now. Where there is no room for one, an idle
// connection that no waiting request needs is closed for it, the least recently used first.
func (t *Target) PlanDials(d Demand, now types.Instant) Plan {
	var p Plan
	if t.address == "" || now < t.NextDialAt(d.ServiceWaiting) {
		return p
	}
	for _, o := range t.missing(d) {
		if t.dialFailures > 0 && t.countState(Dialing)+len(p.Open) > 0 {
			break
		}
		if room := t.share.Connections - len(t.conns) - len(p.Open); room <= 0 || t.Full(now) {
			c := t.replaceable(o, d)
			if c == nil && room <= 0 {
				continue
			}
			if c != nil {
				t.Drop(c)
				p.Close = append(p.Close, c)
			}
		}
		p.Open = append(p.Open, o)
	}
	return p
}

// missing returns the organisation of each connection that is wanted beyond those that are
// idle or being opened.
func (t *Target) missing(d Demand) []types.OrganisationName {
	var out []types.OrganisationName
	free := t.Limit() - t.InFlight()
	for _, w := range d.Waiting {
		n := min(w.Requests, free)
		free -= max(0, n)
		if n <= 0 && w.Requests > 0 && !t.progresses(w.Organisation) && t.countState(Dialing)+len(out) == 0 {
			n = 1 // it is open by the time that an exchange in flight has ended
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

// available returns how many connections of an organisation are idle or being opened.
func (t *Target) available(organisation types.OrganisationName) int {
	n := 0
	for _, c := range t.conns {
		if c.Organisation == organisation && c.state != InUse {
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

// replaceable returns the connection to close for one of the given organisation: the least
// recently used one of the others that no waiting request needs, or nil.
func (t *Target) replaceable(organisation types.OrganisationName, d Demand) *Conn {
	return t.leastRecentlyUsed(func(c *Conn) bool {
		return c.Organisation != organisation && t.available(c.Organisation) > d.requests(c.Organisation)
	})
}

// Starved reports whether a connection for the organisation could be opened now but for
// those of other organisations, and none of its own will be free.
func (t *Target) Starved(organisation types.OrganisationName, now types.Instant) bool {
	return t.address != "" && t.share.Connections > 0 && now >= t.NextDialAt(true) && !t.progresses(organisation) &&
		(len(t.conns) >= t.share.Connections || t.Full(now))
}

// Dial adds a connection that is being opened for an organisation.
func (t *Target) Dial(id types.ConnID, organisation types.OrganisationName) *Conn {
	c := &Conn{ID: id, Ref: t.Ref, Address: t.address, Organisation: organisation}
	t.conns = append(t.conns, c)
	return c
}
