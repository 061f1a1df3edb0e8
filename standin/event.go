package standin

import "time"

// connID names a connection of a member.
type connID uint64

// event is one thing that happened to a member.
type event interface{ isEvent() }

type (
	// connOpened reports a connection that finished its startup.
	connOpened struct {
		conn        connID
		replication bool
	}
	// connClosed reports that a connection is gone.
	connClosed struct{ conn connID }
	// statementArrived asks to run a statement.
	statementArrived struct {
		conn connID
		st   statement
		args []value
	}
	// describeArrived asks what a statement takes and returns.
	describeArrived struct {
		conn connID
		st   statement
	}
	// batchEnded reports the end of a Query message or a Sync: a transaction
	// that no BEGIN opened ends here.
	batchEnded struct {
		conn   connID
		failed bool
	}
	// delayElapsed reports the end of a delay.
	delayElapsed struct{ conn connID }
	// streamArrived asks for the log from where two logs agree.
	streamArrived struct {
		conn connID
		st   streamStatement
	}
	// entriesWanted asks for the entries behind an offset.
	entriesWanted struct {
		conn  connID
		after uint64
	}
	// followerConnected reports a connection to the leader.
	followerConnected struct{ epoch uint64 }
	// entriesReceived brings entries of the leader.
	entriesReceived struct {
		epoch    uint64
		truncate *uint64 // the logs agree up to here
		entries  []entry
	}
	// leaveAsked reports that the process was asked to stop.
	leaveAsked struct{}
)

// effect is one thing that has to be done.
type effect interface{ isEffect() }

type (
	// admit lets a connection in, or not.
	admit struct {
		conn connID
		err  *sqlError
	}
	// reply answers a statement or the end of a batch.
	reply struct {
		conn   connID
		result result
		status byte // transaction status of the protocol
	}
	// replyDescription answers describeArrived.
	replyDescription struct {
		conn        connID
		description description
	}
	// delay asks for delayElapsed.
	delay struct {
		conn connID
		time time.Duration
	}
	// sendEntries answers entriesWanted, and begins a stream.
	sendEntries struct {
		conn  connID
		batch streamBatch
		after uint64 // offset up to which entries were sent
		err   *sqlError
	}
	// follow begins to follow a leader, in place of any other.
	follow struct {
		epoch   uint64
		address string
	}
	// askStream asks the leader for what a log lacks.
	askStream struct {
		epoch uint64
		term  uint64
		runs  []run
	}
	// unfollow stops following.
	unfollow struct{}
	// setLag changes the delay of replication.
	setLag struct{ lag time.Duration }
	// left reports that nothing is under way any more on a leaving member.
	left struct{}
)

// streamBatch is a message of a replication stream.
type streamBatch struct {
	Truncate *uint64 `json:"truncate,omitempty"`
	Entries  []entry `json:"entries,omitempty"`
}

func (connOpened) isEvent()        {}
func (connClosed) isEvent()        {}
func (statementArrived) isEvent()  {}
func (describeArrived) isEvent()   {}
func (batchEnded) isEvent()        {}
func (delayElapsed) isEvent()      {}
func (streamArrived) isEvent()     {}
func (entriesWanted) isEvent()     {}
func (followerConnected) isEvent() {}
func (entriesReceived) isEvent()   {}
func (leaveAsked) isEvent()        {}

func (admit) isEffect()            {}
func (reply) isEffect()            {}
func (replyDescription) isEffect() {}
func (delay) isEffect()            {}
func (sendEntries) isEffect()      {}
func (follow) isEffect()           {}
func (askStream) isEffect()        {}
func (unfollow) isEffect()         {}
func (setLag) isEffect()           {}
func (left) isEffect()             {}
