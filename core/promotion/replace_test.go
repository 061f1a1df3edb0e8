package promotion_test

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func (h *harness) isMember(name types.TargetName) bool {
	_, ok := h.group().Target(name)
	return ok
}

func TestNewTargetTakesThePlaceOfALostOne(t *testing.T) {
	h := startServing(t)
	h.primary().write(4)
	h.Run(time.Second)
	lost := h.replica()
	lost.down = true
	h.Run(10 * time.Second)
	h.addTarget("t4")
	h.Run(10 * time.Second)
	assert.Equal(t, h.isMember("t4"), false, "a member was replaced before it was silent for long enough")
	_, ok := h.runUntil(time.Minute, func() bool { return h.isMember("t4") })
	assert.Assert(t, ok, "%+v", h.group())
	assert.Equal(t, h.isMember(lost.name), false)
	_, ok = h.runUntil(3*time.Second, func() bool { return h.targets["t4"].pos.Offset == 4 })
	assert.Assert(t, ok, "the new target did not follow")
	h.primary().down = true
	_, ok = h.runUntil(3*time.Second, func() bool { return h.serving(2) })
	assert.Assert(t, ok)
	assert.Equal(t, h.primary().pos.Offset, uint64(4))
}

// TestNewTargetWaitsForTheOthers has a write that only the primary and the
// lost member hold. A new target must not be part of a quorum that lacks this
// write.
func TestNewTargetWaitsForTheOthers(t *testing.T) {
	h := startServing(t)
	lost := h.replica()
	var behind *fakeTarget
	for _, m := range h.targets {
		if m != lost && m != h.primary() {
			behind = m
		}
	}
	behind.leader = ""
	h.primary().write(4)
	h.Run(time.Second)
	lost.down = true
	h.addTarget("t4")
	h.Run(time.Minute)
	assert.Equal(t, h.isMember("t4"), false, "a target joined while another member was behind")
	behind.leader, behind.pos = h.group().Primary, h.primary().pos
	_, ok := h.runUntil(time.Minute, func() bool { return h.isMember("t4") })
	assert.Assert(t, ok, "%+v", h.group())
}
