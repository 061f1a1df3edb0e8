package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clientTimeout is the deadline of an operation.
const clientTimeout = 5 * time.Second

var lastID atomic.Uint64

// session is a client's connection to a proxy.
type session struct {
	rig    *rig
	name   string
	conn   net.Conn
	reader *bufio.Reader
	state  string // of the last READY
}

// answer is the answer to one statement. err is set if it didn't arrive completely.
type answer struct {
	id, text       string
	session        string
	sentAt, doneAt time.Time
	row            string
	code           string // "" on success
	err            error
}

func (a answer) ok() bool { return a.err == nil && a.code == "" }

// open opens a session at a proxy.
func (r *rig) open(proxy, database, name string) (*session, error) {
	conn, err := net.DialTimeout("tcp", r.address(r.host(proxy), "frontend"), time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{rig: r, name: name, conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write([]byte(line("STARTUP", database, name))); err == nil {
		word, rest, err := readLine(s.reader)
		if err == nil && word == "READY" {
			s.state = rest[:1]
			return s, nil
		}
	}
	_ = conn.Close()
	return nil, errors.New("the session was not opened")
}

// do sends a statement and waits for its answer.
func (s *session) do(text string) answer {
	a := answer{id: fmt.Sprintf("%012x", lastID.Add(1)), text: text, sentAt: time.Now()}
	_ = s.conn.SetDeadline(time.Now().Add(clientTimeout))
	_, a.err = s.conn.Write([]byte(line("QUERY", a.id, text)))
	for a.err == nil {
		var word, rest string
		if word, rest, a.err = readLine(s.reader); a.err != nil {
			break
		}
		switch word {
		case "ROW":
			a.row = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		}
		if word == "READY" {
			s.state = rest[:1]
			break
		}
	}
	a.doneAt = time.Now()
	result := "ok " + a.row
	if a.code != "" {
		result = a.code
	}
	if a.err != nil {
		result = "no complete answer: " + a.err.Error()
	}
	s.rig.record("%s: %s sent at %.3f %q: %s, state %s", s.name, a.id, a.sentAt.Sub(s.rig.started).Seconds(), text, result, s.state)
	return a
}

func (s *session) close() { _ = s.conn.Close() }

// history collects what clients have seen.
type history struct {
	mu     sync.Mutex
	writes []answer // acknowledged writes; the last word of each text is its value
	reads  []answer // successful reads
}

func (h *history) add(a answer) {
	if !a.ok() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if strings.HasPrefix(a.text, "WRITE") {
		h.writes = append(h.writes, a)
	} else {
		h.reads = append(h.reads, a)
	}
}

// staleReads returns the reads that ran on a log without a commit that was acknowledged
// more than maxAge before the first byte of the read was sent. Commits that a promotion
// rolled back don't count. With ownOnly only commits of the read's own session do.
func (h *history) staleReads(r *rig, g *group, maxAge time.Duration, ownOnly bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	commits := make(map[string]*commit)
	for _, w := range h.writes {
		commits[w.id] = g.find(w.text[strings.LastIndex(w.text, " ")+1:])
	}
	stale := 0
	for _, a := range h.reads {
		run, ok := g.runOf(a.id)
		if !ok {
			continue
		}
		for _, w := range h.writes {
			c := commits[w.id]
			if ownOnly && w.session != a.session {
				continue
			}
			if !w.doneAt.Add(maxAge).Before(a.sentAt) || c == nil || c.rolledBack || contains(run.log, c) {
				continue
			}
			stale++
			r.record("STALE: %q %s was sent at %.3f and ran on %s, whose log ends at %s; it lacks %s of %q, acknowledged at %.3f",
				a.text, a.id, a.sentAt.Sub(r.started).Seconds(), run.member, last(run.log), c.pos, w.text, w.doneAt.Sub(r.started).Seconds())
			break
		}
	}
	return stale
}
