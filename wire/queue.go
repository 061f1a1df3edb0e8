package wire

import "sync"

// queueLength is how many frames may wait for one connection.
const queueLength = 256

// queue holds the frames that wait for a connection's writer. When it is full
// the oldest one goes: every message is either repeated or replaced by a newer.
type queue struct {
	mu      sync.Mutex
	frames  []Frame
	dropped uint64
	ready   chan struct{} // holds a token while frames wait
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

// put adds a frame and never blocks.
func (q *queue) put(f Frame) {
	q.mu.Lock()
	if len(q.frames) == queueLength {
		q.frames = q.frames[1:]
		q.dropped++
	}
	q.frames = append(q.frames, f)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// droppedCount returns how many frames had to go.
func (q *queue) droppedCount() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// take removes and returns all frames.
func (q *queue) take() []Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	fs := q.frames
	q.frames = nil
	return fs
}
