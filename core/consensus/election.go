package consensus

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// resetElectionTimer arms the election timer with a new random timeout.
func (n *Node) resetElectionTimer() {
	spread := uint64(ElectionTimeoutMax - ElectionTimeoutMin)
	d := ElectionTimeoutMin + time.Duration(n.random()%spread)
	n.electionDeadline = n.now.Add(d)
	n.armTimer(timerElection, d)
}

// random returns the next pseudo-random number from the step's seed (splitmix64).
func (n *Node) random() uint64 {
	n.seed += 0x9e3779b97f4a7c15
	z := n.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// handleElectionTimeout starts a pre-vote if no leader made contact before the
// election deadline.
func (n *Node) handleElectionTimeout() {
	if n.role == leader {
		return
	}
	if n.now < n.electionDeadline {
		n.armTimer(timerElection, n.electionDeadline.Sub(n.now))
		return
	}
	n.resetElectionTimer()
	n.recordLostLeader()
	n.leader = ""
	if !isVoter(n.log.voters(), n.self) {
		return
	}
	n.role = preCandidate
	n.requestVotes(proto.MsgPreVote, n.term+1)
}

// campaign starts an election for the next term.
func (n *Node) campaign() {
	n.term++
	n.vote = n.self
	n.role = candidate
	n.requestVotes(proto.MsgVote, n.term)
}

// requestVotes asks all voters for a vote or a pre-vote. This host's own vote
// counts once it is synced; a pre-vote commits the voter to nothing and needs no
// sync.
func (n *Node) requestVotes(kind proto.MessageKind, term proto.ControlTerm) {
	n.votes = make(map[types.HostID]bool)
	for _, v := range n.log.voters() {
		if v.Learner || v.Host == n.self {
			continue
		}
		m := proto.Message{
			Kind: kind, To: v.Host, Term: term,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		}
		if kind == proto.MsgPreVote {
			n.send(m)
		} else {
			n.sendSynced(m)
		}
	}
	if kind == proto.MsgPreVote {
		n.handleVoteReply(proto.Message{Kind: proto.MsgPreVoteReply, From: n.self, Term: term})
		return
	}
	n.sendSynced(proto.Message{Kind: proto.MsgVoteReply, To: n.self, Term: term})
}

// inLeaderLease reports whether a leader may still rely on this host not voting
// for another one. That includes the time after a start, since the host may have
// acknowledged a leader just before.
func (n *Node) inLeaderLease() bool {
	return n.role == leader || n.now < n.lastContact.Add(ElectionTimeoutMin)
}

// handleVote handles a request for a vote or a pre-vote (Raft, sections 5.2 and
// 5.4.1; Ongaro's thesis, section 9.6).
func (n *Node) handleVote(m proto.Message) {
	alreadyGranted := m.Kind == proto.MsgVote && m.Term == n.term && n.vote == m.From
	if m.Term >= n.term && n.inLeaderLease() && !alreadyGranted {
		return // ignore the request entirely: it must not raise the term either
	}
	if m.Kind == proto.MsgVote && m.Term > n.term {
		n.becomeFollower(m.Term, "")
	}
	reply := proto.Message{Kind: m.Kind + 1, To: m.From, Term: n.term}
	canGrant := m.Kind == proto.MsgPreVote && m.Term > n.term ||
		m.Kind == proto.MsgVote && m.Term == n.term && n.leader == "" && (n.vote == "" || n.vote == m.From)
	reply.Reject = !canGrant || !n.upToDate(m)
	if !reply.Reject {
		reply.Term = m.Term
		reply.Silent = n.reportSilence()
		if m.Kind == proto.MsgVote {
			n.vote = m.From
			n.resetElectionTimer()
		}
	}
	n.sendSynced(reply)
}

// upToDate reports whether a candidate's log is at least as up-to-date as this
// host's log (Raft, section 5.4.1).
func (n *Node) upToDate(m proto.Message) bool {
	if last := n.log.lastTerm(); m.LogTerm != last {
		return m.LogTerm > last
	}
	return m.LogIndex >= n.log.last()
}

// handleVoteReply counts a vote or a pre-vote, and campaigns or becomes leader
// once a quorum granted it.
func (n *Node) handleVoteReply(m proto.Message) {
	n.recordSilence(m.Silent)
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	switch {
	case m.Kind == proto.MsgPreVoteReply && n.role == preCandidate && m.Term == n.term+1:
		n.votes[m.From] = true
		if n.hasQuorum(func(h types.HostID) bool { return n.votes[h] }) {
			n.campaign()
		}
	case m.Kind == proto.MsgVoteReply && n.role == candidate && m.Term == n.term:
		n.votes[m.From] = true
		if n.hasQuorum(func(h types.HostID) bool { return n.votes[h] }) {
			n.becomeLeader()
		}
	}
}

// becomeFollower makes this host a follower in a term. leaderHost is empty if
// the leader is not known yet.
func (n *Node) becomeFollower(term proto.ControlTerm, leaderHost types.HostID) {
	if n.role == leader {
		n.stepDown("another host is in term " + termText(term))
	}
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = follower, leaderHost
}

// stepDown ends this host's leadership. It sets lastContact so that this host
// grants no votes while its leader lease may still be valid.
func (n *Node) stepDown(reason string) {
	n.role, n.leader = follower, ""
	n.lastContact = n.now
	n.leaderState = leaderState{}
	n.stopTimer(timerHeartbeat)
	n.resetElectionTimer()
	n.recordDecision(effect.DecideStepDown, n.self, reason)
}
