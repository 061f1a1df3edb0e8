package runtime

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTimerQueueFiresEachTimerOnceAtItsLastSetting compares the queue with a plain
// map.
func TestTimerQueueFiresEachTimerOnceAtItsLastSetting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q timerQueue
		model := map[event.TimerID]types.Instant{}
		now := types.Instant(0)
		t.Repeat(map[string]func(*rapid.T){
			"arm": func(t *rapid.T) {
				id := event.TimerID{Domain: event.DomainProbe, Key: rapid.Uint64Range(0, 8).Draw(t, "key")}
				at := now + types.Instant(rapid.IntRange(1, 50).Draw(t, "wait"))
				q.arm(id, at)
				model[id] = at
			},
			"stop": func(t *rapid.T) {
				id := event.TimerID{Domain: event.DomainProbe, Key: rapid.Uint64Range(0, 8).Draw(t, "key")}
				q.stop(id)
				delete(model, id)
			},
			"advance": func(t *rapid.T) {
				now += types.Instant(rapid.IntRange(1, 30).Draw(t, "step"))
				for id, ok := q.popDue(now); ok; id, ok = q.popDue(now) {
					at, armed := model[id]
					assert.Assert(t, armed && at <= now, "timer %v fired at %d", id, now)
					delete(model, id)
				}
				for id, at := range model {
					assert.Assert(t, at > now, "timer %v due at %d has not fired at %d", id, at, now)
				}
			},
		})
	})
}
