package promotion_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func (w *world) isMember(name types.TargetName) bool {
	_, ok := w.group().Target(name)
	return ok
}

func TestNewTargetTakesThePlaceOfALostOne(t *testing.T) {
	w := started(t)
	w.primary().write(4)
	w.Run(time.Second)
	lost := w.replica()
	lost.down = true
	w.Run(10 * time.Second)
	w.addTarget("t4")
	w.Run(10 * time.Second)
	assert.Equal(t, w.isMember("t4"), false, "a member was replaced too early")
	_, ok := w.run(time.Minute, func() bool { return w.isMember("t4") })
	assert.Assert(t, ok, "%+v", w.group())
	assert.Equal(t, w.isMember(lost.name), false)
	_, ok = w.run(3*time.Second, func() bool { return w.targets["t4"].pos.Offset == 4 })
	assert.Assert(t, ok, "the new target did not follow")
	w.primary().down = true
	_, ok = w.run(3*time.Second, func() bool { return w.serving(2) })
	assert.Assert(t, ok)
	assert.Equal(t, w.primary().pos.Offset, uint64(4))
}

// TestNewTargetWaitsForTheOthers has a write that only the primary and the
// lost member hold. The new target must not make a quorum without it.
func TestNewTargetWaitsForTheOthers(t *testing.T) {
	w := started(t)
	lost := w.replica()
	var behind *fakeTarget
	for _, m := range w.targets {
		if m != lost && m != w.primary() {
			behind = m
		}
	}
	behind.leader = ""
	w.primary().write(4)
	w.Run(time.Second)
	lost.down = true
	w.addTarget("t4")
	w.Run(time.Minute)
	assert.Equal(t, w.isMember("t4"), false, "a target joined while another member was behind")
	behind.leader, behind.pos = w.group().Primary, w.primary().pos
	_, ok := w.run(time.Minute, func() bool { return w.isMember("t4") })
	assert.Assert(t, ok, "%+v", w.group())
}
