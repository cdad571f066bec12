package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/ratelimit"
)

// Any limit must lead to a request for a permit that its owner accepts, and even a limit of 0
// to a request now and then, without which its end would not be noticed.
func TestLimitRequests(t *testing.T) {
	for perSecond, want := range map[float64]time.Duration{
		3.125: 320 * time.Millisecond, 0: 5 * time.Second, 1e-300: 5 * time.Second, 1e300: time.Microsecond, math.Inf(1): time.Microsecond,
	} {
		request := limitRequest(ratelimit.Incarnation{Upstream: "a"}, perSecond)
		if request.Interval != want {
			t.Errorf("limit %v: one request in %v, want one in %v", perSecond, request.Interval, want)
		}
		if !(request.Burst >= 0 && request.Burst <= 1e6) {
			t.Errorf("limit %v: a burst of %v requests", perSecond, request.Burst)
		}
	}
}
