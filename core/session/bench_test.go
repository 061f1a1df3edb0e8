package session

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// BenchmarkRead measures the shard's work for one read on a replica, from its
// arrival to its answer.
func BenchmarkRead(b *testing.B) {
	h := newHarness(b)
	token := pos(0)
	h.step(sessionOpened(1, types.SessionParams{Service: svcName, Token: &token}))
	b.ReportAllocs()
	for b.Loop() {
		h.sendRead(1)
		e, _ := h.lastSent()
		h.answerWith(e, types.TxIdle, types.TargetStatus{Term: 1, Pos: pos(0)})
		h.sends, h.answers, h.observations, h.reports = h.sends[:0], h.answers[:0], h.observations[:0], h.reports[:0]
	}
}
