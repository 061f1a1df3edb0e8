package runtime

import (
	"context"
	"fmt"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// execFunc is an executor made of a function.
type execFunc func(effect.Effect)

func (f execFunc) execute(eff effect.Effect) { f(eff) }

// BenchmarkLoopRoundTrip measures one event to a sleeping loop and its effect
// back, with the loop's goroutine locked to a thread and without.
func BenchmarkLoopRoundTrip(b *testing.B) {
	for _, thread := range []bool{false, true} {
		b.Run(fmt.Sprintf("locked=%t", thread), func(b *testing.B) {
			back := make(chan struct{}, 1)
			l := newLoop(loopOptions{
				reducer: core.New(partFunc(func(in event.Input) []effect.Effect {
					if _, ok := in.Event.(event.DrainBegan); ok {
						return []effect.Effect{effect.Decide{}}
					}
					return nil
				})),
				exec:  execFunc(func(effect.Effect) { back <- struct{}{} }),
				clock: NewClock(), seed: zeroSeed, queue: 16, thread: thread,
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go l.run(ctx)
			for b.Loop() {
				l.post(event.DrainBegan{})
				<-back
			}
		})
	}
}

// BenchmarkSessionOpen measures the state that the runtime keeps for a
// session, without the reducer's and the socket's.
func BenchmarkSessionOpen(b *testing.B) {
	p := NewProxy(ProxyOptions{
		Control: core.New(), Shards: 2, Clock: NewClock(), Seed: zeroSeed,
		Shard: func(int) *core.Reducer { return core.New() }, Recorder: noRecorder{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Open(types.SessionParams{Service: "orders"}); err != nil {
			b.Fatal(err)
		}
	}
}
