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
	defaultLag = 5 * time.Millisecond
	// recoveryBound is the maximum time from the end of all failures until every proxy
	// serves writes: an election, a lease and a promotion.
	recoveryBound = 15 * time.Second
	// retryInterval is the time between two attempts of a caller or an operator.
	retryInterval = 100 * time.Millisecond
	// maxBusyPause limits the random time between two rounds of busyCallers.
	maxBusyPause = 40 * time.Millisecond
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

// configure sends the first configuration to the control leader until it is accepted.
func (s *simulation) configure(members int) {
	s.t.Helper()
	change := &proto.ChangeConfig{ID: "first", Config: testConfig(members)}
	for range int(recoveryBound / retryInterval) {
		if s.leader != "" {
			s.calls++
			s.cluster.Deliver(s.leader, event.OperatorCalled{
				Call: s.calls, Request: proto.OperatorRequest{Change: change},
			})
		}
		s.cluster.Run(retryInterval)
		if rep, ok := s.replies[s.calls]; ok && rep.Err == proto.OpErrNone {
			s.operators.version = rep.Change.Version
			return
		}
	}
	s.t.Fatalf("the first configuration was not accepted within %v", recoveryBound)
}

func (s *simulation) announcement(t *target) proto.Announcement {
	return proto.Announcement{
		Service: service, Name: t.name, Address: types.Address(t.name), AvailabilityZone: "z",
		Leaving: t.departure != nil,
	}
}

// commonPrimary returns the primary that all running proxies use, or nil if they use
// different ones or one of them has none. Draining proxies do not count.
func (s *simulation) commonPrimary() *target {
	var primary *target
	for _, id := range s.proxyIDs() {
		p := s.proxies[id]
		h := s.cluster.Hosts[p.id]
		if h.Stepper == nil || p.draining {
			continue
		}
		g := p.view.Group(service)
		if g == nil || g.Phase != types.GroupServing || !p.view.LeaseLive(s.cluster.LocalTime(h)) {
			return nil
		}
		if primary != nil && primary.name != g.Primary {
			return nil
		}
		primary = s.targets[g.Primary]
	}
	return primary
}

// awaitServing runs until all proxies use the same primary.
func (s *simulation) awaitServing() *target {
	s.t.Helper()
	if !s.cluster.RunUntil(recoveryBound, func() bool { return s.commonPrimary() != nil }) {
		s.t.Fatalf("the proxies do not use the same primary within %v", recoveryBound)
	}
	return s.commonPrimary()
}

// checkAllServe checks that every proxy serves a write, and then checks the log of the
// primary.
func (s *simulation) checkAllServe() {
	s.t.Helper()
	s.awaitServing()
	c := s.oracle.newCaller()
	for _, id := range s.proxyIDs() {
		if !s.writeThrough(c, s.proxies[id]) {
			s.t.Fatalf("%s serves no write within %v, refusals: %v", id, recoveryBound, s.oracle.refusals)
		}
	}
	s.oracle.checkLog(s.awaitServing().log)
}

// writeThrough repeats a write through a proxy until one is acknowledged. It reports
// false if none is within recoveryBound.
func (s *simulation) writeThrough(c *caller, p *proxy) bool {
	acked := len(c.acked)
	for range int(recoveryBound / retryInterval) {
		if c.request == nil {
			s.oracle.openSession(c, p)
			s.oracle.write(c, "")
		}
		s.cluster.Run(retryInterval)
		if len(c.acked) > acked {
			return true
		}
	}
	return false
}

// TestWholePath writes through one proxy and reads through another.
func TestWholePath(t *testing.T) {
	s := newSimulation(t, 1, 3, 2, 3)
	s.awaitServing()
	c := s.oracle.newCaller()
	s.oracle.openSession(c, s.proxies["proxy-1"])
	s.oracle.write(c, "")
	s.cluster.Run(time.Second)
	if len(c.acked) != 1 {
		t.Fatalf("the write was not acknowledged, refusals: %v", s.oracle.refusals)
	}
	for _, profile := range profileNames {
		s.oracle.openSession(c, s.proxies["proxy-2"])
		s.oracle.read(c, profile)
		s.cluster.Run(time.Second)
	}
	if s.oracle.reads != len(profileNames) {
		t.Fatalf("%d of %d reads were answered, refusals: %v", s.oracle.reads, len(profileNames), s.oracle.refusals)
	}
	s.checkAllServe()
}

// machine is the state machine of the property test. Its actions inject failures, send
// requests and change the configuration; rapid chooses among them.
type machine struct {
	*simulation
	primaryIsolated bool // together with the first caller's proxy
}

// TestPromisesUnderFailures checks the answers to callers against the oracle under
// random failures, several of them at the same time.
func TestPromisesUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{simulation: newDriftingSimulation(t, rapid.Uint64().Draw(t, "seed"), maxDrift, 3, 3, 3)}
		m.addSpare()
		m.awaitServing()
		for range 4 {
			m.oracle.newCaller()
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":     m.run,
			"write":   m.callWrite,
			"once":    m.callIdempotentWrite,
			"read":    m.callRead,
			"roam":    m.moveCaller,
			"begin":   m.callBegin,
			"busy":    m.busyCallers,
			"split":   m.partition,
			"strand":  m.isolatePrimaryAndProxy,
			"follow":  m.readAfterWrite,
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
		m.operators.checkConverged()
	})
}

func (m *machine) run(t *rapid.T) {
	m.cluster.Run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

// idleCaller returns a caller with a session and no request in flight, or nil.
func (m *machine) idleCaller(t *rapid.T) *caller {
	c := rapid.SampledFrom(m.oracle.callers).Draw(t, "caller")
	if c.request != nil || c.txn != nil {
		return nil
	}
	if c.session == nil && !m.oracle.openSession(c, m.proxy(t)) {
		return nil
	}
	return c
}

func (m *machine) proxy(t *rapid.T) *proxy {
	return m.proxies[rapid.SampledFrom(m.proxyIDs()).Draw(t, "proxy")]
}

func (m *machine) callWrite(t *rapid.T) {
	if c := m.idleCaller(t); c != nil {
		m.oracle.write(c, "")
	}
}

func (m *machine) callIdempotentWrite(t *rapid.T) {
	if c := m.idleCaller(t); c != nil {
		m.oracle.write(c, types.RequestID(fmt.Sprintf("%s-%d", c.name, m.oracle.writes)))
	}
}

func (m *machine) callRead(t *rapid.T) {
	if c := m.idleCaller(t); c != nil {
		m.oracle.read(c, rapid.SampledFrom(profileNames).Draw(t, "profile"))
	}
}

func (m *machine) moveCaller(t *rapid.T) {
	m.oracle.openSession(rapid.SampledFrom(m.oracle.callers).Draw(t, "caller"), m.proxy(t))
}

// busyCallers runs rounds in which every idle caller sends a request.
func (m *machine) busyCallers(t *rapid.T) {
	for range rapid.IntRange(5, 60).Draw(t, "rounds") {
		for i, c := range m.oracle.callers {
			if c.request != nil || c.txn != nil || c.session == nil && !m.oracle.openSession(c, m.anyProxy()) {
				continue
			}
			m.sendAny(c, i == 0 && m.primaryIsolated)
		}
		m.cluster.Run(time.Duration(m.cluster.Random()%uint64(maxBusyPause)) + time.Millisecond)
	}
}

// sendAny starts a random read, write or transaction of a caller, or a strict read if
// onlyReads is set.
func (m *machine) sendAny(c *caller, onlyReads bool) {
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

// partition splits the hosts into two sides and drops all messages between them.
func (m *machine) partition(t *rapid.T) {
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

// isolatePrimaryAndProxy isolates the primary together with one proxy. The first caller
// stays on that proxy; the others continue on random ones.
func (m *machine) isolatePrimaryAndProxy(t *rapid.T) {
	primary := m.commonPrimary()
	if primary == nil {
		return
	}
	p := m.proxy(t)
	m.primaryIsolated = true
	for i, c := range m.oracle.callers {
		if i == 0 {
			m.oracle.openSession(c, p)
		} else {
			m.oracle.openSession(c, m.anyProxy())
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
		m.busyCallers(t)
		m.run(t)
	}
	m.busyCallers(t)
	m.primaryIsolated = false
}

// readAfterWrite reads through a random proxy as soon as a write is acknowledged.
func (m *machine) readAfterWrite(t *rapid.T) {
	c := m.idleCaller(t)
	if c == nil {
		return
	}
	acked := len(c.acked)
	m.oracle.write(c, "")
	m.cluster.RunUntil(time.Second, func() bool { return len(c.acked) > acked })
	if len(c.acked) > acked && m.oracle.openSession(c, m.proxy(t)) {
		m.oracle.read(c, rapid.SampledFrom(profileNames).Draw(t, "profile"))
		m.cluster.Run(retryInterval)
	}
}

// hosts returns all hosts that can fail. A proxy includes its shard.
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

// freeze freezes a host for up to three seconds while its clock runs on.
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

// network sets the rates at which announcements and the messages between processes are
// dropped and duplicated.
func (m *machine) network(t *rapid.T) {
	m.cluster.Network.DropPercent = rapid.IntRange(0, 20).Draw(t, "drop")
	m.cluster.Network.DuplicatePercent = rapid.IntRange(0, 20).Draw(t, "repeat")
}

// recover ends all failures and restarts all hosts that are down.
func (m *machine) recover() {
	m.heal()
	m.cluster.Network.DropPercent, m.cluster.Network.DuplicatePercent = 0, 0
	for _, t := range m.targets {
		t.lag, t.departure = defaultLag, nil
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
