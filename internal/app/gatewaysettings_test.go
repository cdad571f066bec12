package app

import (
	"testing"
	"time"
)

// An upstream that vanished in an outage may have left: it is never used up to
// the bound for leaving upstreams.
func TestLapsedUpstreamsAreGivenUpBeforeTheDrainBound(t *testing.T) {
	for _, drain := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Minute} {
		b := Bounds{Drain: drain}
		hold := b.lapseHold()
		if hold < 0 || hold > 0 && hold > drain-200*time.Millisecond {
			t.Errorf("drain %v: held for %v", drain, hold)
		}
		if hold > 2500*time.Millisecond {
			t.Errorf("drain %v: held for %v, long after it would have come back", drain, hold)
		}
	}
	if hold := (&Bounds{Drain: 2 * time.Second}).lapseHold(); hold < time.Second {
		t.Errorf("held for %v only", hold)
	}
}
