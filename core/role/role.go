// Package role follows whether a control host leads, for the parts that act
// only while it does.
package role

import (
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Role is what a host knows of the control leader.
type Role struct {
	Leading bool
	Leader  types.HostID
	Term    proto.ControlTerm
}

// Change takes in a change of leader. It reports false when the host leads on
// in the same term, so that what it learnt as leader still holds.
func (r *Role) Change(e event.RoleChanged) bool {
	same := r.Leading && e.Leading && r.Term == e.Term
	r.Leading, r.Leader, r.Term = e.Leading, e.Leader, e.Term
	return !same
}
