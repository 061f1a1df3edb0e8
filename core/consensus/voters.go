package consensus

import (
	"slices"
	"strconv"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Limits and intervals for changes of the set of control hosts.
const (
	maxLearnerLag     = 10          // entries that a learner may lack when it is promoted to voter
	maxLearnerSilence = time.Minute // before a learner is removed

	joinInterval  = 300 * time.Millisecond // between requests to join
	rejoinTimeout = 3 * time.Second        // without contact, after which a voter asks to join: it may have been removed
)

// Policy configures how the leader manages the set of voters.
type Policy struct {
	Voters       int           // desired number of voters
	VoterSilence time.Duration // before a learner replaces a silent voter
}

// DefaultPolicy tolerates the loss of one host.
func DefaultPolicy() Policy { return Policy{Voters: 3, VoterSilence: 10 * time.Second} }

// isVoter reports whether a host votes.
func isVoter(voters []proto.Voter, h types.HostID) bool {
	return slices.ContainsFunc(voters, func(v proto.Voter) bool { return v.Host == h && !v.Learner })
}

// isMember reports whether a host is a voter or a learner.
func isMember(voters []proto.Voter, h types.HostID) bool {
	return slices.ContainsFunc(voters, func(v proto.Voter) bool { return v.Host == h })
}

// handleJoinTimer asks the other control hosts to add this one, unless it knows a
// leader or is a voter that had contact with one recently.
func (n *Node) handleJoinTimer() {
	n.armTimer(timerJoin, joinInterval)
	if n.leader != "" {
		return
	}
	if isVoter(n.log.voters(), n.self) && n.now.Sub(n.lastContact) < rejoinTimeout {
		return
	}
	self := n.opt.Self
	n.send(proto.Message{Kind: proto.MsgJoin, Term: n.term, Joiner: &self})
}

// handleJoin adds an unknown host as a learner. A host that is not the leader
// forwards the request, since the joining host may know only followers.
func (n *Node) handleJoin(m proto.Message) {
	if m.Joiner == nil || isMember(n.log.voters(), m.Joiner.Host) {
		return
	}
	n.recordJoin(m.Joiner.Host)
	if n.role != leader {
		n.forwardJoin(m)
		return
	}
	joiner := *m.Joiner
	joiner.Learner = true
	delete(n.leaderState.peers, joiner.Host) // it may have been a member before
	n.changeVoters(append(slices.Clone(n.log.voters()), joiner), joiner.Host, "a new host asked to join")
}

// forwardJoin forwards a request to join to the leader, if one is known. A request
// is forwarded only once, because two hosts may each take the other for the
// leader.
func (n *Node) forwardJoin(m proto.Message) {
	if n.leader == "" || m.From != m.Joiner.Host {
		return
	}
	n.send(proto.Message{Kind: proto.MsgJoin, To: n.leader, Term: n.term, Joiner: m.Joiner})
}

// joinRecord identifies the last recorded request to join.
type joinRecord struct{ joiner, leader types.HostID }

// recordJoin records a request to join. A repeated request is recorded again only
// if the known leader has changed.
func (n *Node) recordJoin(joiner types.HostID) {
	record := joinRecord{joiner: joiner, leader: n.leader}
	if record == n.lastJoin {
		return
	}
	n.lastJoin = record
	reason := "this host leads"
	switch {
	case n.leader == "":
		reason = "no leader is known"
	case n.leader != n.self:
		reason = "forwarded to leader " + string(n.leader)
	}
	n.recordDecision(effect.DecideJoin, joiner, reason)
}

// mayChangeVoters reports whether a set of voters may be proposed: no earlier
// change is uncommitted, the set differs from the current one in exactly one
// host, and it holds a voter.
func (n *Node) mayChangeVoters(voters []proto.Voter) bool {
	if n.log.votersIndex() > n.commit {
		return false
	}
	return countDifferences(n.log.voters(), voters) == 1 && slices.ContainsFunc(voters, func(v proto.Voter) bool { return !v.Learner })
}

// countDifferences counts the hosts that are added, removed or changed between two
// sets.
func countDifferences(a, b []proto.Voter) int {
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

// changeVoters proposes a set of voters, if that is allowed now.
func (n *Node) changeVoters(voters []proto.Voter, host types.HostID, reason string) {
	if !n.leading() || !n.mayChangeVoters(voters) {
		return
	}
	n.recordDecision(effect.DecideVoters, host, reason)
	n.propose(proto.Command{Voters: &proto.SetVoters{Voters: voters}})
}

// votersCommitted steps down if this host leads and a committed change removed it
// from the voters. Otherwise a leader makes the next change, so that a replacement takes
// no longer than its commits.
func (n *Node) votersCommitted() {
	if n.role != leader || n.log.votersIndex() > n.applied {
		return
	}
	if !isVoter(n.log.voters(), n.self) {
		n.stepDown("this host was removed from the voters")
		return
	}
	if n.now < n.LeadsUntil() { // otherwise this host may have been suspended, and all seem silent
		n.manageVoters()
	}
}

// manageVoters makes the next change of voters that is needed, if any. A voter that
// can't return is removed before a learner takes its place, since it would count toward
// the quorum of the larger set. One that is merely silent is removed after that, so that
// the number of voters never drops in between.
func (n *Node) manageVoters() {
	if !n.leading() {
		return
	}
	voters := n.log.voters()
	count := countVoters(voters)
	superseded, anySuperseded := findVoter(voters, n.superseded)
	silentVoter, anySilentVoter := findVoter(voters, func(v proto.Voter) bool {
		return !v.Learner && n.unresponsive(v.Host, n.opt.Policy.VoterSilence)
	})
	spare, anySpare := findVoter(voters, func(v proto.Voter) bool { return v.Learner && n.caughtUp(v.Host) })
	silentLearner, anySilentLearner := findVoter(voters, func(v proto.Voter) bool {
		return v.Learner && n.silentFor(v.Host) >= maxLearnerSilence
	})
	switch {
	case anySuperseded:
		n.changeVoters(removeHost(voters, superseded.Host), superseded.Host, "another host has joined at its address "+string(superseded.Address))
	case count > n.opt.Policy.Voters && anySilentVoter:
		n.changeVoters(removeHost(voters, silentVoter.Host), silentVoter.Host, "voter was silent for "+n.opt.Policy.VoterSilence.String())
	case count > n.opt.Policy.Voters:
		n.demoteExcessVoter(voters)
	case anySpare && count < n.opt.Policy.Voters:
		n.changeVoters(withRole(voters, spare.Host, false), spare.Host, "learner caught up")
	case anySpare && anySilentVoter:
		n.changeVoters(withRole(voters, spare.Host, false), spare.Host, "learner replaces silent voter "+string(silentVoter.Host))
	case anySilentLearner:
		n.changeVoters(removeHost(voters, silentLearner.Host), silentLearner.Host, "learner was silent for "+maxLearnerSilence.String())
	}
}

// superseded reports whether a host can't return under its identity: it doesn't respond,
// and another one joined later at its address. A control host whose disk was lost comes
// back that way.
func (n *Node) superseded(v proto.Voter) bool {
	voters := n.log.voters()
	later := voters[slices.Index(voters, v)+1:]
	return v.Address != "" && n.unresponsive(v.Host, ElectionTimeoutMin) &&
		slices.ContainsFunc(later, func(other proto.Voter) bool { return other.Address == v.Address })
}

// demoteExcessVoter makes a learner of one of more voters than desired: of the one that
// is silent for the longest time or, if all respond, of the last one. A new leader first
// finds out who responds.
func (n *Node) demoteExcessVoter(voters []proto.Voter) {
	if n.now.Sub(n.leaderState.electedAt) < ElectionTimeoutMin {
		return
	}
	v := n.voterToDemote(voters)
	n.changeVoters(withRole(voters, v.Host, true), v.Host,
		strconv.Itoa(countVoters(voters))+" voters exceed the desired "+strconv.Itoa(n.opt.Policy.Voters))
}

// unresponsive reports whether a host has been silent for d, and for long enough under
// this leader to have answered it.
func (n *Node) unresponsive(h types.HostID, d time.Duration) bool {
	return n.silentFor(h) >= d && n.now.Sub(n.leaderState.electedAt) >= ElectionTimeoutMin
}

// silentFor returns how long a host has made no progress: it sent no reply, or
// none that shows that it syncs the entries it receives.
func (n *Node) silentFor(h types.HostID) time.Duration {
	if h == n.self {
		return 0
	}
	return n.now.Sub(n.peer(h).lastActive)
}

// caughtUp reports whether a host is responsive and lacks at most maxLearnerLag
// entries.
func (n *Node) caughtUp(h types.HostID) bool {
	p := n.peer(h)
	return n.silentFor(h) < ElectionTimeoutMin && p.match >= n.leaderState.firstIndex && p.match+maxLearnerLag >= n.log.last()
}

// voterToDemote returns the voter that is silent for the longest time or, if all
// respond, the last one in the set that is not this host, the leader.
func (n *Node) voterToDemote(voters []proto.Voter) proto.Voter {
	var chosen proto.Voter
	for _, v := range voters {
		if v.Learner || v.Host == n.self {
			continue
		}
		silence := n.silentFor(v.Host)
		if chosen.Host == "" || silence < ElectionTimeoutMin && n.silentFor(chosen.Host) < ElectionTimeoutMin || silence > n.silentFor(chosen.Host) {
			chosen = v
		}
	}
	return chosen
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

func findVoter(voters []proto.Voter, match func(proto.Voter) bool) (proto.Voter, bool) {
	i := slices.IndexFunc(voters, match)
	if i < 0 {
		return proto.Voter{}, false
	}
	return voters[i], true
}

// removeHost returns a copy of the set without a host.
func removeHost(voters []proto.Voter, h types.HostID) []proto.Voter {
	return slices.DeleteFunc(slices.Clone(voters), func(v proto.Voter) bool { return v.Host == h })
}

// withRole returns a copy of the set in which a host is a learner or a voter.
func withRole(voters []proto.Voter, h types.HostID, learner bool) []proto.Voter {
	next := slices.Clone(voters)
	for i := range next {
		if next[i].Host == h {
			next[i].Learner = learner
		}
	}
	return next
}

// WithoutHost returns the set without a host that an operator removes. It reports
// false if the host is unknown or is the last voter.
func WithoutHost(voters []proto.Voter, h types.HostID) ([]proto.Voter, bool) {
	rest := removeHost(voters, h)
	return rest, len(rest) < len(voters) && countVoters(rest) > 0
}
