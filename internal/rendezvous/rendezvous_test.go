package rendezvous

import (
	"fmt"
	"testing"
)

func best(key string, names ...string) string {
	contest := New[string](key)
	for _, name := range names {
		contest.Offer(name, name)
	}
	return contest.Best()
}

func TestOnlyKeysOfALostCandidateMove(t *testing.T) {
	if got := best("key"); got != "" {
		t.Errorf("%q won without candidates", got)
	}
	won := make(map[string]int)
	for i := range 300 {
		key := fmt.Sprint("key", i)
		winner := best(key, "a", "b", "c")
		won[winner]++
		if got := best(key, "c", "b", "a"); got != winner {
			t.Errorf("%s: %s wins in another order, not %s", key, got, winner)
		}
		if got := best(key, "a", "b"); winner != "c" && got != winner {
			t.Errorf("%s moved from %s to %s after c was lost", key, winner, got)
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if won[name] < 60 {
			t.Errorf("%s has %d of 300 keys", name, won[name])
		}
	}
}
