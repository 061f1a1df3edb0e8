// Package budget is the edge of package callers: it reports what connections hold and
// closes those that are chosen.
package budget

import (
	"sync"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/callers"
	"k8s.io/klog/v2"
)

// logInterval is the minimum time between two log lines about closed connections.
const logInterval = time.Second

// Budget is the memory of one process for its callers. It passes one event at a time to
// the reducer, in the goroutine of the connection that the event is about.
type Budget struct {
	limit int // bytes; zero means no limit

	mu       sync.Mutex
	memory   *callers.Memory
	ends     map[callers.ID]func() // closes the connection
	lastID   callers.ID
	loggedAt time.Time
	closed   int // connections closed since the last log line
}

// New returns a budget of a number of bytes; zero means no limit.
func New(limit int) *Budget {
	return &Budget{limit: limit, memory: callers.NewMemory(limit), ends: make(map[callers.ID]func())}
}

// Holder is what one connection holds. Its methods are used by one goroutine.
type Holder struct {
	budget *Budget
	id     callers.ID
}

// Open returns the holder of a new connection. end is called from another goroutine if
// the connection is closed for want of memory.
func (b *Budget) Open(end func()) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	b.ends[b.lastID] = end
	return &Holder{budget: b, id: b.lastID}
}

// Resize sets how many bytes the connection holds, and whether a request is in progress.
// It reports false if the connection is closed for want of memory.
func (h *Holder) Resize(size int, busy bool) bool {
	b := h.budget
	if b.limit == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	goesOn := true
	for _, c := range b.memory.Step(callers.Held{Caller: h.id, Bytes: size, Busy: busy}) {
		b.logClosed()
		if c.Caller == h.id {
			goesOn = false
			continue
		}
		go b.ends[c.Caller]()
	}
	return goesOn
}

// Close ends the holder of a connection that was closed.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory.Step(callers.Left{Caller: h.id})
	delete(b.ends, h.id)
}

// logClosed writes a line about closed connections, at most one each logInterval.
func (b *Budget) logClosed() {
	b.closed++
	if now := time.Now(); now.Sub(b.loggedAt) >= logInterval {
		klog.InfoS("callers_closed", "count", b.closed, "limit_bytes", b.limit, "reason", "they hold most of the memory for callers")
		b.loggedAt, b.closed = now, 0
	}
}
