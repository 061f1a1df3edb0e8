package admission

import (
	"cmp"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// class holds the entries of one class.
type class[T any] struct {
	Class
	share
	flows       []*flow[T] // in order of organisation
	length      int
	virtualTime float64 // of the flows
	owed        float64 // work due to it under OrderPriority
}

// flow holds the entries of one organisation within a class.
type flow[T any] struct {
	share
	organisation types.OrganisationName
	entries      []*Entry[T]
	removedCount int // number of removed entries in entries
}

// share is the state of start-time fair queueing for one competitor.
type share struct {
	startTag float64 // of the first entry
}

// activate prevents a competitor that had nothing queued from making up for it.
func (s *share) activate(virtualTime float64) { s.startTag = max(s.startTag, virtualTime) }

// charge accounts for work of the competitor and returns the new virtual time.
func (s *share) charge(cost, virtualTime float64) float64 {
	started := s.startTag
	s.startTag += cost
	return max(virtualTime, started)
}

// class returns the class of a profile, which it creates if there is none.
func (q *Queue[T]) class(profile types.ProfileName) *class[T] {
	i, ok := slices.BinarySearchFunc(q.classes, profile, func(c *class[T], p types.ProfileName) int {
		return cmp.Compare(c.Profile, p)
	})
	if !ok {
		q.classes = slices.Insert(q.classes, i, &class[T]{Class: Class{Profile: profile}})
	}
	return q.classes[i]
}

// due is 1 if the class is owed the work of one of its entries, or 0.
func (c *class[T]) due() int {
	for _, f := range c.flows {
		if f.len() > 0 && f.first().cost <= c.owed {
			return 1
		}
	}
	return 0
}

// inOrder returns the flows with entries in the order in which they are served.
func (c *class[T]) inOrder() []*flow[T] {
	active := nonEmpty(c.flows, c.length, (*flow[T]).len)
	slices.SortStableFunc(active, func(a, b *flow[T]) int { return cmp.Compare(a.startTag, b.startTag) })
	return active
}

// nonEmpty returns the parts of a whole of the given length that have entries. It allocates
// nothing if one of them has all.
func nonEmpty[E any](parts []E, total int, length func(E) int) []E {
	var active []E
	for i, part := range parts {
		switch n := length(part); {
		case n == 0:
		case n == total:
			return parts[i : i+1 : i+1]
		default:
			active = append(active, part)
		}
	}
	return active
}

// flow returns the flow of an organisation. If there is none, it creates it and forgets
// those that have no entries and nothing to pay for.
func (c *class[T]) flow(organisation types.OrganisationName) *flow[T] {
	find := func() (int, bool) {
		return slices.BinarySearchFunc(c.flows, organisation, func(f *flow[T], o types.OrganisationName) int {
			return cmp.Compare(f.organisation, o)
		})
	}
	i, ok := find()
	if ok {
		return c.flows[i]
	}
	c.flows = slices.DeleteFunc(c.flows, func(f *flow[T]) bool { return f.len() == 0 && f.startTag <= c.virtualTime })
	i, _ = find()
	c.flows = slices.Insert(c.flows, i, &flow[T]{organisation: organisation})
	return c.flows[i]
}

func (f *flow[T]) len() int { return len(f.entries) - f.removedCount }

// first returns the first entry, which must exist.
func (f *flow[T]) first() *Entry[T] {
	for f.entries[0].removed {
		f.entries = f.entries[1:]
		f.removedCount--
	}
	return f.entries[0]
}

// removeMarked accounts for one more removed entry and drops all of them once they are the
// larger part.
func (f *flow[T]) removeMarked() {
	f.removedCount++
	if f.removedCount > len(f.entries)/2 {
		f.entries = slices.DeleteFunc(f.entries, func(e *Entry[T]) bool { return e.removed })
		f.removedCount = 0
	}
}
