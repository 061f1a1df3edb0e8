package lease

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Holder keeps a proxy's lease alive and its cluster view up to date. The
// node part of a proxy steps it.
type Holder struct{}

// NewHolder returns a holder without a lease. fill completes a request with
// what the proxy has to report.
func NewHolder(self types.HostID, zone types.AvailabilityZone, fill func(*proto.LeaseRequest)) *Holder {
	return &Holder{}
}

// Until returns the end of the lease, zero before the first.
func (h *Holder) Until() types.Instant { return 0 }

// Cluster returns the last cluster view, or nil.
func (h *Holder) Cluster() *types.ClusterView { return nil }

// Shares returns this proxy's part of each target.
func (h *Holder) Shares() map[types.TargetRef]types.Share { return nil }

// Hurry sends a request at once instead of at the next interval.
func (h *Holder) Hurry(now types.Instant) []effect.Effect { return nil }

// Step takes in one event.
func (h *Holder) Step(event.Input) []effect.Effect { return nil }
