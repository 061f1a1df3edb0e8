package session

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

func waitingRequest(seq types.RequestSeq, arrived types.Instant) *request {
	r := &request{arrived: arrived, profile: types.Profile{Name: "p", Weight: 1, Objective: 500 * time.Millisecond}}
	r.Seq = seq
	return r
}

// TestBacklogThatIsLateWaits covers the restart of everything, after which more
// requests wait than can be answered in time: those that still can go first.
func TestBacklogThatIsLateWaits(t *testing.T) {
	var q queue
	for i := range 3 {
		q.push(waitingRequest(types.RequestSeq(i), 0), 0)
	}
	q.push(waitingRequest(10, 400*ms), 0)
	q.deprioritizeLate(450*ms, 100*time.Millisecond)
	var order []types.RequestSeq
	for q.len() > 0 {
		order = append(order, q.pop().Seq)
	}
	assert.DeepEqual(t, order, []types.RequestSeq{10, 0, 1, 2})
}

func TestLateRequestCanBeTakenOut(t *testing.T) {
	var q queue
	late, timely := waitingRequest(1, 0), waitingRequest(2, 500*ms)
	q.push(late, 0)
	q.push(timely, 0)
	q.deprioritizeLate(600*ms, 0)
	assert.Assert(t, late.late && !timely.late)
	q.remove(late)
	assert.Equal(t, q.len(), 1)
	assert.Equal(t, q.pop(), timely)
}

// TestOverloadAnswersInTime sends twice as much work as one primary can do for
// three seconds. Of what it does, nearly all is in time.
func TestOverloadAnswersInTime(t *testing.T) {
	const took, gap, objective = 20 * time.Millisecond, 5 * time.Millisecond, 200 * time.Millisecond
	d := newManagedDriver(t)
	p := d.config.Profiles["strict"]
	p.Objective, p.RequestTimeout, p.QueueTimeout = objective, time.Second, time.Second
	d.config.Profiles["strict"] = p
	d.share("a", types.Share{Connections: 2, Slots: 1})
	d.setView(func(*types.NodeView, *types.Group) {})
	arrived := make(map[types.RequestSeq]types.Instant)
	var underWay []underWayExchange
	inTime, late, sent := 0, 0, 0
	for id := types.SessionID(1); id <= 600; id++ {
		d.openDatabase(id, "orders")
		seq := d.readOnce(id)
		arrived[seq] = d.now
		for len(underWay) > 0 && underWay[0].due <= d.now {
			d.answerRead(underWay[0].exchange, took)
			underWay = underWay[1:]
			if last := d.answers[len(d.answers)-1]; d.now.Sub(arrived[last.Seq]) <= objective {
				inTime++
			} else {
				late++
			}
		}
		for ; sent < len(d.sends); sent++ {
			underWay = append(underWay, underWayExchange{d.sends[sent], d.now.Add(took)})
		}
		d.advance(gap)
	}
	assert.Assert(t, inTime+late > 200, "only %d answers", inTime+late)
	assert.Assert(t, inTime > 9*(inTime+late)/10, "%d answers in time, %d late", inTime, late)
}

// underWayExchange is an exchange and when it will be answered.
type underWayExchange struct {
	exchange effect.SendTarget
	due      types.Instant
}

// answerRead answers a read that took so long.
func (d *driver) answerRead(e effect.SendTarget, took time.Duration) {
	a := answered(e, []types.Result{{}, {Status: types.TargetStatus{Pos: logPos(1)}}})
	a.Took = took
	d.step(a)
}
