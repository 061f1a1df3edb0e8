package consensus

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// The rules for the set of control hosts.
const (
	learnerLag     = 10          // entries that a learner may lack when it becomes a voter
	learnerSilence = time.Minute // then the learner is removed

	joinInterval = 300 * time.Millisecond // between requests to be taken in
	rejoinAfter  = 3 * time.Second        // without a leader, a voter may have been removed
)

// Policy is what a deployment asks of the set of voters.
type Policy struct {
	Voters       int           // voters that the leader aims at
	VoterSilence time.Duration // then a spare learner replaces the voter
}

// DefaultPolicy bears the loss of one host.
func DefaultPolicy() Policy { return Policy{Voters: 3, VoterSilence: 10 * time.Second} }

// isVoter reports whether a host votes.
func isVoter(voters []proto.Voter, h types.HostID) bool {
	return slices.ContainsFunc(voters, func(v proto.Voter) bool { return v.Host == h && !v.Learner })
}

// isMember reports whether a host votes or learns.
func isMember(voters []proto.Voter, h types.HostID) bool {
	return slices.ContainsFunc(voters, func(v proto.Voter) bool { return v.Host == h })
}

// joinDue asks the other control hosts to take this one in.
func (n *Node) joinDue() {
	n.arm(timerJoin, joinInterval)
	if n.leader != "" {
		return
	}
	if isVoter(n.log.voters(), n.self) && n.now.Sub(n.heardAt) < rejoinAfter {
		return
	}
	self := n.opt.Self
	n.send(proto.Message{Kind: proto.MsgJoin, Term: n.term, Joiner: &self})
}

// handleJoin adds an unknown host as a learner. A host that does not lead passes
// the request on: the new one may know none but followers.
func (n *Node) handleJoin(m proto.Message) {
	if m.Joiner == nil || isMember(n.log.voters(), m.Joiner.Host) {
		return
	}
	n.recordJoin(m.Joiner.Host)
	if n.role != leader {
		n.passOnJoin(m)
		return
	}
	joiner := *m.Joiner
	joiner.Learner = true
	delete(n.lead.peers, joiner.Host) // it may have been a member before
	n.changeVoters(append(slices.Clone(n.log.voters()), joiner), joiner.Host, "a new host asked to join")
}

// passOnJoin sends a request to join to the leader, if one is known. It is passed
// on once only, as hosts may take each other for the leader.
func (n *Node) passOnJoin(m proto.Message) {
	if n.leader == "" || m.From != m.Joiner.Host {
		return
	}
	n.send(proto.Message{Kind: proto.MsgJoin, To: n.leader, Term: n.term, Joiner: m.Joiner})
}

// joinRecord is the last request to join that was recorded.
type joinRecord struct{ joiner, leader types.HostID }

// recordJoin records a request to join. One that is repeated is recorded again
// when this host knows another leader.
func (n *Node) recordJoin(joiner types.HostID) {
	record := joinRecord{joiner: joiner, leader: n.leader}
	if record == n.joining {
		return
	}
	n.joining = record
	reason := "this host leads"
	switch {
	case n.leader == "":
		reason = "no leader is known"
	case n.leader != n.self:
		reason = "passed on to the leader " + string(n.leader)
	}
	n.decide(effect.DecideJoin, joiner, reason)
}

// mayChangeVoters reports whether voters may be proposed: no change is
// uncommitted, and it differs from the set in force in one host.
func (n *Node) mayChangeVoters(voters []proto.Voter) bool {
	if n.log.votersIndex() > n.commit {
		return false
	}
	return differences(n.log.voters(), voters) == 1 && slices.ContainsFunc(voters, func(v proto.Voter) bool { return !v.Learner })
}

// differences counts the hosts that are added, removed or changed.
func differences(a, b []proto.Voter) int {
	count := 0
	for _, v := range a {
		if !slices.Contains(b, v) {
			count++
		}
	}
	for _, v := range b {
		if !isMember(a, v.Host) {
			count++
		}
	}
	return count
}

// changeVoters proposes a set of voters, if it may.
func (n *Node) changeVoters(voters []proto.Voter, host types.HostID, reason string) {
	if !n.leading() || !n.mayChangeVoters(voters) {
		return
	}
	n.decide(effect.DecideVoters, host, reason)
	n.propose(proto.Command{Voters: &proto.SetVoters{Voters: voters}})
}

// votersCommitted ends the leadership of a host that was voted out.
func (n *Node) votersCommitted() {
	if n.role == leader && n.log.votersIndex() <= n.applied && !isVoter(n.log.voters(), n.self) {
		n.stepDown("this host was removed from the voters")
	}
}

// manageVoters makes the next change of voters that is called for, if any:
// learners that caught up replace silent voters, first in, then out, so that
// the set never shrinks below what it was.
func (n *Node) manageVoters() {
	if !n.leading() {
		return
	}
	voters := n.log.voters()
	count := countVoters(voters)
	silent, anySilent := find(voters, func(v proto.Voter) bool {
		return !v.Learner && n.silentFor(v.Host) >= n.opt.Policy.VoterSilence
	})
	spare, anySpare := find(voters, func(v proto.Voter) bool { return v.Learner && n.caughtUp(v.Host) })
	lost, anyLost := find(voters, func(v proto.Voter) bool {
		return v.Learner && n.silentFor(v.Host) >= learnerSilence
	})
	switch {
	case count > n.opt.Policy.Voters && anySilent:
		n.changeVoters(without(voters, silent.Host), silent.Host, "voter was silent for "+n.opt.Policy.VoterSilence.String())
	case count > n.opt.Policy.Voters:
		v := n.surplus(voters)
		n.changeVoters(withRole(voters, v.Host, true), v.Host, "more voters than needed")
	case anySpare && count < n.opt.Policy.Voters:
		n.changeVoters(withRole(voters, spare.Host, false), spare.Host, "learner caught up")
	case anySpare && anySilent:
		n.changeVoters(withRole(voters, spare.Host, false), spare.Host, "learner replaces voter "+string(silent.Host))
	case anyLost:
		n.changeVoters(without(voters, lost.Host), lost.Host, "learner was silent for "+learnerSilence.String())
	}
}

// silentFor returns how long a host has not worked: it sent no reply, or none
// that showed that it syncs what it is sent.
func (n *Node) silentFor(h types.HostID) time.Duration {
	if h == n.self {
		return 0
	}
	return n.now.Sub(n.peer(h).workedAt)
}

// caughtUp reports whether a host answers and lacks few entries.
func (n *Node) caughtUp(h types.HostID) bool {
	p := n.peer(h)
	return n.silentFor(h) < ElectionTimeoutMin && p.match >= n.lead.first && p.match+learnerLag >= n.log.last()
}

// surplus returns the voter to make a learner again: the last that does not lead.
func (n *Node) surplus(voters []proto.Voter) proto.Voter {
	for _, v := range slices.Backward(voters) {
		if !v.Learner && v.Host != n.self {
			return v
		}
	}
	return proto.Voter{}
}

func countVoters(voters []proto.Voter) int {
	count := 0
	for _, v := range voters {
		if !v.Learner {
			count++
		}
	}
	return count
}

func find(voters []proto.Voter, is func(proto.Voter) bool) (proto.Voter, bool) {
	i := slices.IndexFunc(voters, is)
	if i < 0 {
		return proto.Voter{}, false
	}
	return voters[i], true
}

// without returns the set without a host.
func without(voters []proto.Voter, h types.HostID) []proto.Voter {
	return slices.DeleteFunc(slices.Clone(voters), func(v proto.Voter) bool { return v.Host == h })
}

// withRole returns the set with a host as voter or learner.
func withRole(voters []proto.Voter, h types.HostID, learner bool) []proto.Voter {
	next := slices.Clone(voters)
	for i := range next {
		if next[i].Host == h {
			next[i].Learner = learner
		}
	}
	return next
}

// WithoutHost returns the voters without a host, for an operator's removal. It
// reports false when the host is unknown or is the last voter.
func WithoutHost(voters []proto.Voter, h types.HostID) ([]proto.Voter, bool) {
	rest := without(voters, h)
	return rest, len(rest) < len(voters) && countVoters(rest) > 0
}
