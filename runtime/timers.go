package runtime

import (
	"container/heap"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// maxTimerWait is the longest wait of a loop without armed timers.
const maxTimerWait = time.Hour

// timer is an armed timer and its index in the heap.
type timer struct {
	id    event.TimerID
	at    types.Instant
	index int
}

// timerQueue is a priority queue of the armed timers of one loop, ordered by the
// instant at which they are due.
type timerQueue struct {
	heap timerHeap
	byID map[event.TimerID]*timer
}

// arm sets a timer, or changes its instant if it is armed already.
func (q *timerQueue) arm(id event.TimerID, at types.Instant) {
	if q.byID == nil {
		q.byID = make(map[event.TimerID]*timer)
	}
	if t, ok := q.byID[id]; ok {
		t.at = at
		heap.Fix(&q.heap, t.index)
		return
	}
	t := &timer{id: id, at: at}
	q.byID[id] = t
	heap.Push(&q.heap, t)
}

// stop cancels a timer.
func (q *timerQueue) stop(id event.TimerID) {
	if t, ok := q.byID[id]; ok {
		heap.Remove(&q.heap, t.index)
		delete(q.byID, id)
	}
}

// popDue removes and returns the timer that has been due for longest, if any is due.
func (q *timerQueue) popDue(now types.Instant) (event.TimerID, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return event.TimerID{}, false
	}
	t := heap.Pop(&q.heap).(*timer)
	delete(q.byID, t.id)
	return t.id, true
}

// untilNext returns the time until the next timer is due.
func (q *timerQueue) untilNext(now types.Instant) time.Duration {
	if len(q.heap) == 0 {
		return maxTimerWait
	}
	return max(0, q.heap[0].at.Sub(now))
}

// timerHeap orders timers by the instant at which they are due.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a timer at the end, for container/heap.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes and returns the timer at the end, for container/heap.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
