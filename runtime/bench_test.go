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

// execFunc adapts a function to an executor.
type execFunc func(effect.Effect)

func (f execFunc) execute(eff effect.Effect) { f(eff) }

// BenchmarkLoopRoundTrip measures the time from posting an event to an idle loop
// until its effect is executed, with and without the loop's goroutine locked to a
// thread.
func BenchmarkLoopRoundTrip(b *testing.B) {
	for _, thread := range []bool{false, true} {
		b.Run(fmt.Sprintf("locked=%t", thread), func(b *testing.B) {
			executed := make(chan struct{}, 1)
			l := newLoop(loopOptions{
				reducer: core.New(partFunc(func(in event.Input) []effect.Effect {
					if _, ok := in.Event.(event.DrainBegan); ok {
						return []effect.Effect{effect.Decide{}}
					}
					return nil
				})),
				executor: execFunc(func(effect.Effect) { executed <- struct{}{} }),
				clock:    NewClock(), seed: zeroSeed, maxEvents: 16, lockThread: thread,
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go l.run(ctx)
			for b.Loop() {
				l.post(event.DrainBegan{})
				<-executed
			}
		})
	}
}

// BenchmarkSessionOpen measures the memory that the runtime keeps for a session,
// without that of the reducer and the socket.
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
		if _, err := p.OpenSession(types.SessionParams{Service: "orders"}); err != nil {
			b.Fatal(err)
		}
	}
}
