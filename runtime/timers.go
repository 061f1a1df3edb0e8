package runtime

import (
	"container/heap"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// idleWait is how long a loop without timers sleeps at most.
const idleWait = time.Hour

// timer is an armed timer and its place in the heap.
type timer struct {
	id    event.TimerID
	at    types.Instant
	place int
}

// timerQueue holds the armed timers of one loop, the next due first.
type timerQueue struct {
	heap timerHeap
	byID map[event.TimerID]*timer
}

// arm sets a timer, or moves it when it is armed already.
func (q *timerQueue) arm(id event.TimerID, at types.Instant) {
	if q.byID == nil {
		q.byID = make(map[event.TimerID]*timer)
	}
	if t, ok := q.byID[id]; ok {
		t.at = at
		heap.Fix(&q.heap, t.place)
		return
	}
	t := &timer{id: id, at: at}
	q.byID[id] = t
	heap.Push(&q.heap, t)
}

// stop cancels a timer.
func (q *timerQueue) stop(id event.TimerID) {
	if t, ok := q.byID[id]; ok {
		heap.Remove(&q.heap, t.place)
		delete(q.byID, id)
	}
}

// due removes and returns a timer whose time has come.
func (q *timerQueue) due(now types.Instant) (event.TimerID, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return event.TimerID{}, false
	}
	t := heap.Pop(&q.heap).(*timer)
	delete(q.byID, t.id)
	return t.id, true
}

// wait returns the time until the next timer is due.
func (q *timerQueue) wait(now types.Instant) time.Duration {
	if len(q.heap) == 0 {
		return idleWait
	}
	return max(0, q.heap[0].at.Sub(now))
}

// timerHeap orders timers by the instant at which they are due.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push adds a timer at the end.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.place = len(*h)
	*h = append(*h, t)
}

// Pop removes the timer at the end.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
