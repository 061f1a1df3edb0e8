package runtime

import (
	"context"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
)

// diskQueue holds the writes that wait for the disk goroutine. Adding a write never
// blocks, because the control goroutine of a control host must continue to process
// the events of writes that were synced.
type diskQueue struct {
	mu       sync.Mutex
	pending  []effect.Persist
	notEmpty chan struct{} // holds a value while the queue may hold writes
}

func newDiskQueue() *diskQueue {
	return &diskQueue{notEmpty: make(chan struct{}, 1)}
}

// add appends a write.
func (q *diskQueue) add(p effect.Persist) {
	q.mu.Lock()
	q.pending = append(q.pending, p)
	q.mu.Unlock()
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// takeAll waits for writes and returns all of them in order, or nil once ctx has
// ended.
func (q *diskQueue) takeAll(ctx context.Context) []effect.Persist {
	for {
		select {
		case <-q.notEmpty:
		case <-ctx.Done():
			return nil
		}
		q.mu.Lock()
		batch := q.pending
		q.pending = nil
		q.mu.Unlock()
		if len(batch) > 0 {
			return batch
		}
	}
}
