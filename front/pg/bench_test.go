package pg

import (
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkFront runs a read through the front, a reducer that passes it on,
// and the target adapter, within one process.
func BenchmarkFront(b *testing.B) {
	p := startPath(b, Config{}, nil)
	prepare(b, p)
	conn := connect(b, p, "")
	b.ReportAllocs()
	for b.Loop() {
		var n int
		row := conn.QueryRow(b.Context(), "SELECT count(*) FROM stock WHERE id = $1", 1)
		assert.NilError(b, row.Scan(&n))
	}
}
