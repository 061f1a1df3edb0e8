package coretest

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// queued is an event to be delivered to one run of a host.
type queued struct {
	at    time.Duration
	order uint64 // breaks ties between events of the same time
	host  *Host
	run   int
	event event.Event
}

// eventQueue is a heap of events, ordered by delivery time.
type eventQueue []queued

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(queued)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// sortedHostIDs returns the IDs of the hosts in order.
func sortedHostIDs(hosts map[types.HostID]*Host) []types.HostID {
	return slices.Sorted(maps.Keys(hosts))
}
