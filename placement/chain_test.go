package placement

import (
	"bytes"
	"testing"
)

func TestChainSharesOnlyCommonPrefixesUnderOneRoot(t *testing.T) {
	root := Root("a", "m", "v1")
	long := bytes.Repeat([]byte("x"), 35)
	other := append(bytes.Repeat([]byte("x"), 20), bytes.Repeat([]byte("y"), 15)...)
	first, second := Chain(root, long, 10), Chain(root, other, 10)
	if len(first) != 3 || len(second) != 3 {
		t.Fatalf("lengths %d, %d", len(first), len(second))
	}
	if first[0] != second[0] || first[1] != second[1] || first[2] == second[2] {
		t.Fatalf("got %x and %x", first, second)
	}
	for _, foreign := range []uint64{Root("b", "m", "v1"), Root("a", "m", "v2"), Root("am", "", "v1")} {
		if Chain(foreign, long, 10)[0] == first[0] {
			t.Fatal("blocks shared across roots")
		}
	}
}
