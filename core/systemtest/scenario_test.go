package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// failoverWait exceeds the duration of a failover of an isolated primary, including the
// expiry of the lease of a proxy that was isolated with it.
const failoverWait = 5 * time.Second

// isolatePair isolates two hosts together from all others.
func (s *simulation) isolatePair(a, b types.HostID) {
	for other := range s.cluster.Hosts {
		if other == a || other == b {
			continue
		}
		for _, id := range []types.HostID{a, b} {
			s.cluster.Cut(id, other)
			s.cluster.Cut(other, id)
		}
	}
}

// TestPartitionedProxyServesNoStaleReads isolates a proxy together with the primary.
// The other side promotes a target and writes; the proxy must not serve reads from the
// old primary.
func TestPartitionedProxyServesNoStaleReads(t *testing.T) {
	s := newSimulation(t, 2, 3, 3, 3)
	old := s.awaitServing()
	inside, outside := s.oracle.newCaller(), s.oracle.newCaller()
	s.oracle.openSession(inside, s.proxies["proxy-1"])
	s.oracle.read(inside, "strict")
	s.cluster.Run(retryInterval)
	s.isolatePair("proxy-1", old.host())
	s.cluster.Run(failoverWait)
	if !s.writeThrough(outside, s.proxies["proxy-2"]) {
		t.Fatalf("no write succeeded outside of the partition, refusals: %v", s.oracle.refusals)
	}
	for _, profile := range profileNames {
		s.oracle.read(inside, profile)
		s.cluster.Run(failoverWait)
	}
	if n := s.oracle.refusals[types.RefuseNoLease]; n != len(profileNames) {
		t.Fatalf("%d of %d reads were refused because of a missing lease, refusals: %v", n, len(profileNames), s.oracle.refusals)
	}
}

// TestRoamingReadsOwnWriteFromLaggingGroup reads through another proxy immediately
// after a write, while one replica lags by two seconds.
func TestRoamingReadsOwnWriteFromLaggingGroup(t *testing.T) {
	s := newSimulation(t, 3, 3, 2, 3)
	primary := s.awaitServing()
	for _, name := range s.targetNames() {
		if name != primary.name {
			s.targets[name].lag = 2 * time.Second
			break
		}
	}
	c := s.oracle.newCaller()
	for range 20 {
		if !s.writeThrough(c, s.proxies["proxy-1"]) {
			t.Fatalf("no write succeeded, refusals: %v", s.oracle.refusals)
		}
		for _, profile := range profileNames {
			s.oracle.openSession(c, s.proxies["proxy-2"])
			s.oracle.read(c, profile)
			s.cluster.Run(retryInterval)
		}
	}
	if s.oracle.reads != 20*len(profileNames) {
		t.Fatalf("%d of %d reads were answered, refusals: %v", s.oracle.reads, 20*len(profileNames), s.oracle.refusals)
	}
}

// TestPartitionedPrimaryDiscardsItsWrites lets an isolated primary execute writes that
// do not reach a majority. They must never be acknowledged, and the old primary discards
// them when it follows the new one.
func TestPartitionedPrimaryDiscardsItsWrites(t *testing.T) {
	s := newSimulation(t, 4, 3, 3, 3)
	old := s.awaitServing()
	inside, outside := s.oracle.newCaller(), s.oracle.newCaller()
	s.oracle.openSession(inside, s.proxies["proxy-1"])
	s.isolatePair("proxy-1", old.host())
	s.oracle.write(inside, "")
	s.cluster.Run(retryInterval)
	if len(old.log) != 2 {
		t.Fatalf("the old primary holds %d entries, expected the first one of its term and the write of its proxy", len(old.log))
	}
	s.cluster.Run(failoverWait)
	if len(inside.acked) != 0 {
		t.Fatal("a write that only the replaced primary holds was acknowledged")
	}
	if !s.writeThrough(outside, s.proxies["proxy-2"]) {
		t.Fatalf("no write succeeded outside of the partition, refusals: %v", s.oracle.refusals)
	}
	s.cluster.Heal()
	s.cluster.Run(failoverWait)
	s.checkAllServe()
	s.cluster.Run(time.Second)
	for _, name := range s.targetNames() {
		s.oracle.checkLog(s.targets[name].log)
		if len(s.targets[name].log) != len(s.awaitServing().log) {
			t.Fatalf("%s holds %d log entries, the primary holds %d", name, len(s.targets[name].log), len(s.awaitServing().log))
		}
	}
}

// TestShortFreezeCausesNoPromotion repeatedly freezes the primary for 299 ms, just below
// the bound at which a promotion starts.
func TestShortFreezeCausesNoPromotion(t *testing.T) {
	s := newSimulation(t, 5, 3, 3, 3)
	primary := s.awaitServing()
	before := len(s.promotions)
	for range 50 {
		s.cluster.Freeze(primary.host())
		s.cluster.Run(299 * time.Millisecond)
		s.cluster.Thaw(primary.host())
		s.cluster.Run(time.Duration(s.cluster.Random()%uint64(time.Second)) + 100*time.Millisecond)
	}
	if len(s.promotions) != before {
		t.Fatalf("%d promotions after freezes of 299 ms: %v", len(s.promotions)-before, s.promotions[before:])
	}
}

// TestNewPrimaryDiesAtOnce crashes the primary and then its successor as soon as the
// successor serves, twice.
func TestNewPrimaryDiesAtOnce(t *testing.T) {
	s := newSimulation(t, 6, 3, 3, 5)
	c := s.oracle.newCaller()
	for range 2 {
		primary := s.awaitServing()
		if !s.writeThrough(c, s.proxies["proxy-1"]) {
			t.Fatalf("no write succeeded, refusals: %v", s.oracle.refusals)
		}
		s.crashTarget(primary)
		s.cluster.RunUntil(recoveryBound, func() bool { p := s.commonPrimary(); return p != nil && p != primary })
		if next := s.commonPrimary(); next != nil {
			s.crashTarget(next)
			s.cluster.Run(retryInterval)
			s.cluster.Start(next.host())
		}
		s.cluster.RunUntil(recoveryBound, func() bool { p := s.commonPrimary(); return p != nil && s.up(p) })
		s.cluster.Start(primary.host())
	}
	s.checkAllServe()
}
