package placement

import (
	"bytes"
	"testing"
)

// TestChainSharesOnlyCommonPrefixesWithinARoot guards against cached blocks being
// taken for those of a prompt with other preceding text, or of another customer,
// model or weights version. ChainRoot must also keep apart names that are equal only
// when concatenated.
func TestChainSharesOnlyCommonPrefixesWithinARoot(t *testing.T) {
	root := ChainRoot("a", "m", "v1")
	prompt := bytes.Repeat([]byte("x"), 35)
	diverging := append(bytes.Repeat([]byte("x"), 20), bytes.Repeat([]byte("y"), 15)...)
	first, second := BlockHashes(root, prompt, 10), BlockHashes(root, diverging, 10)
	if len(first) != 3 || len(second) != 3 {
		t.Fatalf("chains have %d and %d hashes, want 3 each", len(first), len(second))
	}
	if first[0] != second[0] || first[1] != second[1] || first[2] == second[2] {
		t.Fatalf("got chains %x and %x, want only the first two hashes equal", first, second)
	}
	for _, otherRoot := range []uint64{ChainRoot("b", "m", "v1"), ChainRoot("a", "m", "v2"), ChainRoot("am", "", "v1")} {
		if BlockHashes(otherRoot, prompt, 10)[0] == first[0] {
			t.Fatal("chains with different roots share a hash")
		}
	}
}
