// Package role tracks whether a control host is the leader, for the parts of the
// reducer that act only on the leader.
package role

import (
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Role is what a control host knows of the leadership.
type Role struct {
	Leading bool
	Leader  types.HostID
	Term    proto.ControlTerm
}

// Update applies a change of role. It reports false if the host remains the leader of
// the same term, so that the state it has built up as leader remains valid.
func (r *Role) Update(e event.RoleChanged) bool {
	same := r.Leading && e.Leading && r.Term == e.Term
	r.Leading, r.Leader, r.Term = e.Leading, e.Leader, e.Term
	return !same
}
