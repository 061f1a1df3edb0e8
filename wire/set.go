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
	turn  int // of next
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

// to returns the oldest connection to a host, or nil.
func (s *connSet) to(h types.HostID) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(h)
}

func (s *connSet) find(h types.HostID) *conn {
	for _, c := range s.conns {
		if c.peer.Host == h {
			return c
		}
	}
	return nil
}

// next returns the connections in turn, or nil when there is none.
func (s *connSet) next() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 {
		return nil
	}
	s.turn++
	return s.conns[s.turn%len(s.conns)]
}

// each calls do once for each connected host.
func (s *connSet) each(do func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if s.find(c.peer.Host) == c {
			do(c)
		}
	}
}
