package standin

import (
	"context"
	"sync"
	"time"
)

// eventQueue is how many events may wait for the loop.
const eventQueue = 1024

// loop owns the reducer and carries out its effects.
type loop struct {
	member *member
	events chan event
	done   chan struct{}
	follow *follower
	left   chan struct{} // closed once a leaving member is idle
	isLeft bool

	mu      sync.Mutex
	replies map[connID]chan effect
	lastID  connID
}

func newLoop(o memberOptions, lag time.Duration) *loop {
	l := &loop{
		member:  newMember(o),
		events:  make(chan event, eventQueue),
		done:    make(chan struct{}),
		left:    make(chan struct{}),
		replies: make(map[connID]chan effect),
	}
	l.follow = newFollower(l, lag)
	return l
}

// run steps the reducer until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer l.follow.stop()
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

// post hands over an event. It reports false once the loop has ended.
func (l *loop) post(ev event) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.done:
		return false
	}
}

// register gives a new connection its name and the channel of its replies.
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
		time.AfterFunc(e.time, func() { l.post(delayElapsed{conn: e.conn}) })
	case follow:
		l.follow.start(ctx, e)
	case askStream:
		l.follow.ask(e)
	case unfollow:
		l.follow.stop()
	case setLag:
		l.follow.lag.Store(int64(e.lag))
	case left:
		l.markLeft()
	}
}

// reply hands an answer to its connection, which has one request at a time.
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

func (l *loop) markLeft() {
	if !l.isLeft {
		l.isLeft = true
		close(l.left)
	}
}
