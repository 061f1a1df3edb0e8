package standin

import (
	"context"
	"sync"
	"time"
)

// eventQueueCapacity is the number of events that can wait for the loop.
const eventQueueCapacity = 1024

// loop owns the reducer and executes its effects.
type loop struct {
	member    *member
	events    chan event
	done      chan struct{}
	follower  *follower
	left      chan struct{} // closed when a leaving member is not the primary and has no work in progress
	leaveDone bool

	mu      sync.Mutex
	replies map[connID]chan effect
	lastID  connID
}

func newLoop(o memberOptions, lag time.Duration) *loop {
	l := &loop{
		member:  newMember(o),
		events:  make(chan event, eventQueueCapacity),
		done:    make(chan struct{}),
		left:    make(chan struct{}),
		replies: make(map[connID]chan effect),
	}
	l.follower = newFollower(l, lag)
	return l
}

// run passes events to the reducer until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer l.follower.stop()
	for {
		select {
		case ev := <-l.events:
			for _, eff := range l.member.step(time.Now().UnixNano(), ev) {
				l.execute(ctx, eff)
			}
		case <-ctx.Done():
			return
		}
	}
}

// post queues an event for the reducer. It returns false if the loop has ended.
func (l *loop) post(ev event) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.done:
		return false
	}
}

// register returns the ID of a new connection and the channel for its replies.
func (l *loop) register() (connID, chan effect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	replies := make(chan effect, 1)
	l.replies[l.lastID] = replies
	return l.lastID, replies
}

func (l *loop) unregister(id connID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.replies, id)
}

func (l *loop) execute(ctx context.Context, eff effect) {
	switch e := eff.(type) {
	case admit:
		l.reply(e.conn, e)
	case reply:
		l.reply(e.conn, e)
	case replyDescription:
		l.reply(e.conn, e)
	case sendEntries:
		l.reply(e.conn, e)
	case delay:
		time.AfterFunc(e.duration, func() { l.post(delayElapsed{conn: e.conn}) })
	case startFollower:
		l.follower.start(ctx, e)
	case requestStream:
		l.follower.submitRequest(e)
	case stopFollower:
		l.follower.stop()
	case setLag:
		l.follower.lag.Store(int64(e.lag))
	case leaveCompleted:
		l.completeLeave()
	}
}

// reply sends an answer to a connection. The channel has capacity for one, since a
// connection has at most one request in flight. An answer to a closed connection is
// dropped, and so is one that finds the channel full, so that the loop never blocks.
func (l *loop) reply(id connID, eff effect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if replies, ok := l.replies[id]; ok {
		select {
		case replies <- eff:
		default:
		}
	}
}

func (l *loop) completeLeave() {
	if !l.leaveDone {
		l.leaveDone = true
		close(l.left)
	}
}
