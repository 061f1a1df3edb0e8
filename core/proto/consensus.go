// Package proto holds the messages between the system's processes and the
// records of the control log, as plain values. The transport and the storage
// encode them.
package proto

import "github.com/camphorpaddle/camphorpaddle/core/types"

// ControlTerm numbers the reigns of leaders among the control hosts.
type ControlTerm uint64

// Voter is a control host that takes part in elections, or a learner that
// only receives the log.
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

// HardState is what a control host must have synced before it answers.
type HardState struct {
	Term   ControlTerm
	Vote   types.HostID
	Commit uint64
}

// Snapshot replaces the control log up to Index.
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
	MsgJoin     // an unknown host asks to become a learner
)

// Message is one consensus message.
type Message struct {
	Kind     MessageKind
	From     types.HostID
	To       types.HostID
	Term     ControlTerm
	LogIndex uint64      // entry before Entries, or the candidate's last
	LogTerm  ControlTerm // its term
	Entries  []Entry
	Commit   uint64
	Match    uint64 // last entry that the sender holds and synced
	Reject   bool
	Hint     uint64 // where the leader should try next after Reject
	Round    uint64 // echoed in the reply, for the leader's quorum check
	Snapshot *Snapshot
	Joiner   *Voter
}
