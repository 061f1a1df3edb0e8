// Package consensus implements Raft for the control hosts: leader election
// with pre-vote and check-quorum, log replication, snapshots, and membership
// changes of one host at a time. It is a pure state machine: the host passes
// events to Node.Step and executes the returned effects.
package consensus

import (
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Protocol timeouts. All hosts must use the same values: the leader lease
// depends on how long the other hosts refuse to vote.
const (
	HeartbeatInterval  = 100 * time.Millisecond
	ElectionTimeoutMin = 500 * time.Millisecond
	ElectionTimeoutMax = 1000 * time.Millisecond

	// leaseDuration is the length of the leader lease: how long the
	// acknowledgement of a quorum prevents the election of another host. It is a
	// tenth shorter than the shortest election timeout to allow for clock drift.
	// The leases that the leader grants to proxies are those of package lease.
	leaseDuration = ElectionTimeoutMin * 9 / 10
)

// Options configures a Node.
type Options struct {
	Self  proto.Voter
	Saved PersistentState
	// State returns the replicated state as of the last committed entry. It is
	// called to take a snapshot.
	State func() proto.ClusterState
	// SnapshotEvery is the number of applied entries between two snapshots;
	// zero means DefaultSnapshotEvery.
	SnapshotEvery uint64
	Policy        Policy // the zero value means DefaultPolicy
}

// role is the Raft role of a host in its current term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Node is the Raft state machine of one control host.
type Node struct {
	opt  Options
	self types.HostID

	term   proto.ControlTerm
	vote   types.HostID
	role   role
	leader types.HostID // leader of the current term; empty if unknown

	log      raftLog
	snapshot *proto.Snapshot
	commit   uint64
	applied  uint64

	appliedBytes int // estimated size of the entries applied since the last snapshot

	now  types.Instant
	seed uint64
	out  []effect.Effect

	disk disk

	lastContact      types.Instant // last message from a leader, start of this host, or its own step-down
	electionDeadline types.Instant
	votes            map[types.HostID]bool

	silentSince map[types.HostID]types.Instant // voters that made no progress for the last leader, and that leader

	leaderState   leaderState
	reportedRole  effect.ChangeRole
	reportedHosts []types.Address // last addresses emitted in effect.UpdateControlHosts
	lastJoin      joinRecord
}

// New returns a node that starts from the saved state. If that state holds no
// voters, the node asks the other control hosts to add it as a learner.
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
		n.term, n.vote = last, "" // the snapshot was saved without its hard state
	}
	n.applied = n.log.base
	n.commit = max(n.log.base, min(o.Saved.HardState.Commit, n.log.last()))
	n.disk = disk{term: n.term, syncedTerm: n.term, vote: n.vote, synced: n.log.last()}
	return n
}

// Voters returns the current control hosts, including learners.
func (n *Node) Voters() []proto.Voter { return n.log.voters() }

// Leader returns the leader of the current term, or "" if it is unknown.
func (n *Node) Leader() types.HostID { return n.leader }

// Term returns the current term.
func (n *Node) Term() proto.ControlTerm { return n.term }

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// LeadsUntil returns the end of this host's leader lease: no other host can be
// elected before it. It returns zero if this host is not the leader.
func (n *Node) LeadsUntil() types.Instant {
	if !n.leading() {
		return 0
	}
	return n.leaderState.quorumSentAt.Add(leaseDuration)
}

// Step handles one event and returns the effects to execute, in order.
func (n *Node) Step(in event.Input) []effect.Effect {
	n.now, n.seed, n.out = in.Now, in.Seed, nil
	if isExternal(in.Event) {
		n.takeSnapshot()
	}
	switch e := in.Event.(type) {
	case event.Start:
		n.start()
	case event.TimerFired:
		if e.ID.Domain != event.DomainConsensus {
			return nil
		}
		n.handleTimer(e.ID.Key)
	case event.PeerMessage:
		n.handleMessage(e.Message)
	case event.Persisted:
		n.handlePersisted(e.Seq)
	case event.Proposed:
		n.propose(e.Command)
	default:
		return nil
	}
	n.applyCommitted()
	n.flush()
	n.reportRole()
	n.reportHosts()
	return n.out
}

// isExternal reports whether an event came from outside the reducer. By the
// time one arrives, the other parts have applied every earlier commit, so
// Options.State matches the applied index.
func isExternal(ev event.Event) bool {
	switch ev.(type) {
	case event.TimerFired, event.PeerMessage, event.Persisted:
		return true
	}
	return false
}

// start restores the saved snapshot and arms the timers.
func (n *Node) start() {
	n.lastContact = n.now
	if n.snapshot != nil {
		n.emit(effect.Restore{Snapshot: *n.snapshot})
	}
	n.resetElectionTimer()
	n.armTimer(timerJoin, joinInterval)
}

// Keys of the timers of a node.
const (
	timerElection uint64 = iota + 1
	timerHeartbeat
	timerJoin
)

func (n *Node) handleTimer(key uint64) {
	switch key {
	case timerElection:
		n.handleElectionTimeout()
	case timerHeartbeat:
		n.handleHeartbeatTimer()
	case timerJoin:
		n.handleJoinTimer()
	}
}

// handleMessage dispatches a message from another host.
func (n *Node) handleMessage(m proto.Message) {
	if m.To != n.self && m.Kind != proto.MsgJoin {
		return // addressed to a former identity of this host
	}
	switch m.Kind {
	case proto.MsgPreVote, proto.MsgVote:
		n.handleVote(m)
	case proto.MsgPreVoteReply, proto.MsgVoteReply:
		n.handleVoteReply(m)
	case proto.MsgAppend, proto.MsgSnapshot:
		n.handleLeaderMessage(m)
	case proto.MsgAppendReply:
		n.handleAppendReply(m)
	case proto.MsgJoin:
		n.handleJoin(m)
	}
}

// applyCommitted emits the committed entries that are not applied yet, in order.
func (n *Node) applyCommitted() {
	for n.applied < n.commit {
		n.applied++
		e := n.log.entry(n.applied)
		n.appliedBytes += estimateEntryBytes(e)
		n.emit(effect.Commit{Entry: e})
		if e.Command.Voters != nil {
			n.votersCommitted()
		}
	}
}

// leading reports whether this host is the leader and has applied the first
// entry of its term.
func (n *Node) leading() bool { return n.role == leader && n.applied >= n.leaderState.firstIndex }

// reportRole notifies the other parts of a change of leadership.
func (n *Node) reportRole() {
	r := effect.ChangeRole{Leading: n.leading(), Leader: n.leader, Term: n.term}
	if r != n.reportedRole {
		n.reportedRole = r
		n.emit(r)
	}
}

// reportHosts publishes the addresses of the control hosts when they change, so
// that this host can reach members that it didn't add itself.
func (n *Node) reportHosts() {
	hosts := proto.Addresses(n.log.voters())
	if len(hosts) == 0 || slices.Equal(hosts, n.reportedHosts) {
		return
	}
	n.reportedHosts = hosts
	n.emit(effect.UpdateControlHosts{Addresses: hosts})
}

func (n *Node) emit(e effect.Effect) { n.out = append(n.out, e) }

func (n *Node) armTimer(key uint64, d time.Duration) {
	n.emit(effect.ArmTimer{ID: event.TimerID{Domain: event.DomainConsensus, Key: key}, At: n.now.Add(d)})
}

func (n *Node) stopTimer(key uint64) {
	n.emit(effect.StopTimer{ID: event.TimerID{Domain: event.DomainConsensus, Key: key}})
}

func (n *Node) recordDecision(kind effect.Decision, host types.HostID, reason string) {
	n.emit(effect.Decide{Kind: kind, Host: host, Term: types.Term(n.term), Version: n.commit, Reason: reason})
}
