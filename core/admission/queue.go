// Package admission decides which of the requests that wait for the same targets is served
// next, which are refused because they can't be served in time, and when those may come back.
package admission

import (
	"cmp"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Order says how the classes of a queue compete.
type Order uint8

// The orders.
const (
	// OrderWeighted gives each class a part of the work that follows its weight.
	OrderWeighted Order = iota
	// OrderPriority serves classes of a higher priority first. Lower ones get
	// guaranteedPart of the work while they wait; classes of equal priority share by
	// weight.
	OrderPriority
)

// guaranteedPart is the part of the work that each class gets although others of a higher
// priority wait.
const guaranteedPart = 0.05

// Class is what the entries of a queue compete as.
type Class struct {
	Profile  types.ProfileName
	Priority int // 0 is the highest
	Weight   int
}

// Entry is a value in a Queue.
type Entry[T any] struct {
	Value   T
	cost    float64
	class   *class[T]
	flow    *flow[T]
	removed bool
}

// Queue orders entries by class and, within a class, fairly between organisations:
// start-time fair queueing over one FIFO queue for each organisation. The cost of an entry,
// such as the expected work, is charged to its class and its organisation.
type Queue[T any] struct {
	Order Order

	classes     []*class[T] // in order of profile
	length      int
	virtualTime float64 // highest start tag of the entries taken
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a value at the end of its organisation's entries of the class. cost must be
// above zero.
func (q *Queue[T]) Push(c Class, organisation types.OrganisationName, cost float64, v T) *Entry[T] {
	cl := q.class(c.Profile)
	c.Weight = max(1, c.Weight)
	cl.Class = c
	if cl.length == 0 {
		cl.activate(q.virtualTime)
		cl.owed = 0
	}
	f := cl.flow(organisation)
	if f.len() == 0 {
		f.activate(cl.virtualTime)
	}
	e := &Entry[T]{Value: v, cost: cost, class: cl, flow: f}
	f.entries = append(f.entries, e)
	cl.length++
	q.length++
	return e
}

// Remove removes an entry without charging for it.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.removed {
		return
	}
	e.removed = true
	q.length--
	e.class.length--
	e.flow.removeMarked()
}

// Take removes an entry that is served now and charges for it.
func (q *Queue[T]) Take(e *Entry[T]) {
	q.Remove(e)
	c := e.class
	q.virtualTime = c.charge(e.cost/float64(c.Weight), q.virtualTime)
	c.virtualTime = e.flow.charge(e.cost, c.virtualTime)
	c.owed = max(0, c.owed-e.cost)
	for _, other := range q.classes {
		if other != c && other.length > 0 {
			other.owed += guaranteedPart * e.cost
		}
	}
}

// Next returns the entry to serve next among those for which ready returns true. Of each
// organisation and class only the first entry is considered.
func (q *Queue[T]) Next(ready func(T) bool) (*Entry[T], bool) {
	if q.length == 0 {
		return nil, false
	}
	for _, c := range q.inOrder() {
		for _, f := range c.inOrder() {
			if e := f.first(); ready(e.Value) {
				return e, true
			}
		}
	}
	return nil, false
}

// Pop takes and returns the next value.
func (q *Queue[T]) Pop() (T, bool) {
	e, ok := q.Next(always[T])
	if !ok {
		var none T
		return none, false
	}
	q.Take(e)
	return e.Value, true
}

// always is ready for any value.
func always[T any](T) bool { return true }

// Expire removes and returns the first entries of each organisation and class for as long as
// expired returns true. Nothing is charged for them.
func (q *Queue[T]) Expire(expired func(T) bool) []T {
	var out []T
	for _, c := range q.classes {
		for _, f := range c.flows {
			for f.len() > 0 && expired(f.first().Value) {
				e := f.first()
				q.Remove(e)
				out = append(out, e.Value)
			}
		}
	}
	return out
}

// Drain removes and returns all values, in the order of Pop.
func (q *Queue[T]) Drain() []T {
	var all []T
	for v, ok := q.Pop(); ok; v, ok = q.Pop() {
		all = append(all, v)
	}
	return all
}

// VisitFlows calls visit for each organisation of each class with its first entry and the
// number of its entries, in the order in which the first ones are served.
func (q *Queue[T]) VisitFlows(visit func(organisation types.OrganisationName, first T, entries int)) {
	for _, c := range q.inOrder() {
		for _, f := range c.inOrder() {
			visit(f.organisation, f.first().Value, f.len())
		}
	}
}

// Waiting returns how many entries an organisation has.
func (q *Queue[T]) Waiting(organisation types.OrganisationName) int {
	n := 0
	for _, c := range q.classes {
		for _, f := range c.flows {
			if f.organisation == organisation {
				n += f.len()
			}
		}
	}
	return n
}

// Ahead returns about how many entries would be served before a new one: those of the
// organisation and as many of each other one, without classes that the new entry goes
// before.
func (q *Queue[T]) Ahead(c Class, organisation types.OrganisationName) int {
	ahead, own := 0, q.Waiting(organisation)
	for _, cl := range q.classes {
		if q.Order == OrderPriority && cl.Priority > c.Priority {
			continue
		}
		for _, f := range cl.flows {
			if f.organisation == organisation {
				ahead += f.len()
			} else {
				ahead += min(f.len(), own+1)
			}
		}
	}
	return ahead
}

// inOrder returns the classes with entries in the order in which they are served.
func (q *Queue[T]) inOrder() []*class[T] {
	active := nonEmpty(q.classes, q.length, func(c *class[T]) int { return c.length })
	slices.SortStableFunc(active, func(a, b *class[T]) int {
		if q.Order == OrderPriority {
			if by := cmp.Or(cmp.Compare(b.due(), a.due()), cmp.Compare(a.Priority, b.Priority)); by != 0 {
				return by
			}
		}
		return cmp.Compare(a.startTag, b.startTag)
	})
	return active
}
