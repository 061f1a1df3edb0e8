package session

import (
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// BenchmarkRead measures what one read on a replica costs the shard, from its
// arrival to its answer.
func BenchmarkRead(b *testing.B) {
	d := newDriver(b)
	token := pos(0)
	d.step(openWith(1, types.SessionParams{Service: svcName, Token: &token}))
	b.ReportAllocs()
	for b.Loop() {
		d.read(1)
		e, _ := d.sent()
		d.answerAs(e, types.TxIdle, types.TargetStatus{Term: 1, Pos: pos(0)})
		d.sends, d.answers, d.seen, d.reports = d.sends[:0], d.answers[:0], d.seen[:0], d.reports[:0]
	}
}
