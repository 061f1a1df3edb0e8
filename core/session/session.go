package session

import (
	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/event"
	"github.com/camphorpaddle/camphorpaddle/core/pool"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// session holds the state of one caller's session.
type session struct {
	id       types.SessionID
	service  types.ServiceName
	key      types.KeyDigest             // that the caller presented; zero without one
	database types.DatabaseName          // set if the configuration routes the session by database name
	openedAt types.Instant               // a floor determined later covers every write acknowledged before this
	floor    floor                       // in the log of service
	floors   map[types.ServiceName]floor // of the other services that the session has used
	request  *request                    // in progress, or nil
	timerAt  types.Instant

	// Set while a transaction is open.
	conn         *pool.Conn
	onReplica    bool
	profile      types.Profile          // of the transaction's last request
	organisation types.OrganisationName // that the transaction belongs to; empty without one
	lastAnswerAt types.Instant          // to the transaction's last request

	// Whether the session counts in the shard's reports as busy and as writing.
	busy    bool
	writing bool
}

// inTransaction reports whether a connection is bound to the session.
func (c *session) inTransaction() bool { return c.conn != nil }

// floor holds the log positions that a target must have reached before it may
// serve a session's reads.
type floor struct {
	known   bool
	written types.LogPos // own writes, and what was acknowledged before the session opened
	seen    types.LogPos // what the session wrote or may have read
	lost    types.LogPos // a seen position that a promotion lost, until a refusal reports it
}

// newFloor returns a floor at a position that the session has written or read.
func newFloor(pos types.LogPos) floor {
	var f floor
	f.initialize(pos)
	return f
}

// initialize sets the first floor of the session.
func (f *floor) initialize(pos types.LogPos) {
	f.known = true
	f.raiseWritten(pos)
}

func (f *floor) raiseWritten(pos types.LogPos) {
	if pos.Compare(f.written) > 0 {
		f.written = pos
	}
	f.raiseSeen(pos)
}

func (f *floor) raiseSeen(pos types.LogPos) {
	if pos.Compare(f.seen) > 0 {
		f.seen = pos
	}
}

// required returns the position that a read of the profile must cover: a read
// bounded by age must cover only the session's writes.
func (f *floor) required(p types.Profile) types.LogPos {
	if p.Freshness == types.FreshAge {
		return f.written
	}
	return f.seen
}

// openSession adds a session, or refuses it if the proxy is stopping.
func (s *Shard) openSession(e event.SessionOpened) {
	if s.draining {
		s.emit(effect.EndSession{Session: e.Session, Refusal: refusal(types.RefuseDraining, types.NotRun, "the proxy is stopping")})
		return
	}
	c := &session{id: e.Session, service: e.Params.Service, key: e.Params.Key, database: e.Params.Database, openedAt: s.now}
	if e.Params.Token != nil {
		c.floor.initialize(*e.Params.Token)
	}
	for name, pos := range e.Params.Floors {
		c.keepFloor(name, newFloor(pos))
	}
	s.sessions[e.Session] = c
}

// useService makes the session use the service that its route leads to now. The floors
// of the other services are kept, as the route may lead back.
func (c *session) useService(name types.ServiceName) {
	if c.service != "" {
		c.keepFloor(c.service, c.floor)
		c.floor = floor{}
	}
	c.service = name
	if f, ok := c.floors[name]; ok {
		c.floor = f
	}
}

func (c *session) keepFloor(name types.ServiceName, f floor) {
	if c.floors == nil {
		c.floors = make(map[types.ServiceName]floor)
	}
	c.floors[name] = f
}

// closeSession removes a session whose caller has disconnected. Closing its
// connection ends whatever the target still runs for it.
func (s *Shard) closeSession(id types.SessionID) {
	c, ok := s.sessions[id]
	if !ok {
		return
	}
	if r := c.request; r != nil {
		s.abandon(r)
	}
	if c.conn != nil {
		s.dropConn(c.conn)
	}
	s.removeSession(c)
}

// endSession ends a session from the proxy's side and tells the caller why.
func (s *Shard) endSession(c *session, r types.Refusal) {
	if c.conn != nil {
		s.dropConn(c.conn)
		c.conn = nil
	}
	s.emit(effect.EndSession{Session: c.id, Refusal: r})
	s.removeSession(c)
}

// removeSession removes a session from the shard and its counts.
func (s *Shard) removeSession(c *session) {
	s.removeFromCounts(c)
	s.emit(effect.StopTimer{ID: sessionTimer(c.id)})
	delete(s.sessions, c.id)
}

// ensureFloor reports whether the session has a floor, from its token or from
// positions requested after it opened. A managed service needs none, as its
// targets check floors themselves.
func (s *Shard) ensureFloor(c *session, deadline types.Instant) bool {
	if c.floor.known || s.managed(c.service) {
		return true
	}
	pos, ok := s.initialFloor(c, deadline)
	if ok {
		c.floor.initialize(pos)
	}
	return ok
}

// lostPosition returns the position that the request must cover but that a
// promotion has lost, if there is one.
func (s *Shard) lostPosition(r *request) (types.LogPos, bool) {
	g, f := s.view.Group(r.service.name), r.session.floor
	if f.lost != (types.LogPos{}) && r.profile.Freshness != types.FreshAge {
		return f.lost, true
	}
	pos := f.required(r.profile)
	if !f.known || !hasPrimary(g) || g.History.Survives(pos, g.TargetTerm()) {
		return types.LogPos{}, false
	}
	return pos, true
}

// hasPrimary reports whether the group's primary may acknowledge writes.
func hasPrimary(g *types.Group) bool {
	return g != nil && g.Primary != "" &&
		(g.Phase == types.GroupServing || g.Phase == types.GroupQuiescing)
}
