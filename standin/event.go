package standin

import "time"

// connID identifies a connection to a member.
type connID uint64

// event is an input of the reducer.
type event interface{ isEvent() }

type (
	// connOpened reports a connection whose startup message was received.
	connOpened struct {
		conn        connID
		replication bool
	}
	// connClosed reports that a connection was closed.
	connClosed struct{ conn connID }
	// statementReceived requests the execution of a statement.
	statementReceived struct {
		conn connID
		st   statement
		args []value
	}
	// describeReceived requests the parameter and column types of a statement.
	describeReceived struct {
		conn connID
		st   statement
	}
	// batchEnded reports the end of a Query message or a Sync, which ends an
	// implicit transaction (one that was not opened by BEGIN).
	batchEnded struct {
		conn   connID
		failed bool
	}
	// delayElapsed reports that the time of a delay effect has elapsed.
	delayElapsed struct{ conn connID }
	// streamRequested is the request of a follower for the log after the last
	// entry that both logs share.
	streamRequested struct {
		conn connID
		st   streamStatement
	}
	// entriesRequested requests the log entries after an offset.
	entriesRequested struct {
		conn  connID
		after uint64
	}
	// leaderConnected reports that the follower connected to the leader.
	leaderConnected struct{ leaderChanges uint64 }
	// entriesReceived carries log entries from the leader.
	entriesReceived struct {
		leaderChanges uint64
		truncate      *uint64 // if set, drop the entries after this offset
		entries       []entry
	}
	// leaveRequested reports that the process was told to stop.
	leaveRequested struct{}
)

// effect is an output of the reducer that the loop executes.
type effect interface{ isEffect() }

type (
	// admit accepts a connection, or rejects it if err is set.
	admit struct {
		conn connID
		err  *sqlError
	}
	// reply is the answer to statementReceived or batchEnded.
	reply struct {
		conn   connID
		result result
		status byte // transaction status, as in ReadyForQuery
	}
	// replyDescription is the answer to describeReceived.
	replyDescription struct {
		conn        connID
		description description
	}
	// delay requests a delayElapsed event after a duration.
	delay struct {
		conn     connID
		duration time.Duration
	}
	// sendEntries is the answer to streamRequested and entriesRequested.
	sendEntries struct {
		conn  connID
		batch streamBatch
		after uint64 // offset of the last entry that the follower has
		err   *sqlError
	}
	// startFollower starts replication from a leader and stops replication
	// from the previous one.
	startFollower struct {
		leaderChanges uint64
		address       string
	}
	// requestStream requests from the leader the entries that are missing in
	// the member's log.
	requestStream struct {
		leaderChanges uint64
		term          uint64
		termEnds      []termEnd
	}
	// stopFollower stops replication from the leader.
	stopFollower struct{}
	// setLag changes the replication delay.
	setLag struct{ lag time.Duration }
	// leaveCompleted reports that a leaving member is not the primary and has no
	// work in progress.
	leaveCompleted struct{}
)

// streamBatch is one message of a replication stream.
type streamBatch struct {
	Truncate *uint64 `json:"truncate,omitempty"`
	Entries  []entry `json:"entries,omitempty"`
}

func (connOpened) isEvent()        {}
func (connClosed) isEvent()        {}
func (statementReceived) isEvent() {}
func (describeReceived) isEvent()  {}
func (batchEnded) isEvent()        {}
func (delayElapsed) isEvent()      {}
func (streamRequested) isEvent()   {}
func (entriesRequested) isEvent()  {}
func (leaderConnected) isEvent()   {}
func (entriesReceived) isEvent()   {}
func (leaveRequested) isEvent()    {}

func (admit) isEffect()            {}
func (reply) isEffect()            {}
func (replyDescription) isEffect() {}
func (delay) isEffect()            {}
func (sendEntries) isEffect()      {}
func (startFollower) isEffect()    {}
func (requestStream) isEffect()    {}
func (stopFollower) isEffect()     {}
func (setLag) isEffect()           {}
func (leaveCompleted) isEffect()   {}
