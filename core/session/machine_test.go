package session

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	_ "github.com/camphorpaddle/camphorpaddle/internal/testseed"
	"pgregory.net/rapid"
)

// machineFlags are the state machine's runs and average steps,
// unless the command sets them.
var machineFlags = map[string]string{"rapid.steps": "300", "rapid.checks": "300"}

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range machineFlags {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const modelLease = 100 * time.Millisecond

// world is the model: three targets, control, two proxies and three users who
// go from proxy to proxy.
type world struct {
	t       *rapid.T
	now     types.Instant
	members []*member
	proxies []*modelProxy
	users   []*user
	group   types.Group
	config  *types.Config
	version uint64
	tags    int
	session types.SessionID

	acked  map[string]types.Instant // durable writes that were acknowledged
	notRun map[string]bool          // writes that were refused as not run
	byID   map[types.RequestID]bool
}

// modelProxy is a shard with what the world knows of it.
type modelProxy struct {
	index   int
	shard   *Shard
	view    *types.NodeView
	seen    uint64
	timers  map[event.TimerID]types.Instant
	conns   map[types.ConnID]types.TargetName
	dials   []types.ConnID
	sends   []effect.SendTarget
	answers []event.TargetAnswered // delivered before; may come again
}

// user is a caller with at most one session and one request.
type user struct {
	proxy   *modelProxy
	session types.SessionID // zero without one
	seq     types.RequestSeq
	pending *pending
	inTx    []string // tags of the open transaction, that of its begin first
	acked   []string // writes that this user knows to be durable
	seen    []string // what the session's reads showed
}

// pending is the request that a user waits for.
type pending struct {
	stmt     statement
	profile  types.ProfileName
	required []string // must be in what a read shows
	arrived  types.Instant
	inTx     bool
}

func newWorld(t *rapid.T) *world {
	config := testConfig()
	if rapid.Bool().Draw(t, "all writes wait for a majority") {
		svc := config.Services[svcName]
		svc.Profiles = []types.ProfileName{"session", "strict", "catalog"}
		config.Services[svcName] = svc
	}
	w := &world{
		t: t, now: types.Instant(time.Second), config: config,
		acked: make(map[string]types.Instant), notRun: make(map[string]bool), byID: make(map[types.RequestID]bool),
		group: types.Group{Service: svcName, Term: 1, Phase: types.GroupServing, Primary: "a", History: types.TermHistory{{Term: 1}}},
	}
	for _, n := range []types.TargetName{"a", "b", "c"} {
		w.members = append(w.members, &member{name: n, term: 1, primary: n == "a", conns: make(map[connKey]*targetTx)})
		w.group.Members = append(w.group.Members, types.Target{Name: n, Address: types.Address(n)})
	}
	for i := range 2 {
		p := &modelProxy{
			index: i, shard: NewShard(Options{Index: i}), timers: make(map[event.TimerID]types.Instant),
			conns: make(map[types.ConnID]types.TargetName),
		}
		w.proxies = append(w.proxies, p)
		w.renew(p)
	}
	for range 3 {
		w.users = append(w.users, &user{})
	}
	return w
}

func (w *world) member(name types.TargetName) *member {
	return w.members[slices.IndexFunc(w.members, func(m *member) bool { return m.name == name })]
}

// renew gives a proxy a lease and control's latest view.
func (w *world) renew(p *modelProxy) {
	g := w.group
	g.Members = slices.Clone(w.group.Members)
	g.History = slices.Clone(w.group.History)
	v := w.nextView(p)
	v.LeaseUntil = w.now.Add(modelLease)
	v.Cluster = &types.ClusterView{Version: w.version, Config: w.config, Groups: map[types.ServiceName]*types.Group{svcName: &g}}
	w.publish(p, v)
}

// nextView returns a copy of the proxy's view.
func (w *world) nextView(p *modelProxy) *types.NodeView {
	v := &types.NodeView{Health: make(map[types.TargetRef]types.TargetHealth), Shares: make(map[types.TargetRef]types.Share)}
	if p.view != nil {
		*v = *p.view
		v.Health = make(map[types.TargetRef]types.TargetHealth)
		for r, h := range p.view.Health {
			v.Health[r] = h
		}
	}
	for _, m := range w.members {
		v.Shares[ref(m.name)] = types.Share{Connections: 2, Slots: 1}
	}
	return v
}

func (w *world) publish(p *modelProxy, v *types.NodeView) {
	p.view = v
	w.step(p, event.ViewChanged{})
}

func (w *world) step(p *modelProxy, ev event.Event) {
	w.now++
	for _, eff := range p.shard.Step(event.Input{Now: w.now, Seed: uint64(w.now), View: p.view, Event: ev}) {
		w.take(p, eff)
	}
}

func (w *world) take(p *modelProxy, eff effect.Effect) {
	switch e := eff.(type) {
	case effect.DialTarget:
		p.conns[e.Conn] = e.Ref.Name
		p.dials = append(p.dials, e.Conn)
		w.checkShare(p, e.Ref.Name)
	case effect.SendTarget:
		if !p.view.LeaseLive(w.now) {
			w.t.Fatalf("request sent without a lease")
		}
		p.sends = append(p.sends, e)
	case effect.CloseTarget:
		w.closeConn(p, e.Conn)
	case effect.AnswerCaller:
		w.takeAnswer(p, e)
	case effect.RefuseCaller:
		w.takeRefusal(e)
	case effect.EndSession:
		w.endSession(e.Session)
	case effect.ReportShard:
		p.seen = e.Report.Seen
	case effect.ArmTimer:
		if e.At <= w.now {
			w.t.Fatalf("timer %v armed in the past", e.ID)
		}
		p.timers[e.ID] = e.At
	case effect.StopTimer:
		delete(p.timers, e.ID)
	}
}

func (w *world) checkShare(p *modelProxy, name types.TargetName) {
	open := 0
	for _, target := range p.conns {
		if target == name {
			open++
		}
	}
	if share := p.view.Shares[ref(name)].Connections; open > share {
		w.t.Fatalf("%d connections to %s with a share of %d", open, name, share)
	}
}

func (w *world) closeConn(p *modelProxy, id types.ConnID) {
	delete(w.member(p.conns[id]).conns, connKey{p.index, id})
	delete(p.conns, id)
	p.dials = slices.DeleteFunc(p.dials, func(c types.ConnID) bool { return c == id })
	p.sends = slices.DeleteFunc(p.sends, func(e effect.SendTarget) bool { return e.Conn == id })
}

func (w *world) userOf(id types.SessionID) *user {
	i := slices.IndexFunc(w.users, func(u *user) bool { return u.session == id })
	if i < 0 {
		return nil
	}
	return w.users[i]
}

func (w *world) endSession(id types.SessionID) {
	if u := w.userOf(id); u != nil {
		u.session, u.pending, u.inTx, u.seen = 0, nil, nil, nil
	}
}

// takeAnswer checks an answer against the oracle.
func (w *world) takeAnswer(p *modelProxy, e effect.AnswerCaller) {
	u := w.userOf(e.Session)
	if u == nil || u.pending == nil || u.seq != e.Seq {
		w.t.Fatalf("answer to session %d request %d, which nobody waits for", e.Session, e.Seq)
	}
	if !p.view.LeaseLive(w.now) {
		w.t.Fatalf("answer without a lease")
	}
	q, got := u.pending, e.Answer.Payload.(snapshot)
	u.pending = nil
	if got.tag != q.stmt.tag && q.stmt.id == "" {
		w.t.Fatalf("answer to %s went to %s", got.tag, q.stmt.tag)
	}
	switch {
	case q.stmt.kind == "read":
		w.checkRead(u, q, got.saw)
	case e.Answer.Tx != types.TxIdle:
		u.inTx = append(u.inTx, got.tag)
	case q.stmt.kind == "write":
		w.ackWrites(u, q, []string{got.tag})
	case q.stmt.kind == "commit":
		w.ackWrites(u, q, u.inTx[1:])
		u.inTx = nil
	}
}

func (w *world) checkRead(u *user, q *pending, saw []string) {
	if q.inTx {
		return
	}
	for _, tag := range q.required {
		if !slices.Contains(saw, tag) {
			w.t.Fatalf("a %s read of a session misses %s: %v", q.profile, tag, saw)
		}
	}
	if q.profile != "catalog" {
		u.seen = saw
		return
	}
	for tag, at := range w.acked {
		if at < q.arrived.Add(-w.config.Profiles["catalog"].MaxAge) && !slices.Contains(saw, tag) {
			w.t.Fatalf("a read is older than its profile allows: it misses %s", tag)
		}
	}
}

// ackWrites checks that acknowledged writes are on a majority, and that none
// was called not run before.
func (w *world) ackWrites(u *user, q *pending, tags []string) {
	if q.profile == "fast" {
		return
	}
	for _, tag := range tags {
		holders := 0
		for _, m := range w.members {
			if slices.Contains(m.tags(), tag) || len(m.log) < m.mustReach { // it may have held it
				holders++
			}
		}
		if holders < 2 {
			w.t.Fatalf("write %s is acknowledged with %d holders", tag, holders)
		}
		if _, ok := w.acked[tag]; !ok {
			w.acked[tag] = w.now
		}
		u.acked = append(u.acked, tag)
	}
}

func (w *world) takeRefusal(e effect.RefuseCaller) {
	u := w.userOf(e.Session)
	if u == nil || u.pending == nil || u.seq != e.Seq {
		w.t.Fatalf("refusal of session %d request %d, which nobody waits for", e.Session, e.Seq)
	}
	q := u.pending
	u.pending = nil
	if e.Refusal.Code == types.RefuseLostWrite {
		u.seen = nil
	}
	if e.Refusal.Outcome == types.NotRun && q.stmt.kind == "write" {
		w.notRun[q.stmt.tag] = true
	}
	if q.inTx {
		u.inTx = nil
	}
}

// check looks at the invariants that hold between all steps.
func (w *world) check() {
	for _, m := range w.members {
		ids := make(map[types.RequestID]string)
		for _, e := range m.log {
			if w.notRun[e.tag] && e.tag != "" {
				w.t.Fatalf("write %s is in the log of %s though it was called not run", e.tag, m.name)
			}
			if first, ok := ids[e.id]; ok && e.id != "" && e.tag != "" {
				w.t.Fatalf("request %s ran as %s and as %s", e.id, first, e.tag)
			}
			if e.tag != "" {
				ids[e.id] = e.tag
			}
		}
	}
	if w.group.Phase != types.GroupServing {
		return
	}
	tags := w.member(w.group.Primary).tags()
	for tag := range w.acked {
		if !slices.Contains(tags, tag) {
			w.t.Fatalf("the acknowledged write %s is gone", tag)
		}
	}
}

var errBroken = errors.New("broken")

func (w *world) newTag() string {
	w.tags++
	return fmt.Sprint("w", w.tags)
}
