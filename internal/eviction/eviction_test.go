package eviction

import (
	"slices"
	"testing"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

func TestOldestEntriesBeyondTheLimit(t *testing.T) {
	m := make(map[int]bootclock.Instant)
	for i := range 32 {
		m[i] = bootclock.Instant(i)
	}
	at := func(instant bootclock.Instant) bootclock.Instant { return instant }
	if got := Oldest(m, 32, at); len(got) > 0 {
		t.Errorf("%v are dropped from a map within its limit", got)
	}
	m[32] = 32
	if got := Oldest(m, 32, at); !slices.Equal(got, []int{0, 1, 2}) {
		t.Errorf("%v are dropped, want the oldest three", got)
	}
}
