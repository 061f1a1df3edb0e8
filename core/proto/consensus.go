// Package proto defines the messages between the processes of the system and the
// records of the control log as plain values. The wire and storage packages
// encode them.
package proto

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// ControlTerm numbers the election terms of the control hosts.
type ControlTerm uint64

// Voter is a control host that votes in elections, or a learner that only
// receives the log.
type Voter struct {
	Host             types.HostID
	Address          types.Address
	AvailabilityZone types.AvailabilityZone
	Learner          bool
}

// Addresses returns the addresses of control hosts.
func Addresses(voters []Voter) []types.Address {
	out := make([]types.Address, len(voters))
	for i, v := range voters {
		out[i] = v.Address
	}
	return out
}

// Entry is one record of the control log.
type Entry struct {
	Index   uint64
	Term    ControlTerm
	Command Command
}

// HardState is the consensus state that a control host must sync before it
// answers a message.
type HardState struct {
	Term   ControlTerm
	Vote   types.HostID
	Commit uint64
}

// Snapshot is the replicated state that replaces the control log up to Index.
type Snapshot struct {
	Index  uint64
	Term   ControlTerm
	Voters []Voter
	State  ClusterState
}

// MessageKind is the kind of a consensus message.
type MessageKind uint8

// The consensus messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend // an empty one is a heartbeat
	MsgAppendReply
	MsgSnapshot // answered by MsgAppendReply
	MsgJoin     // a host that is not a member asks to become a learner
)

// Message is one consensus message.
type Message struct {
	Kind     MessageKind
	From     types.HostID
	To       types.HostID
	Term     ControlTerm
	LogIndex uint64      // index of the entry before Entries, or of the candidate's last entry
	LogTerm  ControlTerm // term of the entry at LogIndex
	Entries  []Entry
	Commit   uint64
	Match    uint64 // index of the last matching entry that the sender has synced
	Reject   bool
	Hint     uint64 // index that the leader should try next after Reject
	Round    uint64 // echoed in the reply, for the leader's quorum check
	Snapshot *Snapshot
	Joiner   *Voter
	Silent   []HostSilence // in appends and vote replies: the voters that made no progress for the last leader
}

// HostSilence says how long a voter has made no progress.
type HostSilence struct {
	Host     types.HostID
	Duration time.Duration
}
