package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// never is a lag that no test waits for.
const never = time.Hour

// setLag sets the lag of all members but one.
func (w *world) setLag(except *target, lag time.Duration) {
	for _, t := range w.targets {
		if t != except {
			t.lag = lag
		}
	}
}

// TestRecordedAnswerSurvivesLaterPromotions is figure 8 of the Raft paper with
// a recorded answer: a write of term 1 reaches a majority in term 3 only, while
// a member with an entry of term 2 is away. The write is acknowledged by its
// id, and the member of term 2 comes back.
func TestRecordedAnswerSurvivesLaterPromotions(t *testing.T) {
	w := newWorld(t, 8, 3, 2, 3)
	first := w.waitServing()
	c, other := w.oracle.newCaller(), w.oracle.newCaller()
	w.setLag(nil, never)
	w.oracle.open(c, w.proxies["proxy-1"])
	w.oracle.write(c, "charge-1")
	w.cluster.Run(askGap)
	w.oracle.leave(c)
	w.cluster.Run(askGap)
	w.crashTarget(first)

	second := w.nextPrimary(t, first)
	w.oracle.open(other, w.proxies["proxy-2"])
	w.oracle.write(other, "")
	w.cluster.Run(askGap)
	w.crashTarget(second)
	w.cluster.Start(first.host())

	w.nextPrimary(t, second)
	w.setLag(nil, usualLag)
	w.repeat(t, c)
	w.crashTarget(first)
	w.cluster.Start(second.host())
	w.nextPrimary(t, first)
	w.cluster.Start(first.host())
	w.checkAllServe()
}

// nextPrimary waits until another member than old serves.
func (w *world) nextPrimary(t *testing.T, old *target) *target {
	t.Helper()
	if !w.cluster.RunUntil(settle, func() bool { p := w.serving(); return p != nil && p != old }) {
		t.Fatalf("no other primary than %s within %v", old.name, settle)
	}
	return w.serving()
}

// repeat sends a request with an id again until it is acknowledged.
func (w *world) repeat(t *testing.T, c *caller) {
	t.Helper()
	for range int(settle / askGap) {
		if c.request == nil {
			w.oracle.open(c, w.proxies["proxy-1"])
			w.oracle.write(c, types.RequestID("charge-1"))
		}
		w.cluster.Run(askGap)
		if len(c.acked) > 0 {
			return
		}
	}
	t.Fatalf("the repeated request was not acknowledged: %v", w.oracle.refusals)
}
