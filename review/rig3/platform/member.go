package rig3

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timing of the stand-ins.
const (
	pumpInterval      = 2 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond // heartbeat_ms
	beatStep          = 20 * time.Millisecond
	statementTime     = 10 * time.Millisecond
	healthyLag        = 20 * time.Millisecond
)

// write is a write in a commit.
type write struct{ id, item, data string }

// Commit is an entry of a log.
type Commit struct {
	Term, Number uint64
	ID           string // of the COMMIT, or of a single write
	writes       []write
	at           time.Time
}

// Group is a service with its members, as PROTOCOL.md describes them, and the platform
// that promotes them.
type Group struct {
	Service      string
	SyncReplicas int
	PromoteTime  time.Duration
	// Lose says whether a call to the platform is to get no answer. Late carries one out
	// afterwards. Nil answers all.
	Lose func(member string, token uint64) bool
	// Promoted is told of each member that takes the lead, with the group's lock held.
	Promoted func(m *Member)

	record  *Record
	control []string

	mu      sync.Mutex
	term    uint64
	seen    uint64 // highest token
	primary *Member
	members []*Member
	reads   []Read
	shapes  map[string]string // of the prepared statements that ran, by id
	ran     []string          // ids of the statements that ran, without those of the system itself
}

// Read is a read that a member ran.
type Read struct {
	ID, Member string
	At         time.Time
	Lacks      []string // ids of the commits in the primary's log that the member lacked
}

// Member is a stand-in of a member.
type Member struct {
	ID   string
	Addr string
	Zone string
	Sl   int

	group    *Group
	log      []Commit    // received
	times    []time.Time // when each was received
	applied  int
	deaf     bool // receives nothing
	lag      time.Duration
	listener net.Listener
	conns    map[net.Conn]bool
	seq      int
	born     int64
	down     bool
	hung     bool // runs no statement until it is no more
	busy     int
	lead     uint64 // term that it leads, or zero
	draining bool
}

// NewGroup starts members at the addresses. The first one leads term 3.
func NewGroup(r *Record, service string, sync int, control, addresses []string) (*Group, error) {
	g := &Group{Service: service, SyncReplicas: sync, PromoteTime: time.Second, record: r, control: control, term: 3, shapes: map[string]string{}}
	for i, a := range addresses {
		m := &Member{
			ID: fmt.Sprintf("i-%c%d", 'a'+(i+len(addresses)-1)%len(addresses), i), Addr: a, Zone: zones[i%len(zones)], Sl: 5,
			group: g, lag: healthyLag,
		}
		g.members = append(g.members, m)
		if i == 0 {
			g.primary, m.lead = m, g.term
		}
	}
	for _, m := range g.members {
		if err := m.Start(); err != nil {
			return nil, err
		}
	}
	go g.pump()
	return g, nil
}

// Members returns the members, the first primary first.
func (g *Group) Members() []*Member { return g.members }

// Lock locks the group.
func (g *Group) Lock() { g.mu.Lock() }

// Unlock unlocks the group.
func (g *Group) Unlock() { g.mu.Unlock() }

// Primary returns the primary; the group is locked.
func (g *Group) Primary() *Member { return g.primary }

// Ran returns the ids of the statements that ran, without those of the system itself.
func (g *Group) Ran() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.ran...)
}

// Shape returns what a member ran for an EXECUTE: READ or WRITE and the shape.
func (g *Group) Shape(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shapes[id]
}

// Reads returns the reads that ran so far.
func (g *Group) Reads() []Read {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Read(nil), g.reads...)
}

// Start starts a member: it listens and announces itself.
func (m *Member) Start() error {
	l, err := net.Listen("tcp", m.Addr)
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	m.listener, m.conns, m.down, m.born, m.seq = l, make(map[net.Conn]bool), false, time.Now().UnixMilli(), 0
	born := m.born
	m.group.mu.Unlock()
	m.group.record.Printf("member %s starts, born %d", m.ID, born)
	go m.accept(l)
	go m.announce(born)
	return nil
}

// Crash ends a member without notice. It keeps its log unless forget is set.
func (m *Member) Crash(forget bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.down = true
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	if forget {
		m.log, m.times, m.applied = nil, nil, 0
	}
	m.group.record.Printf("member %s crashes, its log kept: %v", m.ID, !forget)
}

// SetDeaf lets a replica receive nothing, or everything again.
func (m *Member) SetDeaf(deaf bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.deaf = deaf
	m.group.record.Printf("member %s receives: %v", m.ID, !deaf)
}

// SetLag sets how late a replica applies what it received.
func (m *Member) SetLag(lag time.Duration) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.lag = lag
	m.group.record.Printf("member %s applies %v late", m.ID, lag)
}

// SetHung has a member run nothing, or go on.
func (m *Member) SetHung(hung bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.hung = hung
	m.group.record.Printf("member %s answers: %v", m.ID, !hung)
}

// Holds reports whether a member's log holds a commit; the group is locked.
func (m *Member) Holds(id string) bool {
	for _, c := range m.log {
		if c.ID == id {
			return true
		}
	}
	return false
}

// Position returns the position of the last commit that was received; the group is locked.
func (m *Member) Position() string { return position(m.log) }

func position(log []Commit) string {
	if len(log) == 0 {
		return "-"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.Term, last.Number)
}

// pump replicates the primary's log.
func (g *Group) pump() {
	for {
		time.Sleep(pumpInterval)
		g.mu.Lock()
		now := time.Now()
		for _, m := range g.members {
			if m != g.primary && !m.down && !m.deaf && !g.primary.down && len(m.log) < len(g.primary.log) {
				for _, c := range g.primary.log[len(m.log):] {
					m.log, m.times = append(m.log, c), append(m.times, now)
				}
			}
			if m == g.primary {
				m.applied = len(m.log)
			}
			for m.applied < len(m.log) && now.Sub(m.times[m.applied]) >= m.lag {
				m.applied++
			}
		}
		g.mu.Unlock()
	}
}

// received returns how many replicas hold the first n entries; the group is locked.
func (g *Group) received(n int) int {
	count := 0
	for _, m := range g.members {
		if m != g.primary && len(m.log) >= n {
			count++
		}
	}
	return count
}

// ServeHTTP is the platform's promotion call.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if r.URL.Path != "/promote" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || r.Header.Get("Duty-Holder") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.record.Printf("platform: promote %s, token %d, holder %s", body.ID, token, r.Header.Get("Duty-Holder"))
	if g.Lose != nil && g.Lose(body.ID, token) {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(g.promote(body.ID, token))
}

// Late carries out a call that got no answer.
func (g *Group) Late(member string, token uint64) {
	g.record.Printf("platform: promote %s, token %d, is carried out late: %d", member, token, g.promote(member, token))
}

func (g *Group) promote(id string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *Member
	for _, m := range g.members {
		if m.ID == id && !m.down {
			next = m
		}
	}
	if next == nil || token < g.seen {
		g.record.Printf("platform: 409 for %s, token %d", id, token)
		return http.StatusConflict
	}
	g.seen = token
	if next != g.primary {
		time.AfterFunc(g.PromoteTime, func() { g.lead(next) })
	}
	return http.StatusOK
}

// lead gives a member the lead in the next term.
func (g *Group) lead(m *Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m == g.primary || m.down {
		return
	}
	g.term++
	g.primary.lead = 0
	g.primary, m.lead = m, g.term
	m.applied = len(m.log)
	g.record.Printf("member %s leads term %d from position %s", m.ID, g.term, m.Position())
	if g.Promoted != nil {
		g.Promoted(m)
	}
	for _, other := range g.members {
		common := 0
		for common < len(other.log) && common < len(m.log) && other.log[common].ID == m.log[common].ID {
			common++
		}
		if common < len(other.log) {
			g.record.Printf("member %s rolls back from %s", other.ID, other.Position())
			other.log, other.times = other.log[:common:common], other.times[:common:common]
			other.applied = min(other.applied, common)
		}
	}
}

// announce sends heartbeats until the process of the member ends.
func (m *Member) announce(born int64) {
	client := &http.Client{Timeout: time.Second}
	target, next := "", 0
	for {
		m.group.mu.Lock()
		if m.down || m.born != born {
			m.group.mu.Unlock()
			return
		}
		m.seq++
		role, state := "replica", "ready"
		if m.draining {
			state = "draining"
		}
		if m == m.group.primary {
			role = "primary"
		}
		body, _ := json.Marshal(map[string]any{
			"service": m.group.Service, "address": m.Addr, "zone": m.Zone, "version": "v1", "slots": m.Sl, "state": state,
			"warmup_left_ms": 0, "db_role": role, "seq": m.seq, "born": m.born,
		})
		m.group.mu.Unlock()
		acked := false
		for try := 0; try < 4 && !acked; try++ {
			to := target
			if to == "" {
				to = m.group.control[next%len(m.group.control)]
				next++
			}
			target, acked = m.beat(client, to, body)
		}
		for waited := time.Duration(0); acked && waited < heartbeatInterval && !m.changed(state); waited += beatStep {
			time.Sleep(beatStep)
		}
		time.Sleep(beatStep)
	}
}

// changed reports whether a member has another state than it last announced.
func (m *Member) changed(announced string) bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.draining != (announced == "draining")
}

// Drain has a member announce at once that it leaves. It goes on serving.
func (m *Member) Drain() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.draining = true
	m.group.record.Printf("member %s leaves", m.ID)
}

// Deregister says that a member has ended.
func (m *Member) Deregister() {
	client := &http.Client{Timeout: time.Second}
	for try := range 8 {
		to := m.group.control[try%len(m.group.control)]
		resp, err := client.Post("http://"+to+"/instances/"+m.ID+"/deregister", "application/json", nil)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		m.group.record.Printf("member %s deregisters: %d", m.ID, resp.StatusCode)
		if resp.StatusCode/100 == 2 {
			return
		}
	}
}

// Succeed starts a member under another id at the address of one that has ended, with its log.
func (g *Group) Succeed(old *Member, id string) error {
	g.mu.Lock()
	m := &Member{ID: id, Addr: old.Addr, Zone: old.Zone, Sl: old.Sl, group: g, lag: healthyLag, log: old.log, times: old.times, applied: old.applied}
	g.members = append(g.members, m)
	g.mu.Unlock()
	return m.Start()
}

// beat sends one heartbeat and returns the address for the next one.
func (m *Member) beat(client *http.Client, to string, body []byte) (string, bool) {
	resp, err := client.Post("http://"+to+"/instances/"+m.ID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	var answer map[string]string
	_ = json.NewDecoder(resp.Body).Decode(&answer) // without an address the next heartbeat goes to any control host
	return answer["heartbeat_addr"], resp.StatusCode/100 == 2
}

func (m *Member) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		m.conns[c] = true
		m.group.mu.Unlock()
		go m.serve(c)
	}
}

// memberConn is a connection to a member.
type memberConn struct {
	m        *Member
	out      *bufio.Writer
	state    string // I, T or E
	readOnly bool
	term     uint64 // led at BEGIN
	pending  []write
	values   map[string]string
	prepared map[string]string // READ or WRITE and the shape
}

func (m *Member) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		m.group.mu.Lock()
		delete(m.conns, c)
		m.group.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c, 1<<20)
	mc := &memberConn{m: m, out: bufio.NewWriter(c), state: "I", values: map[string]string{}, prepared: map[string]string{}}
	line, err := in.ReadString('\n')
	f := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 4) // the last field extends to the end of the line
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	m.waitWhileHung()
	if f[1] != m.group.Service || len(f) > 3 && f[3] != m.ID {
		fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", m.ID)
		return
	}
	mc.ready()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		m.waitWhileHung()
		mc.query(id, text)
		mc.ready()
	}
}

func (m *Member) waitWhileHung() {
	for {
		m.group.mu.Lock()
		hung := m.hung
		m.group.mu.Unlock()
		if !hung {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *memberConn) ready() {
	c.m.group.mu.Lock()
	pos := position(c.m.log[:c.m.applied])
	c.m.group.mu.Unlock()
	fmt.Fprintf(c.out, "READY %s %s\r\n", c.state, pos)
	_ = c.out.Flush()
}

func (c *memberConn) fail(code, text string) {
	if c.state == "T" {
		c.state, c.pending = "E", nil
	}
	fmt.Fprintf(c.out, "ERROR %s %s\r\n", code, text)
}

func (c *memberConn) complete(id string) {
	fmt.Fprintf(c.out, "COMPLETE %s\r\n", Signature(c.m.ID, id))
}

// Signature is a member's signature for a statement.
func Signature(member, id string) string { return "sig." + member + "." + id }

// query runs one statement.
func (c *memberConn) query(id, text string) {
	g := c.m.group
	floor := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		floor, text, _ = strings.Cut(rest, " ")
	}
	verb, args, _ := strings.Cut(text, " ")
	if c.state == "E" && verb != "COMMIT" && verb != "ROLLBACK" {
		c.fail("MALFORMED", "the transaction failed")
		return
	}
	switch verb {
	case "STATUS":
		c.status()
		return
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		fmt.Fprint(c.out, "COMPLETE -\r\n")
		return
	case "SET":
		name, value, _ := strings.Cut(args, " ")
		c.values[name] = value
		fmt.Fprint(c.out, "COMPLETE -\r\n")
		return
	case "PREPARE":
		name, shape, _ := strings.Cut(args, " ")
		c.prepared[name] = shape
		fmt.Fprint(c.out, "COMPLETE -\r\n")
		return
	case "DEMOTE":
		c.status()
		return
	case "EXECUTE":
		name, rest, _ := strings.Cut(args, " ")
		shape, ok := c.prepared[name]
		if !ok {
			c.fail("NOSTMT", name)
			return
		}
		g.mu.Lock()
		g.shapes[id] = shape
		g.record.Printf("member %s runs %s: EXECUTE %s %s, whose shape is %q", c.m.ID, id, name, rest, shape)
		g.mu.Unlock()
		verb, args = strings.Fields(shape)[0], rest
	}
	g.mu.Lock()
	if floor != "" && !c.m.covers(floor) {
		g.mu.Unlock()
		c.fail("LAGGING", floor)
		return
	}
	if verb != "COMMIT" && verb != "ROLLBACK" && c.m.busy >= c.m.Sl {
		g.mu.Unlock()
		fmt.Fprint(c.out, "ERROR BUSY no slot\r\n")
		return
	}
	c.m.busy++
	g.mu.Unlock()
	if verb == "READ" || verb == "WRITE" || verb == "COMMIT" {
		time.Sleep(statementTime)
	}
	c.run(id, verb, args)
	g.mu.Lock()
	c.m.busy--
	g.mu.Unlock()
}

// covers reports whether the applied log has reached a position.
func (m *Member) covers(pos string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(pos, "%d.%d", &term, &number); err != nil || m.applied == 0 {
		return false
	}
	for _, c := range m.log[:m.applied] {
		if c.Number == number {
			return c.Term == term
		}
	}
	return false
}

func (c *memberConn) status() {
	g := c.m.group
	g.mu.Lock()
	role, pos := "replica", c.m.Position()
	if c.m == g.primary {
		role = "primary"
	}
	line := fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\nCOMPLETE -\r\n", role, g.term, pos, c.m.lead, c.m.busy, len(c.m.conns))
	g.mu.Unlock()
	fmt.Fprint(c.out, line)
}

// run runs a statement of a client.
func (c *memberConn) run(id, verb, args string) {
	g, m := c.m.group, c.m
	g.mu.Lock()
	defer g.mu.Unlock()
	leads := m == g.primary && (c.state != "T" || c.readOnly || c.term == m.lead)
	g.record.Printf("member %s runs %s: %s %s", m.ID, id, verb, args)
	if id != "-" {
		g.ran = append(g.ran, id)
	}
	switch verb {
	case "BEGIN":
		c.readOnly = args == "READ"
		if !c.readOnly && !leads {
			c.fail("READONLY", m.ID)
			return
		}
		c.state, c.term = "T", m.lead
		fmt.Fprint(c.out, "COMPLETE -\r\n")
	case "ROLLBACK":
		if c.state == "T" && !c.readOnly && !leads {
			c.state, c.pending = "I", nil
			fmt.Fprintf(c.out, "ERROR READONLY %s\r\n", m.ID)
			return
		}
		c.state, c.pending = "I", nil
		fmt.Fprint(c.out, "COMPLETE -\r\n")
	case "READ":
		if c.state == "T" && !c.readOnly && !leads {
			c.fail("READONLY", m.ID)
			return
		}
		c.read(id, args)
	case "WRITE":
		item, data, _ := strings.Cut(args, " ")
		switch {
		case !leads || c.readOnly && c.state == "T":
			c.fail("READONLY", m.ID)
		case c.state == "T":
			c.pending = append(c.pending, write{id, item, data})
			c.complete(id)
		default:
			c.commit(id, []write{{id, item, data}})
		}
	case "COMMIT":
		writes, failed := c.pending, c.state == "E"
		c.pending, c.state = nil, "I"
		switch {
		case failed:
			fmt.Fprint(c.out, "ERROR ABORTED the transaction failed\r\n")
		case len(writes) == 0:
			c.complete(id)
		case !leads:
			fmt.Fprintf(c.out, "ERROR READONLY %s\r\n", m.ID)
		default:
			c.commit(id, writes)
		}
	default:
		c.fail("MALFORMED", verb)
	}
}

// commit appends to the log, and waits until enough replicas have received it.
func (c *memberConn) commit(id string, writes []write) {
	g, m := c.m.group, c.m
	number := uint64(1)
	if len(m.log) > 0 {
		number = m.log[len(m.log)-1].Number + 1
	}
	term, now := g.term, time.Now()
	m.log, m.times = append(m.log, Commit{Term: term, Number: number, ID: id, writes: writes, at: now}), append(m.times, now)
	n := len(m.log)
	for g.received(n) < g.SyncReplicas {
		if m != g.primary || m.down || g.term != term {
			fmt.Fprint(c.out, "ERROR TIMEOUT the member has lost the lead\r\n")
			return
		}
		g.mu.Unlock()
		time.Sleep(pumpInterval)
		g.mu.Lock()
	}
	if m != g.primary || g.term != term || len(m.log) < n || m.log[n-1].ID != id {
		fmt.Fprint(c.out, "ERROR TIMEOUT the member has lost the lead\r\n")
		return
	}
	m.applied = max(m.applied, n)
	g.record.Printf("member %s commits %s as %d.%d; %d replicas have received it", m.ID, id, term, number, g.received(n))
	c.complete(id)
}

func (c *memberConn) read(id, item string) {
	g, m := c.m.group, c.m
	value := "none"
	have := map[string]bool{}
	for _, e := range m.log[:m.applied] {
		have[e.ID] = true
		for _, w := range e.writes {
			if w.item == item {
				value = w.data
			}
		}
	}
	r := Read{ID: id, Member: m.ID, At: time.Now()}
	for _, e := range g.primary.log {
		if !have[e.ID] {
			r.Lacks = append(r.Lacks, e.ID)
		}
	}
	g.reads = append(g.reads, r)
	g.record.Printf("member %s reads %s = %s for %s, lacks %v", m.ID, item, value, id, r.Lacks)
	fmt.Fprintf(c.out, "ROW %s\r\n", value)
	c.complete(id)
}
