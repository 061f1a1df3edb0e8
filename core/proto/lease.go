package proto

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// LeaseRequest renews a proxy's lease. Proxies send it to the control leader
// periodically.
type LeaseRequest struct {
	Proxy            types.HostID
	AvailabilityZone types.AvailabilityZone
	Seq              uint64
	SentAt           types.Instant // on the proxy's clock; the grant echoes it
	ViewVersion      uint64        // version of the view that the proxy holds
	AppliedVersion   uint64        // version of the view that all shards of the proxy have applied
	Reports          []TargetReport
	Held             []ShareHeld
	Announcements    []Announcement
	SharesSeq        uint64              // Seq of the last grant whose shares the proxy applied
	Quiesced         []types.ServiceName // quiescing services without a write or transaction in progress on the primary
	Draining         bool                // the proxy is shutting down; its lease may be dropped
	Cursor           ViewCursor          // how much of the next view the proxy has received
	QuotaUses        []QuotaUse          // of the organisations whose part changes or has to change
	QuotasFull       bool                // QuotaUses has every organisation of which the proxy holds rights
	Process          uint64              // identifies the proxy's process
	Uptime           time.Duration       // of that process, up to a minute
}

// QuotaUse is a proxy's part of an organisation's limit, and what its callers ask for.
// The unit is a right: one operation that may begin in any period of the limit.
type QuotaUse struct {
	Organisation types.OrganisationName
	Part         int // the most rights that a shard of the proxy may still act on
	Used         int // rights of operations that began within the period
	Waiting      int // operations that lack a right
}

// QuotaGrant is the part of an organisation's limit that the proxy has from now on.
type QuotaGrant struct {
	Organisation types.OrganisationName
	Rights       int
	Spent        bool // the proxy lacks rights, and there are none left
}

// TargetReport is the state of one target according to a proxy's probes.
type TargetReport struct {
	Ref              types.TargetRef
	Status           types.TargetStatus
	Failing          bool
	FailingFor       time.Duration // time since the first of the current run of failed probes
	SinceLastContact time.Duration // time since the target's last answer
}

// ShareHeld is the largest share of a target that a proxy may still use, and its
// demand. Of a managed target it is what the proxy holds, and is left out while that
// is no more than the proxy keeps open anyway.
type ShareHeld struct {
	Ref    types.TargetRef
	Share  types.Share
	Demand int  // connections that the proxy could use now
	Full   bool // the target recently rejected a connection because of its limit
}

// LeaseGrant answers a LeaseRequest.
type LeaseGrant struct {
	Proxy     types.HostID
	Seq       uint64
	SentAt    types.Instant // from the request
	Duration  time.Duration // counted from SentAt on the proxy's clock
	Term      ControlTerm
	NotLeader bool
	Leader    types.HostID        // the leader to ask instead, if known
	View      *ViewUpdate         // set if the proxy's view is outdated
	Shares    []ShareGrant        // of managed targets, only of those without free connections
	Hosts     []types.Address     // addresses of the control hosts
	Fleet     types.Fleet         // place of the proxy among those with a lease
	Suspects  []types.ServiceName // managed services whose primary fails for some proxy
	Quotas    []QuotaGrant        // parts of limits that change
	// NameQuotas says that the control host doesn't know what the proxy holds: its next
	// request has to be QuotasFull.
	NameQuotas bool
}

// ViewUpdate updates a proxy's view to Version, or is a part of such an update.
// With Base zero it holds the whole view; otherwise it holds the items that
// changed since Base.
type ViewUpdate struct {
	Base          uint64
	Version       uint64
	Config        *types.Config // the changed items of the configuration; nil if there are none
	Groups        []*types.Group
	RemovedGroups []types.ServiceName // services whose group was removed
	Removed       []ViewItem          // items that were removed from the configuration

	After   ViewCursor // where this part begins; zero for the first part
	Through ViewCursor // where it ends
	More    bool       // more parts follow
}

// ItemKind is the kind of a ViewItem.
type ItemKind uint8

// The kinds of items in a view.
const (
	ItemGroup ItemKind = iota + 1
	ItemService
	ItemProfile
	ItemRoute
	ItemOrganisation
)

// ViewItem identifies an item, the smallest unit in which a view changes.
type ViewItem struct {
	Kind ItemKind
	Name string
}

// ItemVersion is an item with the version of the view at which it changed last.
type ItemVersion struct {
	Item    ViewItem
	Version uint64
}

// ViewCursor is the progress of a proxy that receives a view in parts. The parts
// are in the order in which items changed last, so that a proxy can continue
// with any control host that knows the same versions of items.
type ViewCursor struct {
	Since        uint64 // changes after this version are known
	Base         uint64 // version of the view that the parts build on
	FirstVersion uint64 // version of the state at the first part
	LastVersion  uint64 // version of the state at the last part
	Last         ItemVersion
}

// ShareGrant is the share of a target that the proxy may use from now on.
type ShareGrant struct {
	Ref   types.TargetRef
	Share types.Share
}

// Announcement is the state that a target reports for itself periodically.
type Announcement struct {
	Service          types.ServiceName
	Name             types.TargetName
	Address          types.Address
	AvailabilityZone types.AvailabilityZone
	Leaving          bool
	Terminated       bool          // the target has finished its requests
	Slots            int           // statements that it runs concurrently; zero if not stated
	StartedAt        int64         // start of the target's process on its own clock; a later one supersedes earlier ones
	Seq              uint64        // increases with each announcement of one process
	Age              time.Duration // time since a process of the system received it
}
