package consensus_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// BenchmarkStepAppend measures the time that a follower spends on an append, by
// number of entries, and on the event of its sync.
func BenchmarkStepAppend(b *testing.B) {
	for _, size := range []uint64{0, 1, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			n := consensus.New(consensus.Options{
				Self: voter("a"), State: func() proto.ClusterState { return proto.ClusterState{} },
				Saved: consensus.PersistentState{Snapshot: &proto.Snapshot{
					Index: 1, Term: 1, Voters: []proto.Voter{voter("a"), voter("b"), voter("c")},
				}},
			})
			n.Step(event.Input{Now: 1, Event: event.Start{}})
			m := proto.Message{Kind: proto.MsgAppend, From: "b", To: "a", Term: 2, LogIndex: 1, LogTerm: 1}
			now := types.Instant(time.Minute)
			for b.Loop() {
				m.Entries = make([]proto.Entry, size)
				for i := range m.Entries {
					m.Entries[i] = proto.Entry{Index: m.LogIndex + uint64(i) + 1, Term: 2}
				}
				now++
				out := n.Step(event.Input{Now: now, Event: event.PeerMessage{Message: m}})
				for _, eff := range out {
					if p, ok := eff.(effect.Persist); ok {
						n.Step(event.Input{Now: now, Event: event.Persisted{Seq: p.Seq}})
					}
				}
				m.LogIndex += size
				if size > 0 {
					m.LogTerm = 2
				}
				m.Commit = m.LogIndex
			}
		})
	}
}

// BenchmarkTakeover measures, in virtual time, the gap from the crash of a leader
// until another host leads.
func BenchmarkTakeover(b *testing.B) {
	var gaps []time.Duration
	for b.Loop() {
		c := newHarness(b, uint64(len(gaps)), "a", "b", "c")
		l := c.awaitLeader(failoverTimeout)
		c.cluster.Run(time.Second)
		c.cluster.Crash(l.ID())
		delete(c.nodes, l.ID())
		crashed := c.cluster.Now()
		c.awaitLeader(2 * failoverTimeout)
		gaps = append(gaps, c.cluster.Now()-crashed)
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[0].Milliseconds()), "min-ms")
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-ms")
}
