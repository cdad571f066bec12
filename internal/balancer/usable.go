package balancer

import (
	"math"
	"slices"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// usable reports whether an upstream can take a request, and counts the reason if not.
func (e *Excluded) usable(u *catalog.Upstream, has holding, request *Request, now bootclock.Instant) bool {
	s := has.state
	switch {
	case u.Draining:
		e.Draining++
	case s.ended:
		e.Ended++
	case s.down:
		e.Down++
	case now.Before(s.restUntil):
		e.Resting++
	case now.Before(s.heldUntil):
		e.Held++
	case has.version < request.MinVersion:
		e.Old++
	case slices.Contains(request.Tried, u.ID):
		e.Tried++
	default:
		return true
	}
	return false
}

// connections is how many connections to one upstream this gateway may use; b.mu is held.
func (b *Balancer) connections(request *Request) int {
	if request.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, request.MaxConnections/b.gateways)
}
