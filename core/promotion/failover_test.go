package promotion_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// started returns a world whose group serves its first term.
func started(t *testing.T) *world {
	t.Helper()
	w := newWorld(t, 3, 4, 3)
	_, ok := w.run(3*time.Second, func() bool { return w.serving(1) })
	assert.Assert(t, ok, "no first primary: %+v", w.group())
	w.pass(2 * time.Second)
	assert.Equal(t, w.group().Term, types.Term(1))
	return w
}

func (w *world) primary() *fakeTarget { return w.targets[w.group().Primary] }

func TestFirstPrimary(t *testing.T) {
	w := started(t)
	assert.Equal(t, w.replies[1].Change.Accepted, true)
	for name, target := range w.targets {
		assert.Equal(t, target.term, types.Term(1), "target %s", name)
		assert.Equal(t, target.primary, name == w.group().Primary, "target %s", name)
	}
	for id, p := range w.proxies {
		assert.Equal(t, len(p.view.Shares), 3, "proxy %s", id)
	}
}

func TestFailoverAfterKill(t *testing.T) {
	w := started(t)
	old := w.primary()
	old.write(7)
	w.pass(20 * time.Millisecond)
	old.down = true
	gap, ok := w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok, "no second primary: %+v", w.group())
	assert.Assert(t, gap <= time.Second, "failover took %v", gap)
	assert.Equal(t, w.primary().pos.Offset, uint64(7))
	assert.Assert(t, w.primary() != old)
}
