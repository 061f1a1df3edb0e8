package runtime

import (
	"context"
	goruntime "runtime"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// executor executes the effects of one loop, on the loop's goroutine.
type executor interface {
	execute(eff effect.Effect)
}

// eventSource holds events that are queued apart from the others of a loop.
type eventSource interface {
	// ready returns a channel that holds a value while events wait.
	ready() <-chan struct{}
	// next removes and returns the next event, if there is one.
	next() (event.Event, bool)
}

// loopOptions configures a loop.
type loopOptions struct {
	reducer    *core.Reducer
	executor   executor
	clock      Clock
	seed       func() uint64
	view       func() *types.NodeView // nil on control loops
	maxEvents  int                    // capacity of the event queue
	lockThread bool                   // lock the goroutine to an OS thread
	source     eventSource            // may be nil
	calls      <-chan event.Event     // less urgent than events and source; may be nil
}

// loop owns a reducer and passes it one event at a time.
type loop struct {
	loopOptions
	events     chan event.Event
	viewSignal chan struct{} // holds a token while a changed view is not processed
	timers     timerQueue
	polls      int // number of calls of poll
	done       chan struct{}
}

func newLoop(o loopOptions) *loop {
	return &loop{
		loopOptions: o,
		events:      make(chan event.Event, o.maxEvents),
		viewSignal:  make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
}

// post queues an event and blocks while the queue is full. It reports false once
// the loop has ended.
func (l *loop) post(ev event.Event) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.done:
		return false
	}
}

// viewChanged makes the loop process the latest published view.
func (l *loop) viewChanged() {
	select {
	case l.viewSignal <- struct{}{}:
	default:
	}
}

// run processes events and timers until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	if l.lockThread {
		goruntime.LockOSThread()
		defer goruntime.UnlockOSThread()
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.step(event.Start{})
	var sourceReady <-chan struct{}
	if l.source != nil {
		sourceReady = l.source.ready()
	}
	for ctx.Err() == nil {
		l.fireTimers()
		if ev, ok := l.poll(); ok {
			l.step(ev)
			continue
		}
		timer.Reset(l.timers.untilNext(l.clock()))
		select {
		case ev := <-l.events:
			l.step(ev)
		case <-sourceReady: // poll takes the event
		case ev := <-l.calls:
			l.step(ev)
		case <-l.viewSignal:
			l.step(event.ViewChanged{})
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// fairShare is how often poll begins with the least urgent events, so that a loop that is
// behind gets on with all of them.
const fairShare = 4

// poll returns an event of a loop with several queues, if one waits: those of events come
// first, then those of source, then calls.
func (l *loop) poll() (event.Event, bool) {
	if l.source == nil {
		return nil, false
	}
	l.polls++
	if l.polls%fairShare == 0 {
		if ev, ok := receive(l.calls); ok {
			return ev, true
		}
		if ev, ok := l.source.next(); ok {
			return ev, true
		}
	}
	if ev, ok := receive(l.events); ok {
		return ev, true
	}
	if ev, ok := l.source.next(); ok {
		return ev, true
	}
	return receive(l.calls)
}

// receive returns an event that waits in a channel, if there is one.
func receive(events <-chan event.Event) (event.Event, bool) {
	select {
	case ev := <-events:
		return ev, true
	default:
		return nil, false
	}
}

// fireTimers passes the reducer an event for each timer that is due.
func (l *loop) fireTimers() {
	now := l.clock()
	for {
		id, ok := l.timers.popDue(now)
		if !ok {
			return
		}
		l.step(event.TimerFired{ID: id})
	}
}

func (l *loop) step(ev event.Event) {
	in := event.Input{Now: l.clock(), Seed: l.seed(), Event: ev}
	if l.view != nil {
		in.View = l.view()
	}
	for _, eff := range l.reducer.Step(in) {
		switch e := eff.(type) {
		case effect.ArmTimer:
			l.timers.arm(e.ID, e.At)
		case effect.StopTimer:
			l.timers.stop(e.ID)
		default:
			l.executor.execute(eff)
		}
	}
}
