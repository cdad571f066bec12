package app

import (
	"testing"
	"time"
)

// An upstream that vanished in an outage of the store may have left for good. This test
// fails if the gateway uses it until the bound for leaving upstreams, or gives it up
// before a live upstream is listed again.
func TestLapsedUpstreamsAreGivenUpBeforeTheDrainBound(t *testing.T) {
	for _, drain := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Minute} {
		b := Bounds{Drain: drain}
		hold := b.lapsedUpstreamHold()
		if hold < 0 || hold > 0 && hold > drain-200*time.Millisecond {
			t.Errorf("drain %v: lapsed upstream is held for %v, want at least 0 and 200 ms below the bound", drain, hold)
		}
		if hold > 2500*time.Millisecond {
			t.Errorf("drain %v: lapsed upstream is held for %v, although live upstreams are listed again earlier", drain, hold)
		}
	}
	if hold := (&Bounds{Drain: 2 * time.Second}).lapsedUpstreamHold(); hold < time.Second {
		t.Errorf("lapsed upstream is held for %v, want at least 1s", hold)
	}
}
