package app

import (
	"testing"
	"time"
)

// An upstream that vanished in an outage of the store may have left for good. The test
// fails if the hold is not at least 200 ms below the drain bound, is clearly longer than
// the time in which live upstreams are listed again, or is under 1 s for the default
// bound.
func TestUnlistedUpstreamsAreGivenUpBeforeTheDrainBound(t *testing.T) {
	for _, drain := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Minute} {
		b := Bounds{Drain: drain}
		hold := b.unlistedHold()
		if hold < 0 || hold > 0 && hold > drain-200*time.Millisecond {
			t.Errorf("drain %v: unlisted upstream is held for %v, want at least 0 and 200 ms below the bound", drain, hold)
		}
		if hold > 2500*time.Millisecond {
			t.Errorf("drain %v: unlisted upstream is held for %v, although live upstreams are listed again earlier", drain, hold)
		}
	}
	if hold := (&Bounds{Drain: 2 * time.Second}).unlistedHold(); hold < time.Second {
		t.Errorf("unlisted upstream is held for %v, want at least 1s", hold)
	}
}
