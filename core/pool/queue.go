package pool

import (
	"cmp"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Entry is a value in a Queue.
type Entry[T any] struct {
	Value   T
	cost    float64
	removed bool
}

// Queue is a weighted fair queue between profiles: start-time fair queueing over one
// FIFO queue for each profile. The cost of an entry, such as the expected work, is
// charged to its profile.
type Queue[T any] struct {
	profileQueues []*profileQueue[T] // in order of profile
	length        int
	virtualTime   float64 // start tag of the last entry popped
}

// profileQueue holds the entries of one profile.
type profileQueue[T any] struct {
	profile      types.ProfileName
	weight       int
	entries      []*Entry[T]
	removedCount int     // number of removed entries in entries
	startTag     float64 // start tag of the first entry
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.length }

// Push adds a value at the end of its profile's queue. cost must be above zero.
func (q *Queue[T]) Push(profile types.ProfileName, weight int, cost float64, v T) *Entry[T] {
	l := q.profileQueue(profile)
	l.weight = max(1, weight)
	if len(l.entries) == l.removedCount {
		l.startTag = max(l.startTag, q.virtualTime)
	}
	e := &Entry[T]{Value: v, cost: cost}
	l.entries = append(l.entries, e)
	q.length++
	return e
}

// Remove removes an entry that is still queued.
func (q *Queue[T]) Remove(profile types.ProfileName, e *Entry[T]) {
	if e.removed {
		return
	}
	e.removed = true
	q.length--
	l := q.profileQueue(profile)
	l.removedCount++
	if l.removedCount > len(l.entries)/2 {
		l.entries = slices.DeleteFunc(l.entries, func(e *Entry[T]) bool { return e.removed })
		l.removedCount = 0
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

// Pop removes and returns the next value.
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
	q.virtualTime = l.startTag
	l.startTag += e.cost / float64(l.weight)
	return e.Value, true
}

// Drain removes and returns all values, in the order of Pop.
func (q *Queue[T]) Drain() []T {
	var all []T
	for v, ok := q.Pop(); ok; v, ok = q.Pop() {
		all = append(all, v)
	}
	return all
}

// next returns the profile's queue with the lowest start tag, or nil.
func (q *Queue[T]) next() *profileQueue[T] {
	var best *profileQueue[T]
	for _, l := range q.profileQueues {
		l.trimRemoved()
		if len(l.entries) > 0 && (best == nil || l.startTag < best.startTag) {
			best = l
		}
	}
	return best
}

// trimRemoved drops removed entries from the front.
func (l *profileQueue[T]) trimRemoved() {
	for len(l.entries) > 0 && l.entries[0].removed {
		l.entries = l.entries[1:]
		l.removedCount--
	}
}

// profileQueue returns the queue of a profile, which it creates if there is none.
func (q *Queue[T]) profileQueue(profile types.ProfileName) *profileQueue[T] {
	i, ok := slices.BinarySearchFunc(q.profileQueues, profile, func(l *profileQueue[T], p types.ProfileName) int {
		return cmp.Compare(l.profile, p)
	})
	if !ok {
		q.profileQueues = slices.Insert(q.profileQueues, i, &profileQueue[T]{profile: profile})
	}
	return q.profileQueues[i]
}
