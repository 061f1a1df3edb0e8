package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// infiniteLag is a lag longer than every test.
const infiniteLag = time.Hour

// setLag sets the replication lag of all targets but one.
func (s *simulation) setLag(except *target, lag time.Duration) {
	for _, t := range s.targets {
		if t != except {
			t.lag = lag
		}
	}
}

// TestRecordedAnswerSurvivesLaterPromotions reproduces figure 8 of the Raft paper
// with a recorded answer: a write of term 1 reaches a majority in term 3 only, while
// a member with an entry of term 2 is down. The write is acknowledged by its request
// ID. The member of term 2 then restarts and must not displace the write.
func TestRecordedAnswerSurvivesLaterPromotions(t *testing.T) {
	s := newSimulation(t, 8, 3, 2, 3)
	first := s.awaitServing()
	c, other := s.oracle.newCaller(), s.oracle.newCaller()
	s.setLag(nil, infiniteLag)
	s.oracle.openSession(c, s.proxies["proxy-1"])
	s.oracle.write(c, "charge-1")
	s.cluster.Run(retryInterval)
	s.oracle.closeSession(c)
	s.cluster.Run(retryInterval)
	s.crashTarget(first)

	second := s.awaitOtherPrimary(t, first)
	s.oracle.openSession(other, s.proxies["proxy-2"])
	s.oracle.write(other, "")
	s.cluster.Run(retryInterval)
	s.crashTarget(second)
	s.cluster.Start(first.host())

	s.awaitOtherPrimary(t, second)
	s.setLag(nil, defaultLag)
	s.repeatUntilAcked(t, c)
	s.crashTarget(first)
	s.cluster.Start(second.host())
	s.awaitOtherPrimary(t, first)
	s.cluster.Start(first.host())
	s.checkAllServe()
}

// awaitOtherPrimary waits until a member other than old is the primary.
func (s *simulation) awaitOtherPrimary(t *testing.T, old *target) *target {
	t.Helper()
	if !s.cluster.RunUntil(recoveryBound, func() bool { p := s.commonPrimary(); return p != nil && p != old }) {
		t.Fatalf("no primary other than %s within %v", old.name, recoveryBound)
	}
	return s.commonPrimary()
}

// repeatUntilAcked repeats a write with a request ID until it is acknowledged.
func (s *simulation) repeatUntilAcked(t *testing.T, c *caller) {
	t.Helper()
	for range int(recoveryBound / retryInterval) {
		if c.request == nil {
			s.oracle.openSession(c, s.proxies["proxy-1"])
			s.oracle.write(c, types.RequestID("charge-1"))
		}
		s.cluster.Run(retryInterval)
		if len(c.acked) > 0 {
			return
		}
	}
	t.Fatalf("the repeated request was not acknowledged within %v, refusals: %v", recoveryBound, s.oracle.refusals)
}
