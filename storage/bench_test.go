package storage

import (
	"fmt"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"gotest.tools/v3/assert"
)

// BenchmarkPersist measures the append of a record and its sync.
func BenchmarkPersist(b *testing.B) {
	for _, size := range []uint64{0, 1, 64} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			dir := b.TempDir()
			_, err := Init(dir, proto.Voter{Host: "c1"})
			assert.NilError(b, err)
			l, err := Open(dir, "c1")
			assert.NilError(b, err)
			defer func() { _ = l.Close() }()
			next := uint64(2)
			for b.Loop() {
				p := persistEntries(2, next, next+size-1)
				assert.NilError(b, l.Persist(p))
				next += size
			}
		})
	}
}
