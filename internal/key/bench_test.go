package key

import "testing"

func BenchmarkDigest(b *testing.B) {
	for b.Loop() {
		Digest("a-key-of-an-organisation")
	}
}
