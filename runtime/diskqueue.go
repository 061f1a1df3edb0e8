package runtime

import (
	"context"
	"slices"
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

// groupWrites divides writes into groups that are written and synced together. A write
// with a snapshot is alone in its group.
func groupWrites(writes []effect.Persist) [][]effect.Persist {
	var out [][]effect.Persist
	for i, w := range writes {
		if i == 0 || w.Snapshot != nil || writes[i-1].Snapshot != nil {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], w)
	}
	return out
}

// mergeWrites returns the write that has the effect of all writes of a group.
func mergeWrites(group []effect.Persist) effect.Persist {
	out := group[0]
	for _, w := range group[1:] {
		out = mergeWrite(out, w)
	}
	return out
}

// mergeWrite returns the write that has the effect of first and then next.
func mergeWrite(first, next effect.Persist) effect.Persist {
	kept := first.Entries
	for len(next.Entries) > 0 && len(kept) > 0 && kept[len(kept)-1].Index >= next.Entries[0].Index {
		kept = kept[:len(kept)-1]
	}
	next.Entries = slices.Concat(kept, next.Entries)
	if next.HardState == nil {
		next.HardState = first.HardState
	}
	return next
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
