package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func queuedRequest(seq types.RequestSeq, arrived types.Instant) *request {
	r := &request{arrived: arrived, profile: types.Profile{Name: "p", Weight: 1, Objective: 500 * time.Millisecond}}
	r.Seq = seq
	return r
}

// TestLateRequestsAreServedLast covers a restart of the whole system, after
// which more requests wait than can be answered in time. Those that can still
// meet their objective go first.
func TestLateRequestsAreServedLast(t *testing.T) {
	var q queue
	for i := range 3 {
		q.push(queuedRequest(types.RequestSeq(i), 0), 0)
	}
	q.push(queuedRequest(10, 400*ms), 0)
	q.deprioritizeLate(450*ms, 100*time.Millisecond)
	var order []types.RequestSeq
	for q.len() > 0 {
		order = append(order, q.pop().Seq)
	}
	assert.DeepEqual(t, order, []types.RequestSeq{10, 0, 1, 2})
}

func TestLateRequestCanBeRemoved(t *testing.T) {
	var q queue
	lateRequest, timelyRequest := queuedRequest(1, 0), queuedRequest(2, 500*ms)
	q.push(lateRequest, 0)
	q.push(timelyRequest, 0)
	q.deprioritizeLate(600*ms, 0)
	assert.Assert(t, lateRequest.late && !timelyRequest.late)
	q.remove(lateRequest)
	assert.Equal(t, q.len(), 1)
	assert.Equal(t, q.pop(), timelyRequest)
}

// TestOverloadAnswersInTime offers twice the capacity of one primary for three
// seconds. More than nine tenths of the answers must meet the objective.
func TestOverloadAnswersInTime(t *testing.T) {
	const latency, interval, objective = 20 * time.Millisecond, 5 * time.Millisecond, 200 * time.Millisecond
	h := newManagedHarness(t)
	p := h.config.Profiles["strict"]
	p.Objective, p.RequestTimeout, p.QueueTimeout = objective, time.Second, time.Second
	h.config.Profiles["strict"] = p
	h.setShare("a", types.Share{Connections: 2, Slots: 1})
	h.setView(func(*types.NodeView, *types.Group) {})
	arrived := make(map[types.RequestSeq]types.Instant)
	var inFlight []inFlightExchange
	inTime, late, sent := 0, 0, 0
	for id := types.SessionID(1); id <= 600; id++ {
		h.openDatabase(id, "orders")
		seq := h.sendManagedRead(id)
		arrived[seq] = h.now
		for len(inFlight) > 0 && inFlight[0].due <= h.now {
			h.answerRead(inFlight[0].exchange, latency)
			inFlight = inFlight[1:]
			if last := h.answers[len(h.answers)-1]; h.now.Sub(arrived[last.Seq]) <= objective {
				inTime++
			} else {
				late++
			}
		}
		for ; sent < len(h.sends); sent++ {
			inFlight = append(inFlight, inFlightExchange{h.sends[sent], h.now.Add(latency)})
		}
		h.advance(interval)
	}
	assert.Assert(t, inTime+late > 200, "only %d answers", inTime+late)
	assert.Assert(t, inTime > 9*(inTime+late)/10, "%d answers in time, %d late", inTime, late)
}

// inFlightExchange is an exchange in flight and when its answer is due.
type inFlightExchange struct {
	exchange effect.SendTarget
	due      types.Instant
}

// answerRead answers a read with the given latency.
func (h *harness) answerRead(e effect.SendTarget, latency time.Duration) {
	a := answeredEvent(e, []types.Result{{}, {Status: types.TargetStatus{Pos: logPos(1)}}})
	a.Latency = latency
	h.step(a)
}
