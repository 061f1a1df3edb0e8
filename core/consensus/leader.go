package consensus

import (
	"slices"
	"strconv"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Limits of replication.
const (
	maxEntriesPerAppend = 64
	maxBytesPerAppend   = 1 << 20
	maxUnacknowledged   = 512 // entries sent ahead of a follower's reply
)

// leadership is what only a leader keeps.
type leadership struct {
	first    uint64 // index of the leader's first entry
	peers    map[types.HostID]*progress
	round    uint64
	rounds   []round       // sent and not yet superseded by a newer acknowledged one
	quorumAt types.Instant // when the newest round that a quorum acknowledged was sent
}

// round is a broadcast and when it was sent.
type round struct {
	number uint64
	at     types.Instant
}

// progress is what the leader knows of one follower.
type progress struct {
	match    uint64        // last entry that it synced
	next     uint64        // next entry to send
	probing  bool          // next is a guess; one append at a time
	round    uint64        // newest acknowledged round
	workedAt types.Instant // last reply that added to match or had nothing to add
	snapshot types.Instant // when a snapshot was sent last; zero when none is under way
}

func termText(t proto.ControlTerm) string { return strconv.FormatUint(uint64(t), 10) }

// becomeLeader begins a term of this host with an empty entry (Raft, section 8).
func (n *Node) becomeLeader() {
	n.role, n.leader = leader, n.self
	n.lead = leadership{
		first:    n.log.last() + 1,
		peers:    make(map[types.HostID]*progress),
		quorumAt: n.now,
	}
	n.decide(effect.DecideLeader, n.self, "elected by a quorum in term "+termText(n.term))
	n.appendCommand(proto.Command{})
	n.heartbeat()
}

// propose replicates a command when this host leads.
func (n *Node) propose(c proto.Command) {
	if !n.leading() {
		return
	}
	if c.Voters != nil && !n.mayChangeVoters(c.Voters.Voters) {
		return
	}
	n.appendCommand(c)
	n.beginRound()
	n.sendAll()
}

// appendCommand adds an entry. The leader counts itself once it is synced.
func (n *Node) appendCommand(c proto.Command) {
	e := proto.Entry{Index: n.log.last() + 1, Term: n.term, Command: c}
	n.appendEntries([]proto.Entry{e})
	n.sendSynced(proto.Message{Kind: proto.MsgAppendReply, To: n.self, Term: n.term, Match: e.Index})
}

// heartbeatDue checks the quorum and sends the next heartbeat.
func (n *Node) heartbeatDue() {
	if n.role != leader {
		return
	}
	if n.now.Sub(n.lead.quorumAt) >= ElectionTimeoutMax {
		n.stepDown("no quorum answered within " + ElectionTimeoutMax.String())
		return
	}
	n.manageVoters()
	n.heartbeat()
}

// heartbeat sends a round to every host and arms the next.
func (n *Node) heartbeat() {
	n.arm(timerHeartbeat, HeartbeatInterval)
	n.beginRound()
	for _, v := range n.log.voters() {
		if v.Host != n.self {
			n.sendHeartbeat(v.Host)
		}
	}
	n.advanceLease()
}

// beginRound numbers what is sent from here on.
func (n *Node) beginRound() {
	n.lead.round++
	n.lead.rounds = append(n.lead.rounds, round{n.lead.round, n.now})
}

// peer returns the progress of a follower.
func (n *Node) peer(h types.HostID) *progress {
	p, ok := n.lead.peers[h]
	if !ok {
		p = &progress{next: n.lead.first, probing: true, workedAt: n.now}
		n.lead.peers[h] = p
	}
	return p
}

// sendAll sends every follower what it lacks.
func (n *Node) sendAll() {
	for _, v := range n.log.voters() {
		if v.Host != n.self {
			n.sendMore(v.Host)
		}
	}
}

// sendMore sends a follower the next entries, if it may have more under way.
func (n *Node) sendMore(h types.HostID) {
	p := n.peer(h)
	for !p.probing && p.next <= n.log.last() && p.next-p.match <= maxUnacknowledged && p.next > n.log.base {
		n.sendEntries(h, p)
	}
}

// sendHeartbeat sends at least an empty append, or a snapshot to a follower
// that is behind the start of the log.
func (n *Node) sendHeartbeat(h types.HostID) {
	p := n.peer(h)
	switch {
	case p.next <= n.log.base && n.now.Sub(p.snapshot) >= snapshotRetry:
		n.sendSnapshot(h, p)
	case p.next <= n.log.base:
		n.send(proto.Message{
			Kind: proto.MsgAppend, To: h, Term: n.term, Round: n.lead.round,
			LogIndex: n.log.base, LogTerm: n.log.baseTerm,
		})
	default:
		n.sendEntries(h, p)
	}
}

// sendEntries sends one append with what follows p.next.
func (n *Node) sendEntries(h types.HostID, p *progress) {
	prev := p.next - 1
	prevTerm, _ := n.log.term(prev)
	m := proto.Message{
		Kind: proto.MsgAppend, To: h, Term: n.term, Round: n.lead.round,
		LogIndex: prev, LogTerm: prevTerm, Commit: n.commit,
	}
	if p.next <= n.log.last() && p.next-p.match <= maxUnacknowledged {
		m.Entries = n.batch(p.next)
	}
	if !p.probing {
		p.next += uint64(len(m.Entries))
	}
	n.send(m)
}

// batch returns the entries from index on that fit one append.
func (n *Node) batch(index uint64) []proto.Entry {
	es := n.log.from(index, maxEntriesPerAppend)
	size := 0
	for i, e := range es {
		size += entryBytes(e)
		if size > maxBytesPerAppend && i > 0 {
			return es[:i:i]
		}
	}
	return es
}

// handleAppendReply takes in what a follower holds.
func (n *Node) handleAppendReply(m proto.Message) {
	if m.Term > n.term {
		n.become(m.Term, "")
		return
	}
	if n.role != leader || m.Term < n.term || !isMember(n.log.voters(), m.From) {
		return
	}
	p := n.peer(m.From)
	p.round = max(p.round, m.Round)
	n.advanceLease()
	if m.Reject {
		p.next = max(p.match, min(m.Hint, n.log.last())) + 1
		p.probing = true
		n.retryAppend(m.From, p)
		return
	}
	if m.Match > p.match || m.Match >= n.commit {
		p.workedAt = n.now
	}
	if m.Match > p.match {
		p.match = m.Match
		p.snapshot = 0
	}
	if p.probing || p.next <= p.match {
		p.probing = false
		p.next = p.match + 1
	}
	n.advanceCommit()
	if m.From != n.self {
		n.sendMore(m.From)
	}
}

// retryAppend answers a reject at once, unless it calls for a snapshot that is
// under way already.
func (n *Node) retryAppend(h types.HostID, p *progress) {
	if p.next > n.log.base {
		n.sendEntries(h, p)
		return
	}
	if n.now.Sub(p.snapshot) >= snapshotRetry {
		n.sendSnapshot(h, p)
	}
}

// advanceCommit commits what a quorum synced. Entries of earlier terms are
// committed only through one of this term (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	index := quorumValue(n.log.voters(), func(h types.HostID) uint64 { return n.peer(h).match })
	if t, ok := n.log.term(index); ok && index > n.commit && t == n.term {
		n.commit = index
	}
}

// advanceLease notes the newest round that a quorum acknowledged.
func (n *Node) advanceLease() {
	acked := quorumValue(n.log.voters(), func(h types.HostID) uint64 {
		if h == n.self {
			return n.lead.round
		}
		return n.peer(h).round
	})
	for len(n.lead.rounds) > 0 && n.lead.rounds[0].number <= acked {
		n.lead.quorumAt = n.lead.rounds[0].at
		n.lead.rounds = n.lead.rounds[1:]
	}
}

// quorumValue returns the largest value that a quorum of voters has reached.
func quorumValue(voters []proto.Voter, value func(types.HostID) uint64) uint64 {
	var values []uint64
	for _, v := range voters {
		if !v.Learner {
			values = append(values, value(v.Host))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-types.Quorum(len(values))]
}

// quorum reports whether a quorum of voters satisfies has.
func (n *Node) quorum(has func(types.HostID) bool) bool {
	return quorumValue(n.log.voters(), func(h types.HostID) uint64 {
		if has(h) {
			return 1
		}
		return 0
	}) == 1
}
