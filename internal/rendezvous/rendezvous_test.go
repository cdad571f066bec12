package rendezvous

import (
	"fmt"
	"testing"
)

// bestName returns the name that is selected for key.
func bestName(key string, names ...string) string {
	selector := New[string](key)
	for _, name := range names {
		selector.Add(name, name)
	}
	return selector.Best()
}

// Removing a candidate must move only its keys. The choice must not depend on the order
// of the candidates, and the keys must be spread evenly.
func TestOnlyKeysOfARemovedCandidateMove(t *testing.T) {
	if got := bestName("key"); got != "" {
		t.Errorf("got %q without candidates, want an empty string", got)
	}
	keyCount := make(map[string]int)
	for i := range 300 {
		key := fmt.Sprint("key", i)
		best := bestName(key, "a", "b", "c")
		keyCount[best]++
		if got := bestName(key, "c", "b", "a"); got != best {
			t.Errorf("%s: got %s with the candidates in reverse order, want %s", key, got, best)
		}
		if got := bestName(key, "a", "b"); best != "c" && got != best {
			t.Errorf("%s moved from %s to %s after c was removed", key, best, got)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if keyCount[name] < 60 {
			t.Errorf("%s got %d of the 300 keys, want at least 60", name, keyCount[name])
		}
	}
}

// The first of the top names must be the one that a Selector selects, and the others must keep
// their order when one is removed.
func TestTop(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := fmt.Sprint("key", i)
		top := Top(key, names, 3)
		if len(top) != 3 || top[0] != bestName(key, names...) {
			t.Fatalf("%s: got %v, want three names and %s first", key, top, bestName(key, names...))
		}
		var rest []string
		for _, name := range names {
			if name != top[0] {
				rest = append(rest, name)
			}
		}
		if next := Top(key, rest, 2); next[0] != top[1] || next[1] != top[2] {
			t.Errorf("%s: got %v without %s, want %v", key, next, top[0], top[1:])
		}
	}
	if got := Top("key", names[:2], 3); len(got) != 2 {
		t.Errorf("got %v, want both names", got)
	}
}
