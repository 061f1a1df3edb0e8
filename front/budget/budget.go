// Package budget bounds the memory that the connections of a front hold for its callers:
// messages that are not complete, requests in progress, answers that are not read and the
// state of sessions.
package budget

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// logInterval is the minimum time between two log lines about closed connections.
const logInterval = time.Second

// Budget is the memory of one process for its callers.
type Budget struct {
	limit int // bytes; zero means no limit

	mu       sync.Mutex
	held     int
	holders  map[*Holder]struct{} // that hold something
	loggedAt time.Time
	closed   int // connections closed since the last log line
}

// New returns a budget of a number of bytes; zero means no limit.
func New(limit int) *Budget {
	return &Budget{limit: limit, holders: make(map[*Holder]struct{})}
}

// Holder is what one connection holds. Its methods are used by one goroutine.
type Holder struct {
	budget *Budget
	end    func() // closes the connection

	// Guarded by the mutex of the budget.
	size   int
	busy   bool // a request is in progress, which must not be cut off
	closed bool
}

// Open returns the holder of a new connection. end is called from another goroutine if
// the connection is closed for want of memory.
func (b *Budget) Open(end func()) *Holder { return &Holder{budget: b, end: end} }

// Resize sets how many bytes the connection holds, and whether a request is in progress.
// If the budget is short, the connections that hold most and have no request in progress
// are closed first. It reports false if this connection is one of them or was closed
// before.
func (h *Holder) Resize(size int, busy bool) bool {
	b := h.budget
	if b.limit == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return false
	}
	growth := size - h.size
	h.busy = false
	for growth > 0 && b.held+growth > b.limit {
		largest := b.largest(h, size)
		b.remove(largest)
		b.logClosed()
		if largest == h {
			return false
		}
		go largest.end()
	}
	b.held += growth
	h.size, h.busy = size, busy
	if size > 0 {
		b.holders[h] = struct{}{}
	} else {
		delete(b.holders, h)
	}
	return true
}

// Close ends the holder of a connection that was closed.
func (h *Holder) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.remove(h)
}

// largest returns the connection that may be closed and holds most, if h held size bytes.
func (b *Budget) largest(h *Holder, size int) *Holder {
	for o := range b.holders {
		if o != h && !o.busy && o.size > size {
			h, size = o, o.size
		}
	}
	return h
}

// remove takes what a connection holds out of the budget for good.
func (b *Budget) remove(h *Holder) {
	b.held -= h.size
	h.size, h.closed = 0, true
	delete(b.holders, h)
}

// logClosed writes a line about closed connections, at most one each logInterval.
func (b *Budget) logClosed() {
	b.closed++
	if now := time.Now(); now.Sub(b.loggedAt) >= logInterval {
		klog.InfoS("callers_closed", "count", b.closed, "held_bytes", b.held, "limit_bytes", b.limit, "reason", "they hold most of the memory for callers")
		b.loggedAt, b.closed = now, 0
	}
}
