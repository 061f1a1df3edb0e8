package lab

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLabsSideBySideGetDifferentPorts reserves ports for several labs at once, none of
// which listens on its ports yet.
func TestLabsSideBySideGetDifferentPorts(t *testing.T) {
	const labs, each = 8, 40
	var mu sync.Mutex
	seen := make(map[string]bool)
	var all sync.WaitGroup
	for range labs {
		p := &ports{}
		t.Cleanup(p.release)
		all.Go(func() {
			for range each {
				address, err := p.next()
				mu.Lock()
				assert.Check(t, err)
				assert.Check(t, !seen[address], "%s was reserved twice", address)
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	all.Wait()
	assert.Equal(t, len(seen), labs*each)
}

// TestReservedPortIsNotTaken opens listeners without a port of their own while a port is
// reserved, as relays and stand-ins of other labs do.
func TestReservedPortIsNotTaken(t *testing.T) {
	p := &ports{}
	defer p.release()
	reserved, err := p.next()
	assert.NilError(t, err)
	for range 200 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer lis.Close()
		assert.Assert(t, lis.Addr().String() != reserved)
	}
	lis, err := net.Listen("tcp", reserved)
	assert.NilError(t, err)
	assert.NilError(t, lis.Close())
}
