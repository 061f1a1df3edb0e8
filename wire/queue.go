package wire

import "sync"

// maxQueuedFrames is how many frames may wait to be written to one connection.
const maxQueuedFrames = 256

// queue holds the frames that wait for a connection's writer. When it is full the
// oldest frame is dropped: every message is either sent again or superseded by a
// newer one.
type queue struct {
	mu       sync.Mutex
	frames   []Frame
	dropped  uint64
	notEmpty chan struct{} // holds a token while frames wait
}

func newQueue() *queue { return &queue{notEmpty: make(chan struct{}, 1)} }

// put adds a frame without blocking, and drops the oldest one if the queue is full.
func (q *queue) put(f Frame) {
	q.mu.Lock()
	if len(q.frames) == maxQueuedFrames {
		q.frames = q.frames[1:]
		q.dropped++
	}
	q.frames = append(q.frames, f)
	q.mu.Unlock()
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// droppedCount returns how many frames were dropped.
func (q *queue) droppedCount() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// takeAll removes and returns all frames.
func (q *queue) takeAll() []Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	fs := q.frames
	q.frames = nil
	return fs
}
