package proto

import (
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// LeaseRequest is what a proxy sends to the control leader again and again.
type LeaseRequest struct {
	Proxy            types.HostID
	AvailabilityZone types.AvailabilityZone
	Seq              uint64
	SentAt           types.Instant // clock of the proxy, echoed in the grant
	Have             uint64        // version of the view that the proxy holds
	Seen             uint64        // version that all of its shards act on
	Reports          []TargetReport
	Held             []ShareHeld
	Announcements    []Announcement
	Taken            uint64              // Seq of the last grant whose shares it took
	Quiet            []types.ServiceName // quiescing services without work under way
	Draining         bool                // the proxy stops; its lease may be forgotten
	At               ViewCursor          // how far it has come in taking over the next view
}

// TargetReport is what a proxy's probes say of one target.
type TargetReport struct {
	Ref        types.TargetRef
	Status     types.TargetStatus
	Failing    bool
	FailingFor time.Duration // since the first failure without a success
	HeardAgo   time.Duration // since the last answer
}

// ShareHeld is what a proxy may at most use of a target, and what it wants.
type ShareHeld struct {
	Ref    types.TargetRef
	Share  types.Share
	Wanted int // connections it could use now
}

// LeaseGrant answers a LeaseRequest.
type LeaseGrant struct {
	Proxy     types.HostID
	Seq       uint64
	SentAt    types.Instant // echo
	Duration  time.Duration // counted from SentAt on the proxy's clock
	Term      ControlTerm
	NotLeader bool
	Leader    types.HostID // whom to ask instead, if known
	View      *ViewUpdate  // set when the proxy's view is behind
	Shares    []ShareGrant
	Hosts     []types.Address // control hosts
}

// ViewUpdate brings a proxy's view to Version, or a part of the way there. With
// Base zero it builds on nothing; otherwise it holds what changed since Base.
type ViewUpdate struct {
	Base    uint64
	Version uint64
	Config  *types.Config // what changed of the configuration; nil if nothing did
	Groups  []*types.Group
	Gone    []types.ServiceName // services without a group
	Removed []ViewItem          // what the configuration no longer holds

	After   ViewCursor // where this part begins; the zero value for the first
	Through ViewCursor // where it ends
	More    bool       // parts are left
}

// ItemKind is the kind of a ViewItem.
type ItemKind uint8

// The kinds of items that a view consists of.
const (
	ItemGroup ItemKind = iota + 1
	ItemService
	ItemProfile
	ItemRoute
)

// ViewItem names the smallest unit in which a view changes.
type ViewItem struct {
	Kind ItemKind
	Name string
}

// ItemVersion is the version of the view at which an item changed last.
type ItemVersion struct {
	Item    ViewItem
	Version uint64
}

// ViewCursor is how far a proxy has come in taking over a view in parts. The
// parts follow the order in which items changed last, so that a proxy goes on
// with any control host that knows the same versions of items.
type ViewCursor struct {
	Since  uint64 // index from which on the versions of items are known
	Base   uint64 // version of the view that the parts build on
	Begun  uint64 // version of the state at the first part
	Newest uint64 // version of the state at the last part
	Last   ItemVersion
}

// ShareGrant is the part of a target that the proxy may use from now on.
type ShareGrant struct {
	Ref   types.TargetRef
	Share types.Share
}

// Announcement is what a target says of itself, again and again.
type Announcement struct {
	Service          types.ServiceName
	Name             types.TargetName
	Address          types.Address
	AvailabilityZone types.AvailabilityZone
	Leaving          bool
	Gone             bool          // it has ended its work
	Slots            int           // statements that it runs at a time, if it says so
	Born             int64         // start of its process, on its own clock; later ones count
	Seq              uint64        // grows with each announcement of one process
	Age              time.Duration // since a process of the system heard it
}
