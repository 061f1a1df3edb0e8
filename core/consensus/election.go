package consensus

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// resetElection arms the election timer with a new random timeout.
func (n *Node) resetElection() {
	spread := uint64(ElectionTimeoutMax - ElectionTimeoutMin)
	d := ElectionTimeoutMin + time.Duration(n.random()%spread)
	n.electionAt = n.now.Add(d)
	n.arm(timerElection, d)
}

// random returns the next number of the step's seed (splitmix64).
func (n *Node) random() uint64 {
	n.seed += 0x9e3779b97f4a7c15
	z := n.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// electionDue begins a pre-vote when no leader was heard in time.
func (n *Node) electionDue() {
	if n.role == leader {
		return
	}
	if n.now < n.electionAt {
		n.arm(timerElection, n.electionAt.Sub(n.now))
		return
	}
	n.resetElection()
	n.leader = ""
	if !isVoter(n.log.voters(), n.self) {
		return
	}
	n.role = preCandidate
	n.ask(proto.MsgPreVote, n.term+1)
}

// campaign stands for election in the next term.
func (n *Node) campaign() {
	n.term++
	n.vote = n.self
	n.role = candidate
	n.ask(proto.MsgVote, n.term)
}

// ask requests the votes of all voters. The own vote counts once it is
// synced; a pre-vote promises nothing and needs no sync.
func (n *Node) ask(kind proto.MessageKind, term proto.ControlTerm) {
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

// sticky reports whether this host may have promised a leader not to elect
// another one. A host that has just started may have promised it before.
func (n *Node) sticky() bool {
	return n.role == leader || n.now < n.heardAt.Add(ElectionTimeoutMin)
}

// handleVote answers a vote or a pre-vote (Raft, sections 5.2 and 5.4.1; thesis, 9.6).
func (n *Node) handleVote(m proto.Message) {
	granted := m.Kind == proto.MsgVote && m.Term == n.term && n.vote == m.From
	if m.Term >= n.term && n.sticky() && !granted {
		return // the request must not even raise the term
	}
	if m.Kind == proto.MsgVote && m.Term > n.term {
		n.become(m.Term, "")
	}
	reply := proto.Message{Kind: m.Kind + 1, To: m.From, Term: n.term}
	free := m.Kind == proto.MsgPreVote && m.Term > n.term ||
		m.Kind == proto.MsgVote && m.Term == n.term && n.leader == "" && (n.vote == "" || n.vote == m.From)
	reply.Reject = !free || !n.upToDate(m)
	if !reply.Reject {
		reply.Term = m.Term
		if m.Kind == proto.MsgVote {
			n.vote = m.From
			n.resetElection()
		}
	}
	n.sendSynced(reply)
}

// upToDate reports whether a candidate's log holds at least what this one
// holds (Raft, section 5.4.1).
func (n *Node) upToDate(m proto.Message) bool {
	if last := n.log.lastTerm(); m.LogTerm != last {
		return m.LogTerm > last
	}
	return m.LogIndex >= n.log.last()
}

// handleVoteReply counts a vote.
func (n *Node) handleVoteReply(m proto.Message) {
	if m.Reject {
		if m.Term > n.term {
			n.become(m.Term, "")
		}
		return
	}
	switch {
	case m.Kind == proto.MsgPreVoteReply && n.role == preCandidate && m.Term == n.term+1:
		n.votes[m.From] = true
		if n.quorum(func(h types.HostID) bool { return n.votes[h] }) {
			n.campaign()
		}
	case m.Kind == proto.MsgVoteReply && n.role == candidate && m.Term == n.term:
		n.votes[m.From] = true
		if n.quorum(func(h types.HostID) bool { return n.votes[h] }) {
			n.becomeLeader()
		}
	}
}

// become follows a leader in a term. An empty one is not known yet.
func (n *Node) become(term proto.ControlTerm, leaderHost types.HostID) {
	if n.role == leader {
		n.stepDown("another host is in term " + termText(term))
	}
	if term > n.term {
		n.term, n.vote = term, ""
	}
	n.role, n.leader = follower, leaderHost
}

// stepDown ends this host's leadership. It votes for nobody while a lease that
// rests on its leadership may run.
func (n *Node) stepDown(reason string) {
	n.role, n.leader = follower, ""
	n.heardAt = n.now
	n.lead = leadership{}
	n.disarm(timerHeartbeat)
	n.resetElection()
	n.decide(effect.DecideStepDown, n.self, reason)
}
