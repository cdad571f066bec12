package balancer

import (
	"math"
	"slices"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// usable reports whether an upstream can take a request, and counts the reason if not.
func (e *Excluded) usable(u *catalog.Upstream, has holding, work *Work, now bootclock.Instant) bool {
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
	case has.version < work.Floor:
		e.Old++
	case slices.Contains(work.Tried, u.ID):
		e.Tried++
	default:
		return true
	}
	return false
}

// connections is how many connections to one upstream this gateway may use; c.mu is held.
func (c *Chooser) connections(work *Work) int {
	if work.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, work.MaxConnections/c.gateways)
}
