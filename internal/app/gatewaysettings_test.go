package app

import (
	"testing"
	"time"
)

// An upstream that vanished in an outage of the store may have left for good. The test
// fails if the retention is neither 0 nor at least 200 ms below the drain bound, exceeds
// 2.5 s (live upstreams are listed again within relistTime), or is under 1 s for the
// default bound.
func TestUnlistedUpstreamsAreGivenUpBeforeTheDrainBound(t *testing.T) {
	for _, drain := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Minute} {
		b := Bounds{Drain: drain}
		retention := b.unlistedRetention()
		if retention < 0 || retention > 0 && retention > drain-200*time.Millisecond {
			t.Errorf("drain %v: unlisted upstream is retained for %v, want 0 or a positive time at least 200 ms below the bound", drain, retention)
		}
		if retention > 2500*time.Millisecond {
			t.Errorf("drain %v: unlisted upstream is retained for %v, although live upstreams are listed again earlier", drain, retention)
		}
	}
	if retention := (&Bounds{Drain: 2 * time.Second}).unlistedRetention(); retention < time.Second {
		t.Errorf("unlisted upstream is retained for %v, want at least 1s", retention)
	}
}
