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

// executor carries out the effects of one loop, on the loop's goroutine.
type executor interface {
	execute(eff effect.Effect)
}

// loopOptions configures a loop.
type loopOptions struct {
	reducer *core.Reducer
	exec    executor
	clock   Clock
	seed    func() uint64
	view    func() *types.NodeView // nil on control loops
	queue   int                    // events that may wait
	thread  bool                   // lock the goroutine to an OS thread
}

// loop owns a reducer and steps it with one event at a time.
type loop struct {
	loopOptions
	events chan event.Event
	notify chan struct{} // the view changed
	timers timerQueue
	done   chan struct{}
}

func newLoop(o loopOptions) *loop {
	return &loop{
		loopOptions: o,
		events:      make(chan event.Event, o.queue),
		notify:      make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
}

// post hands over an event and blocks while the queue is full. It reports
// false once the loop has ended.
func (l *loop) post(ev event.Event) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.done:
		return false
	}
}

// viewChanged wakes the loop to act on the last published view.
func (l *loop) viewChanged() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// run steps the reducer until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	if l.thread {
		goruntime.LockOSThread()
		defer goruntime.UnlockOSThread()
	}
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	l.step(event.Start{})
	for {
		l.fireTimers()
		alarm.Reset(l.timers.wait(l.clock()))
		select {
		case ev := <-l.events:
			l.step(ev)
		case <-l.notify:
			l.step(event.ViewChanged{})
		case <-alarm.C:
		case <-ctx.Done():
			return
		}
	}
}

// fireTimers steps the reducer with each timer that is due.
func (l *loop) fireTimers() {
	now := l.clock()
	for {
		id, ok := l.timers.due(now)
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
			l.exec.execute(eff)
		}
	}
}
