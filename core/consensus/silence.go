package consensus

import (
	"maps"
	"slices"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// A leader reports which voters are silent to its followers, and these to the next
// candidate, so that a change of leader doesn't start the count of Policy.VoterSilence
// anew.

// silentVoters returns how long each voter that does not respond has been silent.
func (n *Node) silentVoters() []proto.HostSilence {
	var out []proto.HostSilence
	for _, v := range n.log.voters() {
		if d := n.silentFor(v.Host); !v.Learner && d >= ElectionTimeoutMin {
			out = append(out, proto.HostSilence{Host: v.Host, Duration: d})
		}
	}
	return out
}

// recordSilence records the silence of voters that another host reported.
func (n *Node) recordSilence(reported []proto.HostSilence) {
	for _, s := range reported {
		n.recordSilentSince(s.Host, n.now.Add(-s.Duration))
	}
}

// recordLostLeader records that the leader has been silent since its last message.
func (n *Node) recordLostLeader() {
	if n.leader != "" {
		n.recordSilentSince(n.leader, n.lastContact)
	}
}

func (n *Node) recordSilentSince(h types.HostID, since types.Instant) {
	if n.silentSince == nil {
		n.silentSince = make(map[types.HostID]types.Instant)
	}
	if earlier, ok := n.silentSince[h]; !ok || since < earlier {
		n.silentSince[h] = since
	}
}

// reportSilence returns what this host knows of silent voters.
func (n *Node) reportSilence() []proto.HostSilence {
	var out []proto.HostSilence
	for _, h := range slices.Sorted(maps.Keys(n.silentSince)) {
		out = append(out, proto.HostSilence{Host: h, Duration: n.now.Sub(n.silentSince[h])})
	}
	return out
}

// inheritSilence begins this host's leadership with what it knows of silent voters.
func (n *Node) inheritSilence() {
	for h, since := range n.silentSince {
		if h != n.self && isVoter(n.log.voters(), h) {
			n.peer(h).lastActive = since
		}
	}
	n.silentSince = nil
}
