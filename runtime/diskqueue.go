package runtime

import (
	"context"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
)

// diskQueue holds the writes that wait for the disk goroutine. Adding never
// blocks, since the control goroutine must go on to take in what was synced.
type diskQueue struct {
	mu      sync.Mutex
	waiting []effect.Persist
	filled  chan struct{} // holds a token while writes may wait
}

func newDiskQueue() *diskQueue {
	return &diskQueue{filled: make(chan struct{}, 1)}
}

// add appends a write.
func (q *diskQueue) add(p effect.Persist) {
	q.mu.Lock()
	q.waiting = append(q.waiting, p)
	q.mu.Unlock()
	select {
	case q.filled <- struct{}{}:
	default:
	}
}

// take waits for writes and returns all of them in order, or nil once ctx has
// ended.
func (q *diskQueue) take(ctx context.Context) []effect.Persist {
	for {
		select {
		case <-q.filled:
		case <-ctx.Done():
			return nil
		}
		q.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		q.mu.Unlock()
		if len(batch) > 0 {
			return batch
		}
	}
}
