package pool

import (
	"cmp"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Entry is the place of a value in a Queue.
type Entry[T any] struct {
	Value   T
	cost    float64
	removed bool
}

// Queue is a weighted fair queue between profiles: start-time fair queueing
// over one first-in-first-out list for each profile. What an entry costs, such
// as its expected work, counts against its profile.
type Queue[T any] struct {
	lists   []*list[T] // in order of profile
	length  int
	virtual float64 // start tag of the entry that was popped last
}

// list holds the entries of one profile.
type list[T any] struct {
	profile types.ProfileName
	weight  int
	entries []*Entry[T]
	dead    int     // removed entries among them
	start   float64 // start tag of the first entry
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a value at the end of its profile's list. cost is above zero.
func (q *Queue[T]) Push(profile types.ProfileName, weight int, cost float64, v T) *Entry[T] {
	l := q.list(profile)
	l.weight = max(1, weight)
	if len(l.entries) == l.dead {
		l.start = max(l.start, q.virtual)
	}
	e := &Entry[T]{Value: v, cost: cost}
	l.entries = append(l.entries, e)
	q.length++
	return e
}

// Remove takes an entry out.
func (q *Queue[T]) Remove(profile types.ProfileName, e *Entry[T]) {
	if e.removed {
		return
	}
	e.removed = true
	q.length--
	l := q.list(profile)
	l.dead++
	if l.dead > len(l.entries)/2 {
		l.entries = slices.DeleteFunc(l.entries, func(e *Entry[T]) bool { return e.removed })
		l.dead = 0
	}
}

// Peek returns the value that Pop would return.
func (q *Queue[T]) Peek() (T, bool) {
	if l := q.next(); l != nil {
		return l.entries[0].Value, true
	}
	var none T
	return none, false
}

// Pop takes out the next value.
func (q *Queue[T]) Pop() (T, bool) {
	l := q.next()
	if l == nil {
		var none T
		return none, false
	}
	e := l.entries[0]
	l.entries = l.entries[1:]
	e.removed = true
	q.length--
	q.virtual = l.start
	l.start += e.cost / float64(l.weight)
	return e.Value, true
}

// Drain takes out all values, in the order in which Pop gives them.
func (q *Queue[T]) Drain() []T {
	var all []T
	for v, ok := q.Pop(); ok; v, ok = q.Pop() {
		all = append(all, v)
	}
	return all
}

// next returns the list whose first entry has the lowest start tag.
func (q *Queue[T]) next() *list[T] {
	var best *list[T]
	for _, l := range q.lists {
		l.trim()
		if len(l.entries) > 0 && (best == nil || l.start < best.start) {
			best = l
		}
	}
	return best
}

// trim drops removed entries from the front.
func (l *list[T]) trim() {
	for len(l.entries) > 0 && l.entries[0].removed {
		l.entries = l.entries[1:]
		l.dead--
	}
}

func (q *Queue[T]) list(profile types.ProfileName) *list[T] {
	i, ok := slices.BinarySearchFunc(q.lists, profile, func(l *list[T], p types.ProfileName) int {
		return cmp.Compare(l.profile, p)
	})
	if !ok {
		q.lists = slices.Insert(q.lists, i, &list[T]{profile: profile})
	}
	return q.lists[i]
}
