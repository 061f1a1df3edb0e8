package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"pgregory.net/rapid"
)

const (
	catalogAge = 200 * time.Millisecond
	usualLag   = 5 * time.Millisecond
	// settle is the longest time from the end of all failures until every
	// proxy takes writes: an election, a lease and a promotion.
	settle = 15 * time.Second
	// askGap is the time between two tries of a caller or an operator.
	askGap = 100 * time.Millisecond
	// busyGap bounds the time between two rounds of busy callers.
	busyGap = 40 * time.Millisecond
)

var profileNames = []types.ProfileName{"strict", "session", "catalog"}

func testConfig(members int) *types.Config {
	base := types.Profile{
		RequestTimeout: 2 * time.Second, QueueTimeout: 2 * time.Second,
		DrainTimeout: time.Second, Weight: 1,
	}
	profiles := make(map[types.ProfileName]types.Profile)
	for _, name := range profileNames {
		p := base
		p.Name = name
		profiles[name] = p
	}
	p := profiles["session"]
	p.Freshness = types.FreshSession
	profiles["session"] = p
	p = profiles["catalog"]
	p.Freshness, p.MaxAge = types.FreshAge, catalogAge
	profiles["catalog"] = p
	return &types.Config{
		Profiles: profiles,
		Services: map[types.ServiceName]types.Service{service: {
			Name: service, Members: members, Slots: 3, Connections: connections,
			DefaultProfile: "session", Profiles: profileNames,
		}},
	}
}

// configure has the first configuration accepted by whichever host leads.
func (w *world) configure(members int) {
	w.t.Helper()
	change := &proto.ChangeConfig{ID: "first", Config: testConfig(members)}
	for range int(settle / askGap) {
		if w.leading != "" {
			w.calls++
			w.cluster.Hand(w.leading, event.OperatorCalled{
				Call: w.calls, Request: proto.OperatorRequest{Change: change},
			})
		}
		w.cluster.Run(askGap)
		if rep, ok := w.replies[w.calls]; ok && rep.Err == proto.OpErrNone {
			w.operators.version = rep.Change.Version
			return
		}
	}
	w.t.Fatalf("the first configuration was not accepted within %v", settle)
}

func (w *world) announcement(t *target) proto.Announcement {
	return proto.Announcement{
		Service: service, Name: t.name, Address: types.Address(t.name), AvailabilityZone: "z",
		Leaving: t.left != nil,
	}
}

// serving returns the primary that every running proxy acts on, or nil.
func (w *world) serving() *target {
	var primary *target
	for _, id := range w.proxyIDs() {
		p := w.proxies[id]
		h := w.cluster.Hosts[p.id]
		if h.Stepper == nil || p.draining {
			continue
		}
		g := p.view.Group(service)
		if g == nil || g.Phase != types.GroupServing || !p.view.LeaseLive(w.cluster.Local(h)) {
			return nil
		}
		if primary != nil && primary.name != g.Primary {
			return nil
		}
		primary = w.targets[g.Primary]
	}
	return primary
}

// waitServing runs until every proxy serves with one primary.
func (w *world) waitServing() *target {
	w.t.Helper()
	if !w.cluster.RunUntil(settle, func() bool { return w.serving() != nil }) {
		w.t.Fatalf("no primary serves within %v", settle)
	}
	return w.serving()
}

// checkAllServe checks that a write goes through every proxy, and then the
// whole log.
func (w *world) checkAllServe() {
	w.t.Helper()
	w.waitServing()
	c := w.oracle.newCaller()
	for _, id := range w.proxyIDs() {
		if !w.writeThrough(c, w.proxies[id]) {
			w.t.Fatalf("%s takes no write within %v: %v", id, settle, w.oracle.refusals)
		}
	}
	w.oracle.checkLog(w.waitServing().log)
}

// writeThrough tries to write through a proxy until it is acknowledged.
func (w *world) writeThrough(c *caller, p *proxy) bool {
	acked := len(c.acked)
	for range int(settle / askGap) {
		if c.request == nil {
			w.oracle.open(c, p)
			w.oracle.write(c, "")
		}
		w.cluster.Run(askGap)
		if len(c.acked) > acked {
			return true
		}
	}
	return false
}

// TestWholePath serves a write and reads it through another proxy.
func TestWholePath(t *testing.T) {
	w := newWorld(t, 1, 3, 2, 3)
	w.waitServing()
	c := w.oracle.newCaller()
	w.oracle.open(c, w.proxies["proxy-1"])
	w.oracle.write(c, "")
	w.cluster.Run(time.Second)
	if len(c.acked) != 1 {
		t.Fatalf("the write was not acknowledged: %v", w.oracle.refusals)
	}
	for _, profile := range profileNames {
		w.oracle.open(c, w.proxies["proxy-2"])
		w.oracle.read(c, profile)
		w.cluster.Run(time.Second)
	}
	if w.oracle.reads != len(profileNames) {
		t.Fatalf("%d of %d reads were answered: %v", w.oracle.reads, len(profileNames), w.oracle.refusals)
	}
	w.checkAllServe()
}

// machine brings failures about while callers work, as rapid chooses.
type machine struct {
	*world
	stranded bool // the first caller's proxy is cut off with the primary
}

// TestPromisesUnderFailures checks what callers see against the oracle under
// random failures, several at a time.
func TestPromisesUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{world: newDriftingWorld(t, rapid.Uint64().Draw(t, "seed"), maxDrift, 3, 3, 3)}
		m.addSpare()
		m.waitServing()
		for range 4 {
			m.oracle.newCaller()
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":     m.run,
			"write":   m.callWrite,
			"once":    m.callOnce,
			"read":    m.callRead,
			"roam":    m.roam,
			"begin":   m.callBegin,
			"busy":    m.busy,
			"split":   m.split,
			"strand":  m.strand,
			"follow":  m.followWrite,
			"crash":   m.crash,
			"restart": m.restart,
			"freeze":  m.freeze,
			"cut":     m.cut,
			"isolate": m.isolate,
			"heal":    func(*rapid.T) { m.heal() },
			"leave":   m.leave,
			"stay":    m.stay,
			"drain":   m.drain,
			"lose":    m.loseDisk,
			"lag":     m.changeLag,
			"network": m.network,
			"change":  m.changeConfig,
			"race":    m.raceChanges,
			"resend":  m.resendChange,
		})
		m.recover()
		m.checkAllServe()
		m.operators.settled()
	})
}

func (m *machine) run(t *rapid.T) {
	m.cluster.Run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

// idle returns a caller with a session and no request under way, or nil.
func (m *machine) idle(t *rapid.T) *caller {
	c := rapid.SampledFrom(m.oracle.callers).Draw(t, "caller")
	if c.request != nil || c.txn != nil {
		return nil
	}
	if c.session == nil && !m.oracle.open(c, m.proxy(t)) {
		return nil
	}
	return c
}

func (m *machine) proxy(t *rapid.T) *proxy {
	return m.proxies[rapid.SampledFrom(m.proxyIDs()).Draw(t, "proxy")]
}

func (m *machine) callWrite(t *rapid.T) {
	if c := m.idle(t); c != nil {
		m.oracle.write(c, "")
	}
}

func (m *machine) callOnce(t *rapid.T) {
	if c := m.idle(t); c != nil {
		m.oracle.write(c, types.RequestID(fmt.Sprintf("%s-%d", c.name, m.oracle.writes)))
	}
}

func (m *machine) callRead(t *rapid.T) {
	if c := m.idle(t); c != nil {
		m.oracle.read(c, rapid.SampledFrom(profileNames).Draw(t, "profile"))
	}
}

func (m *machine) roam(t *rapid.T) {
	m.oracle.open(rapid.SampledFrom(m.oracle.callers).Draw(t, "caller"), m.proxy(t))
}

// busy lets every caller work for a while.
func (m *machine) busy(t *rapid.T) {
	for range rapid.IntRange(5, 60).Draw(t, "rounds") {
		for i, c := range m.oracle.callers {
			if c.request != nil || c.txn != nil || c.session == nil && !m.oracle.open(c, m.anyProxy()) {
				continue
			}
			m.callAny(c, i == 0 && m.stranded)
		}
		m.cluster.Run(time.Duration(m.cluster.Random()%uint64(busyGap)) + time.Millisecond)
	}
}

// callAny lets a caller read or write.
func (m *machine) callAny(c *caller, onlyReads bool) {
	switch {
	case onlyReads:
		m.oracle.read(c, "strict")
	case m.cluster.Random()%6 == 0:
		m.oracle.begin(c)
	case m.cluster.Random()%3 == 0:
		m.oracle.read(c, profileNames[m.cluster.Random()%uint64(len(profileNames))])
	default:
		m.oracle.write(c, "")
	}
}

func (m *machine) anyProxy() *proxy {
	ids := m.proxyIDs()
	return m.proxies[ids[m.cluster.Random()%uint64(len(ids))]]
}

// split cuts the hosts into two sides that do not hear each other.
func (m *machine) split(t *rapid.T) {
	hosts := m.hosts()
	side := rapid.SliceOfN(rapid.Bool(), len(hosts), len(hosts)).Draw(t, "side")
	for i, a := range hosts {
		for j, b := range hosts {
			if side[i] != side[j] {
				m.cluster.Cut(a, b)
			}
		}
	}
}

// strand cuts the primary off together with one proxy, where a caller stays,
// while the others work on.
func (m *machine) strand(t *rapid.T) {
	primary := m.serving()
	if primary == nil {
		return
	}
	p := m.proxy(t)
	m.stranded = true
	for i, c := range m.oracle.callers {
		if i == 0 {
			m.oracle.open(c, p)
		} else {
			m.oracle.open(c, m.anyProxy())
		}
	}
	for _, other := range m.hosts() {
		for _, id := range []types.HostID{p.id, primary.host()} {
			if other != p.id && other != primary.host() {
				m.cluster.Cut(id, other)
				m.cluster.Cut(other, id)
			}
		}
	}
	for range rapid.IntRange(1, 4).Draw(t, "seconds") {
		m.busy(t)
		m.run(t)
	}
	m.busy(t)
	m.stranded = false
}

// followWrite reads through another proxy as soon as a write is acknowledged.
func (m *machine) followWrite(t *rapid.T) {
	c := m.idle(t)
	if c == nil {
		return
	}
	acked := len(c.acked)
	m.oracle.write(c, "")
	m.cluster.RunUntil(time.Second, func() bool { return len(c.acked) > acked })
	if len(c.acked) > acked && m.oracle.open(c, m.proxy(t)) {
		m.oracle.read(c, rapid.SampledFrom(profileNames).Draw(t, "profile"))
		m.cluster.Run(askGap)
	}
}

// hosts returns every host that can fail; a proxy stands for its shard too.
func (m *machine) hosts() []types.HostID {
	hosts := append(m.controls(), m.proxyIDs()...)
	for _, name := range m.targetNames() {
		hosts = append(hosts, types.HostID(name))
	}
	return hosts
}

func (m *machine) host(t *rapid.T, label string) types.HostID {
	return rapid.SampledFrom(m.hosts()).Draw(t, label)
}

func (m *machine) crash(t *rapid.T) { m.stop(m.host(t, "host")) }

func (m *machine) stop(id types.HostID) {
	if m.cluster.Hosts[id].Stepper == nil {
		return
	}
	if p, ok := m.proxies[id]; ok {
		m.crashProxy(p)
		return
	}
	if t, ok := m.targets[types.TargetName(id)]; ok {
		m.crashTarget(t)
		return
	}
	m.cluster.Crash(id)
}

func (m *machine) restart(t *rapid.T) { m.start(m.host(t, "host")) }

func (m *machine) start(id types.HostID) {
	if m.cluster.Hosts[id].Stepper != nil {
		return
	}
	if p, ok := m.proxies[id]; ok {
		m.startProxy(p)
		return
	}
	m.cluster.Start(id)
}

// freeze stops a host for a while that rapid chooses, its clock runs on.
func (m *machine) freeze(t *rapid.T) {
	id := m.host(t, "host")
	ids := []types.HostID{id}
	if p, ok := m.proxies[id]; ok {
		ids = append(ids, p.shard())
	}
	for _, id := range ids {
		m.cluster.Freeze(id)
	}
	m.cluster.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, id := range ids {
		m.cluster.Thaw(id)
	}
}

func (m *machine) cut(t *rapid.T) { m.cluster.Cut(m.host(t, "from"), m.host(t, "to")) }

func (m *machine) isolate(t *rapid.T) { m.cluster.Isolate(m.host(t, "host")) }

func (m *machine) changeLag(t *rapid.T) {
	name := rapid.SampledFrom(m.targetNames()).Draw(t, "target")
	m.targets[name].lag = rapid.SampledFrom([]time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second}).Draw(t, "lag")
}

// network loses and repeats messages between the system's processes, and
// announcements.
func (m *machine) network(t *rapid.T) {
	m.cluster.Network.DropPercent = rapid.IntRange(0, 20).Draw(t, "drop")
	m.cluster.Network.RepeatPercent = rapid.IntRange(0, 20).Draw(t, "repeat")
}

// recover ends all failures.
func (m *machine) recover() {
	m.heal()
	m.cluster.Network.DropPercent, m.cluster.Network.RepeatPercent = 0, 0
	for _, t := range m.targets {
		t.lag, t.left = usualLag, nil
	}
	for _, p := range m.proxies {
		if p.draining {
			m.stop(p.id)
		}
	}
	for _, id := range m.hosts() {
		m.start(id)
	}
}
