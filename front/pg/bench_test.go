package pg

import (
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkFront runs a read through the front end, the fake reducer, the
// dialer and a stand-in target, all in one process.
func BenchmarkFront(b *testing.B) {
	p := startHarness(b, Config{}, nil)
	setUpPrimary(b, p)
	conn := connect(b, p, "")
	b.ReportAllocs()
	for b.Loop() {
		var n int
		row := conn.QueryRow(b.Context(), "SELECT count(*) FROM stock WHERE id = $1", 1)
		assert.NilError(b, row.Scan(&n))
	}
}
