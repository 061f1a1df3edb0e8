package consensus

import (
	"slices"
	"strconv"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Limits of log replication.
const (
	maxEntriesPerAppend = 64
	maxBytesPerAppend   = 1 << 20
	maxInFlightEntries  = 512 // sent to a follower and not acknowledged yet
	// maxInFlightAppends is how many appends with entries a follower may have to
	// acknowledge. Entries that are proposed meanwhile are sent together.
	maxInFlightAppends = 16
)

// leaderState is the volatile state of a leader.
type leaderState struct {
	electedAt    types.Instant
	firstIndex   uint64 // index of the first entry of the leader's term
	peers        map[types.HostID]*progress
	lastRound    uint64        // number of the newest round
	rounds       []round       // not acknowledged by a quorum yet, in the order sent
	quorumSentAt types.Instant // send time of the newest round that a quorum acknowledged
}

// round identifies a broadcast of heartbeats or entries. Followers echo its
// number.
type round struct {
	number uint64
	sentAt types.Instant
}

// progress is the leader's view of one follower's log.
type progress struct {
	match          uint64        // index of the last entry known to be synced by the follower
	next           uint64        // index of the next entry to send
	probing        bool          // next is unconfirmed; send one append at a time
	ackedRound     uint64        // newest round that the follower acknowledged
	lastActive     types.Instant // last reply that advanced match, or showed all committed entries synced
	inFlight       []uint64      // last entry of each append that is not acknowledged yet
	snapshotSentAt types.Instant // when the last snapshot was sent; zero if none is in flight
}

func termText(t proto.ControlTerm) string { return strconv.FormatUint(uint64(t), 10) }

// becomeLeader starts this host's term as leader with an empty entry (Raft,
// section 8).
func (n *Node) becomeLeader() {
	n.role, n.leader = leader, n.self
	n.leaderState = leaderState{
		electedAt:    n.now,
		firstIndex:   n.log.last() + 1,
		peers:        make(map[types.HostID]*progress),
		quorumSentAt: n.now,
	}
	n.inheritSilence()
	n.recordDecision(effect.DecideLeader, n.self, "elected by a quorum in term "+termText(n.term))
	n.appendCommand(proto.Command{})
	n.broadcastHeartbeat()
}

// propose replicates a command if this host is the leader, and drops it
// otherwise.
func (n *Node) propose(c proto.Command) {
	if !n.leading() {
		return
	}
	if c.Voters != nil && !n.mayChangeVoters(c.Voters.Voters) {
		return
	}
	n.appendCommand(c)
	n.beginRound()
	n.broadcastEntries()
}

// appendCommand appends an entry to the log. The leader counts its own copy
// toward the quorum once it is synced.
func (n *Node) appendCommand(c proto.Command) {
	e := proto.Entry{Index: n.log.last() + 1, Term: n.term, Command: c}
	n.appendEntries([]proto.Entry{e})
	n.sendSynced(proto.Message{Kind: proto.MsgAppendReply, To: n.self, Term: n.term, Match: e.Index})
}

// handleHeartbeatTimer steps down without a quorum, and sends the next heartbeat
// otherwise.
func (n *Node) handleHeartbeatTimer() {
	if n.role != leader {
		return
	}
	if n.now.Sub(n.leaderState.quorumSentAt) >= ElectionTimeoutMax {
		n.stepDown("no quorum of voters answered within " + ElectionTimeoutMax.String())
		return
	}
	n.manageVoters()
	n.broadcastHeartbeat()
}

// broadcastHeartbeat sends a heartbeat to every other host and arms the timer for
// the next one.
func (n *Node) broadcastHeartbeat() {
	n.armTimer(timerHeartbeat, HeartbeatInterval)
	n.beginRound()
	for _, v := range n.log.voters() {
		if v.Host != n.self {
			n.sendHeartbeat(v.Host)
		}
	}
	n.advanceLease()
}

// beginRound starts a new round; appends sent from now on carry its number.
func (n *Node) beginRound() {
	n.leaderState.lastRound++
	n.leaderState.rounds = append(n.leaderState.rounds, round{n.leaderState.lastRound, n.now})
}

// peer returns the progress of a follower, created on first use.
func (n *Node) peer(h types.HostID) *progress {
	p, ok := n.leaderState.peers[h]
	if !ok {
		p = &progress{next: n.leaderState.firstIndex, probing: true, lastActive: n.now}
		n.leaderState.peers[h] = p
	}
	return p
}

// broadcastEntries sends every other host the entries that it lacks.
func (n *Node) broadcastEntries() {
	for _, v := range n.log.voters() {
		if v.Host != n.self {
			n.maybeSendEntries(v.Host)
		}
	}
}

// maybeSendEntries sends a follower its next entries, up to the limits on entries and
// appends in flight.
func (n *Node) maybeSendEntries(h types.HostID) {
	p := n.peer(h)
	for !p.probing && len(p.inFlight) < maxInFlightAppends && p.next <= n.log.last() && p.next-p.match <= maxInFlightEntries && p.next > n.log.base {
		n.sendEntries(h, p)
	}
}

// sendHeartbeat sends a follower an append, which may be empty. If the follower's
// next entry is no longer in the log, it sends a snapshot instead, or an empty
// append at the base of the log while a snapshot is in flight.
func (n *Node) sendHeartbeat(h types.HostID) {
	p := n.peer(h)
	switch {
	case p.next <= n.log.base && n.now.Sub(p.snapshotSentAt) >= snapshotRetryInterval:
		n.sendSnapshot(h, p)
	case p.next <= n.log.base:
		n.send(proto.Message{
			Kind: proto.MsgAppend, To: h, Term: n.term, Round: n.leaderState.lastRound,
			LogIndex: n.log.base, LogTerm: n.log.baseTerm, Silent: n.silentVoters(),
		})
	default:
		n.sendEntries(h, p)
	}
}

// sendEntries sends one append with the entries from p.next on.
func (n *Node) sendEntries(h types.HostID, p *progress) {
	prev := p.next - 1
	prevTerm, _ := n.log.term(prev)
	m := proto.Message{
		Kind: proto.MsgAppend, To: h, Term: n.term, Round: n.leaderState.lastRound,
		LogIndex: prev, LogTerm: prevTerm, Commit: n.commit, Silent: n.silentVoters(),
	}
	if p.next <= n.log.last() && p.next-p.match <= maxInFlightEntries {
		m.Entries = n.batch(p.next)
	}
	if !p.probing && len(m.Entries) > 0 {
		p.next += uint64(len(m.Entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
	n.send(m)
}

// batch returns the entries from index on that fit into one append.
func (n *Node) batch(index uint64) []proto.Entry {
	es := n.log.entriesFrom(index, maxEntriesPerAppend)
	size := 0
	for i, e := range es {
		size += estimateEntryBytes(e)
		if size > maxBytesPerAppend && i > 0 {
			return es[:i:i]
		}
	}
	return es
}

// handleAppendReply updates the progress of a follower from its reply.
func (n *Node) handleAppendReply(m proto.Message) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != leader || m.Term < n.term || !isMember(n.log.voters(), m.From) {
		return
	}
	p := n.peer(m.From)
	p.ackedRound = max(p.ackedRound, m.Round)
	n.advanceLease()
	if m.Reject {
		p.next = max(p.match, min(m.Hint, n.log.last())) + 1
		p.probing, p.inFlight = true, nil
		n.retryAppend(m.From, p)
		return
	}
	if m.Match > p.match || m.Match >= n.commit {
		p.lastActive = n.now
	}
	if m.Match > p.match {
		p.match = m.Match
		p.snapshotSentAt = 0
	}
	for len(p.inFlight) > 0 && p.inFlight[0] <= p.match {
		p.inFlight = p.inFlight[1:]
	}
	if p.probing || p.next <= p.match {
		p.probing = false
		p.next = p.match + 1
	}
	n.advanceCommit()
	if m.From != n.self {
		n.maybeSendEntries(m.From)
	}
}

// retryAppend responds to a rejected append at once, unless the follower needs a
// snapshot and one is already in flight.
func (n *Node) retryAppend(h types.HostID, p *progress) {
	if p.next > n.log.base {
		n.sendEntries(h, p)
		return
	}
	if n.now.Sub(p.snapshotSentAt) >= snapshotRetryInterval {
		n.sendSnapshot(h, p)
	}
}

// advanceCommit commits the entries that a quorum synced. Entries of earlier
// terms are committed only through one of this term (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	index := quorumValue(n.log.voters(), func(h types.HostID) uint64 { return n.peer(h).match })
	if t, ok := n.log.term(index); ok && index > n.commit && t == n.term {
		n.commit = index
	}
}

// advanceLease extends the leader lease to the newest round that a quorum
// acknowledged.
func (n *Node) advanceLease() {
	acked := quorumValue(n.log.voters(), func(h types.HostID) uint64 {
		if h == n.self {
			return n.leaderState.lastRound
		}
		return n.peer(h).ackedRound
	})
	for len(n.leaderState.rounds) > 0 && n.leaderState.rounds[0].number <= acked {
		n.leaderState.quorumSentAt = n.leaderState.rounds[0].sentAt
		n.leaderState.rounds = n.leaderState.rounds[1:]
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

// hasQuorum reports whether a quorum of voters satisfies has.
func (n *Node) hasQuorum(has func(types.HostID) bool) bool {
	return quorumValue(n.log.voters(), func(h types.HostID) uint64 {
		if has(h) {
			return 1
		}
		return 0
	}) == 1
}
