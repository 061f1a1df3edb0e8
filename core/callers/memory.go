// Package callers decides which callers a proxy closes when they make it hold more memory
// than it has for them: messages that are not complete, requests in progress, answers that
// are not read and the state of sessions.
package callers

// ID identifies the connection of a caller within one process.
type ID uint64

// Event is one of the events of this package.
type Event interface{ isEvent() }

// The events.
type (
	// Held reports what the connection of a caller holds from now on. Busy says that a
	// request is in progress, which must not be cut off.
	Held struct {
		Caller ID
		Bytes  int
		Busy   bool
	}
	// Left reports that the connection of a caller was closed.
	Left struct{ Caller ID }
)

func (Held) isEvent() {}
func (Left) isEvent() {}

// Close is the effect that closes the connection of a caller.
type Close struct{ Caller ID }

// Memory is the memory of one process for its callers.
type Memory struct {
	limit   int // bytes
	held    int
	holders map[ID]holder // that hold something
	closed  map[ID]bool   // that were closed and have not left yet
}

// holder is what one connection holds.
type holder struct {
	bytes int
	busy  bool
}

// NewMemory returns the memory for callers, which is limit bytes.
func NewMemory(limit int) *Memory {
	return &Memory{limit: limit, holders: make(map[ID]holder), closed: make(map[ID]bool)}
}

// Step handles one event and returns the connections to close.
func (m *Memory) Step(e Event) []Close {
	switch e := e.(type) {
	case Held:
		return m.hold(e)
	case Left:
		m.release(e.Caller)
		delete(m.closed, e.Caller)
	}
	return nil
}

// hold closes the connections that hold most and have no request in progress, as long as
// there is not enough memory. One that was closed before is closed again.
func (m *Memory) hold(e Held) []Close {
	if m.closed[e.Caller] {
		return []Close{{Caller: e.Caller}}
	}
	var out []Close
	growth := e.Bytes - m.holders[e.Caller].bytes
	for growth > 0 && m.held+growth > m.limit {
		largest := m.largest(e)
		m.release(largest)
		m.closed[largest] = true
		out = append(out, Close{Caller: largest})
		if largest == e.Caller {
			return out
		}
	}
	m.held += growth
	if e.Bytes > 0 {
		m.holders[e.Caller] = holder{bytes: e.Bytes, busy: e.Busy}
	} else {
		delete(m.holders, e.Caller)
	}
	return out
}

// largest returns the connection that may be closed and holds most, given what one of them
// would hold.
func (m *Memory) largest(e Held) ID {
	id, bytes := e.Caller, e.Bytes
	for other, h := range m.holders {
		switch {
		case other == e.Caller || h.busy || h.bytes < bytes:
		case h.bytes > bytes, id != e.Caller && other < id:
			id, bytes = other, h.bytes
		}
	}
	return id
}

// release takes what a connection holds out of the memory.
func (m *Memory) release(id ID) {
	m.held -= m.holders[id].bytes
	delete(m.holders, id)
}
