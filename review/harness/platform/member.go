package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatEvery is heartbeat_ms of the settings.
const heartbeatEvery = 1200 * time.Millisecond

// drainTime is drain_ms of the settings, after which a draining member ends a little later.
const drainTime = 7500 * time.Millisecond

// Entry is one commit in the log of a member.
type Entry struct {
	Term, Number uint64
	ID           string // of the client's statement that committed it
	Values       map[string]string
	received     time.Time
}

// Group is a service of stand-in members: a primary and its replicas.
type Group struct {
	Service      string
	SyncReplicas int           // replicas that have to receive a commit before it is acknowledged
	PromoteTime  time.Duration // from the call to the platform until the member leads
	Work         time.Duration // of a read, write or commit
	OnPromoted   func(m *Member, lost []string)

	record   *Record
	control  []string
	mu       sync.Mutex
	changed  *sync.Cond
	term     uint64
	primary  *Member
	members  []*Member
	acked    []string // ids of the statements whose commits were acknowledged
	executed []Run
}

// Run is one statement that a member ran for a client.
type Run struct {
	Member, ID, Text, Client string
	At                       time.Time
	Session                  int
	Values                   map[string]string // session values of the connection
}

// Member is one database server.
type Member struct {
	ID       string
	Lag      time.Duration // from receiving a commit until it is applied
	group    *Group
	listener net.Listener
	address  string
	born     int64
	seq      uint64
	log      []Entry
	deaf     bool
	draining bool
	up       bool
	conns    map[net.Conn]bool
	beatAt   string // heartbeat_addr
	wake     chan struct{}
	stop     chan struct{}
	sessions int

	// failShare is the part of its statements, of clients and of the system, that the member
	// fails with FAILED and without an effect; its health and STATUS stay good.
	failShare float64

	drainAcked time.Time // when draining was acknowledged
}

// NewGroup starts the members of a service. The first one is the primary.
func (s *System) NewGroup(service string, ids []string) (*Group, error) {
	g := &Group{
		Service: service, record: s.Record, control: s.Control, term: 3, PromoteTime: 300 * time.Millisecond,
		Work: 5 * time.Millisecond,
	}
	g.changed = sync.NewCond(&g.mu)
	for i, id := range ids {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", s.subnet, 120+i))
		if err != nil {
			return nil, err
		}
		m := &Member{
			ID: id, group: g, listener: l, address: l.Addr().String(), born: time.Now().UnixMilli(), up: true, Lag: 8 * time.Millisecond,
			conns: map[net.Conn]bool{}, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		}
		g.members = append(g.members, m)
		go m.accept()
		go m.beat()
	}
	g.primary = g.members[0]
	s.Platform.Add(g)
	return g, nil
}

// Member returns a member by its id.
func (g *Group) Member(id string) *Member {
	for _, m := range g.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// Primary returns the id of the present primary.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary.ID
}

// Executed returns what the members ran for clients.
func (g *Group) Executed() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.executed...)
}

func (g *Group) running(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.Member(id)
	return m != nil && m.up
}

// promote makes a member the primary of the next term after PromoteTime, with what it has
// received then. The other members drop what it lacks.
func (g *Group) promote(id string) {
	go func() {
		time.Sleep(g.PromoteTime)
		g.mu.Lock()
		m := g.Member(id)
		if m == nil || !m.up || g.primary == m {
			g.mu.Unlock()
			return
		}
		has := map[string]bool{}
		for _, e := range m.log {
			has[e.ID] = true
		}
		var lost []string
		for _, id := range g.acked {
			if !has[id] {
				lost = append(lost, id)
			}
		}
		g.term++
		g.primary = m
		for _, other := range g.members {
			if other != m && other.up {
				other.log = append([]Entry(nil), m.log...)
			}
		}
		g.record.Add("members: %s leads term %d at position %d; %d acknowledged commits are not in its log: %s",
			m.ID, g.term, len(m.log), len(lost), strings.Join(lost, " "))
		g.changed.Broadcast()
		done := g.OnPromoted
		g.mu.Unlock()
		m.beatNow()
		if done != nil {
			done(m, lost)
		}
	}()
}

// commit appends an entry to the primary's log and sends it to the replicas. It returns
// once the required number of them has received it. The caller holds the lock.
func (g *Group) commit(m *Member, id string, values map[string]string) bool {
	e := Entry{Term: g.term, Number: m.last().Number + 1, ID: id, Values: values, received: time.Now()}
	m.log = append(m.log, e)
	count := func() int {
		n := 0
		for _, other := range g.members {
			if other != m && other.up && !other.deaf && len(other.log) >= len(m.log) {
				n++
			}
		}
		return n
	}
	for _, other := range g.members {
		if other != m && other.up && !other.deaf {
			other.catchUp(m)
		}
	}
	for count() < g.SyncReplicas {
		g.changed.Wait()
		if !m.up || g.primary != m {
			return false
		}
	}
	g.acked = append(g.acked, id)
	return true
}

// catchUp receives what the primary has and this member lacks. The caller holds the lock.
func (m *Member) catchUp(primary *Member) {
	for len(m.log) < len(primary.log) {
		e := primary.log[len(m.log)]
		e.received = time.Now()
		m.log = append(m.log, e)
	}
}

func (m *Member) last() Entry {
	if len(m.log) == 0 {
		return Entry{}
	}
	return m.log[len(m.log)-1]
}

// applied returns the entries that reads show. The caller holds the lock.
func (m *Member) applied() []Entry {
	if m.group.primary == m {
		return m.log
	}
	n := len(m.log)
	for n > 0 && time.Since(m.log[n-1].received) < m.Lag {
		n--
	}
	return m.log[:n]
}

// SetDeaf makes a replica receive nothing, or receive again.
func (m *Member) SetDeaf(on bool) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Add("member %s receives nothing: %v", m.ID, on)
	m.deaf = on
	if !on && g.primary != m {
		m.catchUp(g.primary)
		g.changed.Broadcast()
	}
}

// Drain makes the member say that it is draining. It ends some time after that was
// acknowledged.
func (m *Member) Drain() {
	m.group.mu.Lock()
	m.draining = true
	m.group.mu.Unlock()
	m.group.record.Add("member %s says that it is draining", m.ID)
	m.beatNow()
}

// Crash ends the member without a notice.
func (m *Member) Crash() {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Add("member %s crashes", m.ID)
	m.end()
}

// end closes what the member has open. The caller holds the lock.
func (m *Member) end() {
	if !m.up {
		return
	}
	m.up = false
	close(m.stop)
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	m.conns = map[net.Conn]bool{}
	m.group.changed.Broadcast()
}

// Stop ends all members.
func (g *Group) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.end()
	}
}

func (m *Member) beatNow() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// beat sends heartbeats until the member ends.
func (m *Member) beat() {
	stop := m.stop
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	next := 0
	for {
		body, draining := m.heartbeat()
		acked := false
		for try := 0; try < len(m.group.control)+1 && !acked; try++ {
			host := m.beatAt
			if host == "" {
				host = m.group.control[next%len(m.group.control)]
				next++
			}
			acked = m.post(client, host, body)
			if !acked {
				m.beatAt = ""
			}
			select {
			case <-stop:
				return
			default:
			}
		}
		if acked && draining {
			m.group.mu.Lock()
			if m.drainAcked.IsZero() {
				m.drainAcked = time.Now()
				m.group.record.Add("member %s: draining was acknowledged", m.ID)
				time.AfterFunc(drainTime, func() { m.leave(client) })
			}
			m.group.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-m.wake:
		case <-time.After(heartbeatEvery):
		}
	}
}

// leave says that the member ends, and ends it.
func (m *Member) leave(client *http.Client) {
	for _, host := range m.group.control {
		body := fmt.Sprintf(`{"born":%d}`, m.born)
		resp, err := client.Post("http://"+host+"/instances/"+m.ID+"/deregister", "application/json", strings.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.group.record.Add("member %s ends", m.ID)
	m.end()
}

func (m *Member) post(client *http.Client, host string, body []byte) bool {
	resp, err := client.Post("http://"+host+"/instances/"+m.ID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return false
	}
	var answer map[string]any
	if json.NewDecoder(resp.Body).Decode(&answer) == nil {
		if at, ok := answer["heartbeat_addr"].(string); ok {
			m.beatAt = at
		}
	}
	return true
}

// heartbeat returns the body of the next heartbeat.
func (m *Member) heartbeat() ([]byte, bool) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	m.seq++
	state, role := "ready", "replica"
	if m.draining {
		state = "draining"
	}
	if g.primary == m {
		role = "primary"
	}
	body, _ := json.Marshal(map[string]any{
		"service": g.Service, "address": m.address, "zone": "zone-a", "version": "v1", "slots": 4, "state": state,
		"warmup_left_ms": 0, "db_role": role, "seq": m.seq, "born": m.born,
	})
	return body, m.draining
}

func (m *Member) accept() {
	l := m.listener
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		m.conns[conn] = true
		m.sessions++
		n := m.sessions
		m.group.mu.Unlock()
		go m.serve(conn, n)
	}
}

// connection is the state of a connection to a member.
type connection struct {
	number   int
	client   string
	state    string // I, T or E
	readOnly bool
	pending  map[string]string
	prepared map[string]string // kind and shape by name
	values   map[string]string
}

func (m *Member) serve(conn net.Conn, number int) {
	defer func() {
		m.group.mu.Lock()
		delete(m.conns, conn)
		m.group.mu.Unlock()
		_ = conn.Close()
	}()
	r := bufio.NewReader(conn)
	c := &connection{number: number, state: "I", pending: map[string]string{}, prepared: map[string]string{}, values: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		var out []string
		switch word {
		case "STARTUP":
			f := strings.Fields(rest)
			if len(f) < 2 || f[0] != m.group.Service || len(f) > 2 && f[2] != m.ID {
				_, _ = conn.Write([]byte("ERROR WRONGNODE " + m.ID + "\r\n"))
				return
			}
			c.client = f[1]
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			out = m.query(c, id, text)
			if out == nil {
				return
			}
		default:
			return
		}
		m.group.mu.Lock()
		out = append(out, "READY "+c.state+" "+m.position(len(m.log)))
		m.group.mu.Unlock()
		if _, err := conn.Write([]byte(strings.Join(out, "\r\n") + "\r\n")); err != nil {
			return
		}
	}
}

// position returns the position of a log of n entries. The caller holds the lock.
func (m *Member) position(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", m.log[n-1].Term, m.log[n-1].Number)
}

// query executes one statement. It returns nil if the member ends meanwhile.
func (m *Member) query(c *connection, id, text string) []string {
	g := m.group
	if id != "-" {
		time.Sleep(g.Work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.up {
		return nil
	}
	if text != "STATUS" && rand.Float64() < m.failShare {
		g.record.Add("member %s fails %s %s", m.ID, id, text)
		if c.state == "T" {
			c.state = "E"
		}
		return []string{"ERROR FAILED " + m.ID}
	}
	if id != "-" {
		g.executed = append(g.executed, Run{
			Member: m.ID, ID: id, Text: text, Client: c.client, At: time.Now(), Session: c.number, Values: maps.Clone(c.values),
		})
	}
	if after, ok := strings.CutPrefix(text, "AFTER "); ok {
		pos, rest, _ := strings.Cut(after, " ")
		term, number, _ := strings.Cut(pos, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.ParseUint(number, 10, 64)
		last := Entry{}
		if applied := m.applied(); len(applied) > 0 {
			last = applied[len(applied)-1]
		}
		if last.Term < t || last.Number < n {
			return []string{"ERROR LAGGING " + m.ID}
		}
		text = rest
	}
	f := strings.SplitN(text, " ", 4)
	leads := g.primary == m
	if c.state == "E" && f[0] != "COMMIT" && f[0] != "ROLLBACK" {
		return []string{"ERROR MALFORMED the transaction has failed"}
	}
	lostLead := c.state == "T" && !c.readOnly && !leads && !(f[0] == "COMMIT" && len(c.pending) == 0)
	if lostLead || !leads && (text == "BEGIN" || f[0] == "WRITE") {
		c.pending = map[string]string{}
		if c.state == "T" {
			c.state = "E"
		}
		return []string{"ERROR READONLY " + m.ID}
	}
	signature := fmt.Sprintf("sig.%s.%d.%s", m.ID, c.number, id)
	switch f[0] {
	case "BEGIN":
		c.state, c.readOnly = "T", text == "BEGIN READ"
	case "ROLLBACK":
		c.state, c.pending = "I", map[string]string{}
	case "COMMIT":
		failed, pending := c.state == "E", c.pending
		c.state, c.pending = "I", map[string]string{}
		if failed {
			return []string{"ERROR ABORTED the transaction has failed"}
		}
		if len(pending) > 0 && !g.commit(m, id, pending) {
			return nil
		}
	case "READ":
		return []string{"ROW " + m.value(f[1]), "COMPLETE " + signature}
	case "WRITE":
		return m.write(c, id, f[1], strings.Join(f[2:], " "), signature)
	case "EXECUTE":
		shape, ok := c.prepared[f[1]]
		if !ok {
			return []string{"ERROR NOSTMT " + f[1]}
		}
		g.record.Add("member %s: %s runs as %s", m.ID, id, shape)
		g.executed[len(g.executed)-1].Text += " [" + shape + "]"
		if strings.HasPrefix(shape, "WRITE ") {
			return m.write(c, id, f[2], strings.Join(f[3:], " "), signature)
		}
		return []string{"ROW " + m.value(f[2]), "COMPLETE " + signature}
	case "PREPARE":
		c.prepared[f[1]] = strings.Join(f[2:], " ")
		signature = "-"
	case "SET":
		c.values[f[1]] = strings.Join(f[2:], " ")
		signature = "-"
	case "RESET":
		c.prepared, c.values, signature = map[string]string{}, map[string]string{}, "-"
	case "DEALLOCATE":
		delete(c.prepared, f[1])
		signature = "-"
	case "STATUS", "DEMOTE":
		role := "replica"
		if leads {
			role = "primary"
		}
		row := fmt.Sprintf("ROW %s %d %s %d %d 0 %d", role, g.term, m.position(len(m.log)), g.term, m.Lag.Milliseconds(), len(m.conns))
		return []string{row, "COMPLETE -"}
	default:
		return []string{"ERROR MALFORMED " + f[0]}
	}
	if id == "-" {
		signature = "-"
	}
	return []string{"COMPLETE " + signature}
}

// write writes a value, at once outside of a transaction. The caller holds the lock.
func (m *Member) write(c *connection, id, item, data, signature string) []string {
	if c.state == "T" {
		c.pending[item] = data
		return []string{"COMPLETE " + signature}
	}
	if !m.group.commit(m, id, map[string]string{item: data}) {
		return nil
	}
	return []string{"COMPLETE " + signature}
}

// value returns the value of an item that reads show. The caller holds the lock.
func (m *Member) value(item string) string {
	entries := m.applied()
	for i := len(entries) - 1; i >= 0; i-- {
		if v, ok := entries[i].Values[item]; ok {
			return v
		}
	}
	return "none"
}

// DrainAcked returns when the draining of a member was acknowledged, or zero.
func (g *Group) DrainAcked(id string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Member(id).drainAcked
}

// SetFailShare sets which part of its statements a member fails.
func (g *Group) SetFailShare(id string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Add("member %s fails a part of %.2f of its requests", id, share)
	g.Member(id).failShare = share
}
