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
