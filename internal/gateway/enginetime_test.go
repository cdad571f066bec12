package gateway

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// A request must not be sent on the word of old responses while those sent since get none, and
// slow responses must not keep requests away for good.
func TestEngineTimeFollowsPendingRequestsAndFades(t *testing.T) {
	var times engineTimes
	now := bootclock.Instant(time.Minute)
	const priority = 2
	for range 50 {
		timer := times.start(priority, now)
		now = now.Add(100 * time.Millisecond)
		timer.stop(true, now)
	}
	if got := times.estimate(priority, now); got < 95*time.Millisecond || got > 105*time.Millisecond {
		t.Errorf("got %v after responses in 100 ms", got)
	}
	if got := times.estimate(0, now); got != 0 {
		t.Errorf("got %v for a priority without requests, want 0", got)
	}
	stuck := times.start(priority, now)
	now = now.Add(time.Second)
	if got := times.estimate(priority, now); got < time.Second {
		t.Errorf("got %v with a request that has had no response for a second", got)
	}
	stuck.stop(false, now)
	stuck.stop(true, now)
	if got := times.estimate(priority, now); got > 50*time.Millisecond {
		t.Errorf("got %v a second after the last response, want less than half of the observed time", got)
	}
}
