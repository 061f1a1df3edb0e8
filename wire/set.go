package wire

import (
	"slices"
	"sync"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// connSet holds the open connections, oldest first.
type connSet struct {
	mu    sync.Mutex
	conns []*conn
	picks int // number of calls of next that returned a connection
}

func (s *connSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = slices.DeleteFunc(s.conns, func(o *conn) bool { return o == c })
}

// connTo returns the oldest connection to a host, or nil.
func (s *connSet) connTo(h types.HostID) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oldestLocked(h)
}

// oldestLocked is connTo for callers that hold mu.
func (s *connSet) oldestLocked(h types.HostID) *conn {
	for _, c := range s.conns {
		if c.peer.Host == h {
			return c
		}
	}
	return nil
}

// next returns the connections in round-robin order, or nil if there is none.
func (s *connSet) next() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 {
		return nil
	}
	s.picks++
	return s.conns[s.picks%len(s.conns)]
}

// eachHost calls do once for each connected host, with its oldest connection.
func (s *connSet) eachHost(do func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if s.oldestLocked(c.peer.Host) == c {
			do(c)
		}
	}
}
