package rendezvous

import (
	"fmt"
	"testing"
)

// firstRanked returns the name that is selected for key.
func firstRanked(key string, names ...string) string {
	selector := New[string](key)
	for _, name := range names {
		selector.Offer(name, name)
	}
	return selector.Best()
}

// Guards against keys that move although their candidate is still there, a choice that
// depends on the order of the candidates, and an uneven spread of the keys.
func TestOnlyKeysOfARemovedCandidateMove(t *testing.T) {
	if got := firstRanked("key"); got != "" {
		t.Errorf("got %q without candidates, want an empty string", got)
	}
	keyCount := make(map[string]int)
	for i := range 300 {
		key := fmt.Sprint("key", i)
		first := firstRanked(key, "a", "b", "c")
		keyCount[first]++
		if got := firstRanked(key, "c", "b", "a"); got != first {
			t.Errorf("%s: got %s with the candidates in reverse order, want %s", key, got, first)
		}
		if got := firstRanked(key, "a", "b"); first != "c" && got != first {
			t.Errorf("%s moved from %s to %s after c was removed", key, first, got)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if keyCount[name] < 60 {
			t.Errorf("%s got %d of the 300 keys, want at least 60", name, keyCount[name])
		}
	}
}
