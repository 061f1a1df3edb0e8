// Package consensus keeps one log of commands on the control hosts: leader
// election with pre-vote and quorum check, replication, snapshots, and change
// of voters one host at a time. It is a pure state machine: the host feeds
// events to Node.Step and carries out the effects.
package consensus

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Times of the protocol. Every host must use the same ones: a leader's lease
// rests on how long the others refuse to vote.
const (
	HeartbeatInterval  = 100 * time.Millisecond
	ElectionTimeoutMin = 500 * time.Millisecond
	ElectionTimeoutMax = 1000 * time.Millisecond

	// leaseDuration is how long a quorum's acknowledgement keeps other hosts
	// from being elected. The tenth that it lacks allows for clock drift.
	leaseDuration = ElectionTimeoutMin * 9 / 10
)

// Options configures a Node.
type Options struct {
	Self  proto.Voter
	Saved Saved
	// State returns the replicated state after the last committed entry, for
	// a snapshot.
	State func() proto.ClusterState
	// SnapshotEvery is how many applied entries lie between two snapshots;
	// zero stands for DefaultSnapshotEvery.
	SnapshotEvery uint64
	Policy        Policy // zero stands for DefaultPolicy
}

// role is what a host does in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Node is the consensus part of a control host.
type Node struct {
	opt  Options
	self types.HostID

	term   proto.ControlTerm
	vote   types.HostID
	role   role
	leader types.HostID // leader of term, if known

	log      raftLog
	snapshot *proto.Snapshot
	commit   uint64
	applied  uint64

	appliedBytes int // of the entries since the last snapshot

	now  types.Instant
	seed uint64
	out  []effect.Effect

	disk disk

	heardAt    types.Instant // last append of a leader, or start, or own step-down
	electionAt types.Instant
	votes      map[types.HostID]bool

	lead     leadership
	reported effect.ChangeRole
	hosts    []types.Address // made known last
	joining  joinRecord
}

// New returns a node that begins with what was saved. Without any voter in
// Saved it asks the other control hosts to take it in as a learner.
func New(o Options) *Node {
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.Policy == (Policy{}) {
		o.Policy = DefaultPolicy()
	}
	n := &Node{opt: o, self: o.Self.Host}
	n.term, n.vote = o.Saved.HardState.Term, o.Saved.HardState.Vote
	n.snapshot = o.Saved.Snapshot
	n.log = newLog(o.Saved.Snapshot, o.Saved.Entries)
	if last := n.log.lastTerm(); last > n.term {
		n.term, n.vote = last, "" // a snapshot was saved without its hard state
	}
	n.applied = n.log.base
	n.commit = max(n.log.base, min(o.Saved.HardState.Commit, n.log.last()))
	n.disk = disk{term: n.term, syncedTerm: n.term, vote: n.vote, synced: n.log.last()}
	return n
}

// Voters returns the control hosts in force, learners among them.
func (n *Node) Voters() []proto.Voter { return n.log.voters() }

// Leader returns the leader of the current term, or nothing.
func (n *Node) Leader() types.HostID { return n.leader }

// Term returns the current term.
func (n *Node) Term() proto.ControlTerm { return n.term }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// LeadsUntil returns the instant until which no other host can have been
// elected, or zero when this host does not lead.
func (n *Node) LeadsUntil() types.Instant {
	if !n.leading() {
		return 0
	}
	return n.lead.quorumAt.Add(leaseDuration)
}

// Step takes in one event.
func (n *Node) Step(in event.Input) []effect.Effect {
	n.now, n.seed, n.out = in.Now, in.Seed, nil
	if outside(in.Event) {
		n.takeSnapshot()
	}
	switch e := in.Event.(type) {
	case event.Start:
		n.start()
	case event.TimerFired:
		if e.ID.Domain != event.DomainConsensus {
			return nil
		}
		n.timerFired(e.ID.Key)
	case event.PeerMessage:
		n.receive(e.Message)
	case event.Persisted:
		n.persisted(e.Seq)
	case event.Proposed:
		n.propose(e.Command)
	default:
		return nil
	}
	n.apply()
	n.flush()
	n.reportRole()
	n.reportHosts()
	return n.out
}

// outside reports whether an event came from outside the reducer. The other
// parts have applied every earlier commit by then.
func outside(ev event.Event) bool {
	switch ev.(type) {
	case event.TimerFired, event.PeerMessage, event.Persisted:
		return true
	}
	return false
}

// start hands on the saved state and arms the timers.
func (n *Node) start() {
	n.heardAt = n.now
	if n.snapshot != nil {
		n.emit(effect.Restore{Snapshot: *n.snapshot})
	}
	n.resetElection()
	n.arm(timerJoin, joinInterval)
}

// The timers of the node.
const (
	timerElection uint64 = iota + 1
	timerHeartbeat
	timerJoin
)

func (n *Node) timerFired(key uint64) {
	switch key {
	case timerElection:
		n.electionDue()
	case timerHeartbeat:
		n.heartbeatDue()
	case timerJoin:
		n.joinDue()
	}
}

// receive takes in a message of another host.
func (n *Node) receive(m proto.Message) {
	if m.To != n.self && m.Kind != proto.MsgJoin {
		return // for an identity that this host had before
	}
	switch m.Kind {
	case proto.MsgPreVote, proto.MsgVote:
		n.handleVote(m)
	case proto.MsgPreVoteReply, proto.MsgVoteReply:
		n.handleVoteReply(m)
	case proto.MsgAppend, proto.MsgSnapshot:
		n.handleLeader(m)
	case proto.MsgAppendReply:
		n.handleAppendReply(m)
	case proto.MsgJoin:
		n.handleJoin(m)
	}
}

// apply hands on the entries that are committed by now, in order.
func (n *Node) apply() {
	for n.applied < n.commit {
		n.applied++
		e := n.log.entry(n.applied)
		n.appliedBytes += entryBytes(e)
		n.emit(effect.Commit{Entry: e})
		if e.Command.Voters != nil {
			n.votersCommitted()
		}
	}
}

// leading reports whether this host leads and its first entry is applied.
func (n *Node) leading() bool { return n.role == leader && n.applied >= n.lead.first }

// reportRole tells the other parts when leadership changed.
func (n *Node) reportRole() {
	r := effect.ChangeRole{Leading: n.leading(), Leader: n.leader, Term: n.term}
	if r != n.reported {
		n.reported = r
		n.emit(r)
	}
}

// reportHosts makes the addresses of the control hosts known when they changed,
// so that this host can reach those that joined without it.
func (n *Node) reportHosts() {
	hosts := proto.Addresses(n.log.voters())
	if len(hosts) == 0 || slices.Equal(hosts, n.hosts) {
		return
	}
	n.hosts = hosts
	n.emit(effect.KnowHosts{Addresses: hosts})
}

func (n *Node) emit(e effect.Effect) { n.out = append(n.out, e) }

func (n *Node) arm(key uint64, d time.Duration) {
	n.emit(effect.ArmTimer{ID: event.TimerID{Domain: event.DomainConsensus, Key: key}, At: n.now.Add(d)})
}

func (n *Node) disarm(key uint64) {
	n.emit(effect.StopTimer{ID: event.TimerID{Domain: event.DomainConsensus, Key: key}})
}

func (n *Node) decide(kind effect.Decision, host types.HostID, reason string) {
	n.emit(effect.Decide{Kind: kind, Host: host, Term: types.Term(n.term), Version: n.commit, Reason: reason})
}
