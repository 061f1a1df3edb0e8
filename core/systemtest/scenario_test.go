package systemtest

import (
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// afterPromotion is longer than the failover of a group whose primary was cut
// off, a lease of a proxy that was cut off with it included.
const afterPromotion = 5 * time.Second

// isolatePair cuts two hosts off from all others, together.
func (w *world) isolatePair(a, b types.HostID) {
	for other := range w.cluster.Hosts {
		if other == a || other == b {
			continue
		}
		for _, id := range []types.HostID{a, b} {
			w.cluster.Cut(id, other)
			w.cluster.Cut(other, id)
		}
	}
}

// TestCutOffProxyServesNothingOld cuts a proxy off together with the primary.
// The others promote and write; the proxy must not read from the old primary.
func TestCutOffProxyServesNothingOld(t *testing.T) {
	w := newWorld(t, 2, 3, 3, 3)
	old := w.waitServing()
	inside, outside := w.oracle.newCaller(), w.oracle.newCaller()
	w.oracle.open(inside, w.proxies["proxy-1"])
	w.oracle.read(inside, "strict")
	w.cluster.Run(askGap)
	w.isolatePair("proxy-1", old.host())
	w.cluster.Run(afterPromotion)
	if !w.writeThrough(outside, w.proxies["proxy-2"]) {
		t.Fatalf("no write outside of the cut: %v", w.oracle.refusals)
	}
	for _, profile := range profileNames {
		w.oracle.read(inside, profile)
		w.cluster.Run(afterPromotion)
	}
	if n := w.oracle.refusals[types.RefuseNoLease]; n != len(profileNames) {
		t.Fatalf("%d of %d reads were refused without a lease: %v", n, len(profileNames), w.oracle.refusals)
	}
}

// TestRoamingReadsOwnWriteFromLaggingGroup reads through another proxy right
// after a write while one replica lags by two seconds.
func TestRoamingReadsOwnWriteFromLaggingGroup(t *testing.T) {
	w := newWorld(t, 3, 3, 2, 3)
	primary := w.waitServing()
	for _, name := range w.targetNames() {
		if name != primary.name {
			w.targets[name].lag = 2 * time.Second
			break
		}
	}
	c := w.oracle.newCaller()
	for range 20 {
		if !w.writeThrough(c, w.proxies["proxy-1"]) {
			t.Fatalf("no write: %v", w.oracle.refusals)
		}
		for _, profile := range profileNames {
			w.oracle.open(c, w.proxies["proxy-2"])
			w.oracle.read(c, profile)
			w.cluster.Run(askGap)
		}
	}
	if w.oracle.reads != 20*len(profileNames) {
		t.Fatalf("%d of %d reads were answered: %v", w.oracle.reads, 20*len(profileNames), w.oracle.refusals)
	}
}

// TestPartitionedPrimaryComesBackWithoutItsWrites lets the old primary take
// writes that no majority holds. They are never acknowledged and are gone once
// it follows the new primary.
func TestPartitionedPrimaryComesBackWithoutItsWrites(t *testing.T) {
	w := newWorld(t, 4, 3, 3, 3)
	old := w.waitServing()
	inside, outside := w.oracle.newCaller(), w.oracle.newCaller()
	w.oracle.open(inside, w.proxies["proxy-1"])
	w.isolatePair("proxy-1", old.host())
	w.oracle.write(inside, "")
	w.cluster.Run(askGap)
	if len(old.log) != 2 {
		t.Fatalf("the old primary holds %d entries, not the one that began its term and the one of its proxy", len(old.log))
	}
	w.cluster.Run(afterPromotion)
	if len(inside.acked) != 0 {
		t.Fatal("a write that only the replaced primary holds was acknowledged")
	}
	if !w.writeThrough(outside, w.proxies["proxy-2"]) {
		t.Fatalf("no write outside of the cut: %v", w.oracle.refusals)
	}
	w.cluster.Heal()
	w.cluster.Run(afterPromotion)
	w.checkAllServe()
	w.cluster.Run(time.Second)
	for _, name := range w.targetNames() {
		w.oracle.checkLog(w.targets[name].log)
		if len(w.targets[name].log) != len(w.waitServing().log) {
			t.Fatalf("%s holds %d entries, the primary %d", name, len(w.targets[name].log), len(w.waitServing().log))
		}
	}
}

// TestShortFreezeCausesNoPromotion freezes the primary for just under the
// bound, again and again.
func TestShortFreezeCausesNoPromotion(t *testing.T) {
	w := newWorld(t, 5, 3, 3, 3)
	primary := w.waitServing()
	began := len(w.terms)
	for range 50 {
		w.cluster.Freeze(primary.host())
		w.cluster.Run(299 * time.Millisecond)
		w.cluster.Thaw(primary.host())
		w.cluster.Run(time.Duration(w.cluster.Random()%uint64(time.Second)) + 100*time.Millisecond)
	}
	if len(w.terms) != began {
		t.Fatalf("%d promotions after freezes of 299 ms: %v", len(w.terms)-began, w.terms[began:])
	}
}

// TestNewPrimaryDiesAtOnce kills each primary as soon as it serves, twice.
func TestNewPrimaryDiesAtOnce(t *testing.T) {
	w := newWorld(t, 6, 3, 3, 5)
	c := w.oracle.newCaller()
	for range 2 {
		primary := w.waitServing()
		if !w.writeThrough(c, w.proxies["proxy-1"]) {
			t.Fatalf("no write: %v", w.oracle.refusals)
		}
		w.crashTarget(primary)
		w.cluster.RunUntil(settle, func() bool { p := w.serving(); return p != nil && p != primary })
		if next := w.serving(); next != nil {
			w.crashTarget(next)
			w.cluster.Run(askGap)
			w.cluster.Start(next.host())
		}
		w.cluster.RunUntil(settle, func() bool { p := w.serving(); return p != nil && w.up(p) })
		w.cluster.Start(primary.host())
	}
	w.checkAllServe()
}
