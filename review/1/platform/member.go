package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// start accepts connections and sends heartbeats.
func (m *member) start() {
	go m.accept(m.listener)
	go m.sendHeartbeats(m.stop)
}

// crash ends the member without any notice.
func (m *member) crash() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.down() {
		return
	}
	close(m.stop)
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
	m.conns = map[net.Conn]bool{}
}

// restart starts a member that has crashed again with its log. It is a replica if
// another one was promoted meanwhile.
func (m *member) restart() error {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.listener, m.stop, m.seq, m.born = l, make(chan struct{}), 0, time.Now()
	if m.group.primary != m {
		m.follow()
	}
	m.start()
	return nil
}

// sendHeartbeats sends heartbeats to one control host after the other.
func (m *member) sendHeartbeats(stop chan struct{}) {
	client := http.Client{Timeout: time.Second}
	control := m.group.rig.controlAddresses()
	for turn := 0; ; turn++ {
		for range control {
			url := "http://" + control[turn%len(control)] + "/instances/" + m.id + "/heartbeat"
			resp, err := client.Post(url, "application/json", bytes.NewReader(m.heartbeat()))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode < 300 {
					break
				}
			}
			turn++
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (m *member) heartbeat() []byte {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.seq++
	body, _ := json.Marshal(map[string]any{
		"service": m.group.service, "address": m.address, "zone": "kranj-shop", "version": "v1", "slots": memberSlots,
		"state": "ready", "warmup_left_ms": 0, "db_role": m.role(), "seq": m.seq, "born": m.born.UnixMilli(),
	})
	return body
}

func (m *member) role() string {
	if m.group.primary == m {
		return "primary"
	}
	return "replica"
}

func (m *member) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		m.conns[conn] = true
		m.group.mu.Unlock()
		go m.serve(conn)
	}
}

// state is the state of one connection to a member.
type state struct {
	tx       bool // a transaction is open
	failed   bool // it has failed
	readOnly bool // it was begun with READ
	items    map[string]string
}

func (s *state) letter() string {
	switch {
	case s.failed:
		return "E"
	case s.tx:
		return "T"
	}
	return "I"
}

func (m *member) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		m.group.mu.Lock()
		delete(m.conns, conn)
		m.group.mu.Unlock()
	}()
	r, s := bufio.NewReader(conn), &state{}
	for {
		word, rest, err := readLine(r)
		if err != nil {
			return
		}
		out := ""
		switch word {
		case "STARTUP":
			f := strings.Fields(rest)
			if f[0] != m.group.service || len(f) > 2 && f[2] != m.id {
				_, _ = conn.Write([]byte(line("ERROR", "WRONGNODE", m.id)))
				return
			}
			m.group.mu.Lock()
			full := len(m.conns) > memberConnections
			m.group.mu.Unlock()
			if full {
				_, _ = conn.Write([]byte(line("ERROR", "TOOMANY", m.id)))
				return
			}
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			out = m.query(s, id, text)
		default:
			return
		}
		m.group.mu.Lock()
		out += line("READY", s.letter(), last(m.applied()).String())
		m.group.mu.Unlock()
		if _, err := conn.Write([]byte(out)); err != nil {
			return
		}
	}
}

// query executes a statement and returns its answer up to READY.
func (m *member) query(s *state, id, text string) string {
	verb, _, _ := strings.Cut(strings.TrimPrefix(text, "AFTER "), " ")
	if strings.HasPrefix(text, "AFTER ") {
		verb = strings.Fields(text)[2]
	}
	if verb == "READ" || verb == "WRITE" || verb == "COMMIT" {
		if !m.takeSlot() {
			return line("ERROR", "BUSY", m.id)
		}
		defer func() { <-m.slots }()
	}
	m.group.mu.Lock()
	work := m.work
	if verb == "READ" { // a read sees the log that it finds, a commit is applied at its end
		defer time.Sleep(work)
		defer m.group.mu.Unlock()
		return m.execute(s, id, text)
	}
	m.group.mu.Unlock()
	if verb == "WRITE" || verb == "COMMIT" {
		time.Sleep(work)
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.execute(s, id, text)
}

// takeSlot waits for a slot, unless too many statements wait for one already.
func (m *member) takeSlot() bool {
	select {
	case m.slots <- struct{}{}:
		return true
	case <-time.After(memberQueue * workTime / memberSlots):
		return false
	}
}

// execute executes a statement. The caller holds the group's lock.
func (m *member) execute(s *state, id, text string) string {
	log, statement := m.applied(), text
	if after, ok := strings.CutPrefix(text, "AFTER "); ok {
		word, rest, _ := strings.Cut(after, " ")
		p, err := parsePosition(word)
		if err != nil || p.number > uint64(len(log)) || p.number > 0 && log[p.number-1].commit.pos.term != p.term {
			return line("ERROR", "LAGGING", m.id)
		}
		statement = rest
	}
	f := strings.SplitN(statement, " ", 3)
	leads := m.group.primary == m
	switch {
	case s.failed && f[0] != "ROLLBACK" && f[0] != "COMMIT":
		return line("ERROR", "MALFORMED", "the transaction has failed")
	case s.tx && !s.readOnly && !leads && f[0] != "ROLLBACK" && !(f[0] == "COMMIT" && len(s.items) == 0):
		s.failed = true
		return line("ERROR", "READONLY", m.id)
	case !leads && (f[0] == "WRITE" || statement == "BEGIN"):
		s.failed = s.tx
		return line("ERROR", "READONLY", m.id)
	case (id != "-" || f[0] == "BEGIN") && f[0] != "COMMIT" && f[0] != "ROLLBACK" && rand.Float64() < m.fails:
		s.failed = s.tx
		return line("ERROR", "FAILED", m.id)
	}
	if id != "-" {
		m.group.runs = append(m.group.runs, run{id, text, m.id, time.Now(), log})
	}
	signature := fmt.Sprintf("%s.%s", m.id, id)
	switch f[0] {
	case "BEGIN":
		*s = state{tx: true, readOnly: statement != "BEGIN", items: map[string]string{}}
		signature = "-"
	case "COMMIT", "ROLLBACK":
		if f[0] == "COMMIT" && !s.failed && len(s.items) > 0 {
			m.group.commit(s.items)
		}
		*s = state{}
	case "READ":
		return line("ROW", value(log, s.items, f[1])) + line("COMPLETE", signature)
	case "WRITE":
		if s.tx {
			s.items[f[1]] = f[2]
		} else {
			m.group.commit(map[string]string{f[1]: f[2]})
		}
	case "STATUS":
		row := fmt.Sprintf("%s %d %s 0 0 %d %d", m.role(), m.group.term, last(m.log), len(m.slots), len(m.conns))
		return line("ROW", row) + line("COMPLETE", "-")
	default:
		signature = "-"
	}
	return line("COMPLETE", signature)
}

// value returns the value of an item in a log and a transaction's own writes.
func value(log []entry, own map[string]string, item string) string {
	if v, ok := own[item]; ok {
		return v
	}
	for i := len(log) - 1; i >= 0; i-- {
		if v, ok := log[i].commit.items[item]; ok {
			return v
		}
	}
	return "none"
}
