package balancer

import (
	"math"
	"slices"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// checkUsable reports whether an upstream can take the request as far as its state and
// weights are concerned; the caller checks the connection limit. outdated is the result of
// hasOutdatedWeights. If the upstream cannot take the request, it counts the reason in e.
func (e *Excluded) checkUsable(upstream *catalog.Upstream, c candidate, outdated bool, request *Request, now bootclock.Instant) bool {
	s := c.state
	switch {
	case request.SoftwarePinned && upstream.Software != request.Software, !request.Versions.allows(upstream):
		e.OtherSoftware++
	case upstream.Draining, s.isLeaving(now):
		e.Draining++
	case s.replaced:
		e.Replaced++
	case s.unreachable:
		e.Unreachable++
	case now.Before(s.backoffUntil), now.Before(s.notice.pausedUntil):
		e.BackingOff++
	case now.Before(s.limitedUntil):
		e.addLimited(s.limitedUntil)
	case now.Before(s.heldUntil):
		e.OnHold++
	case outdated:
		e.OldWeights++
	case slices.Contains(request.TriedUpstreams, upstream.ID):
		e.Tried++
	default:
		return true
	}
	return false
}

// addLimited counts an upstream that is at its limit until the given time.
func (e *Excluded) addLimited(until bootclock.Instant) {
	if e.AtLimit == 0 || until.Before(e.LimitedUntil) {
		e.LimitedUntil = until
	}
	e.AtLimit++
}

// IsWaitInVain reports whether no upstream can take the request until the given time: those
// that could are at their limits for longer, or have another software version, and none is
// excluded by something else that may end soon.
func (e *Excluded) IsWaitInVain(until bootclock.Instant) bool {
	if e.BackingOff+e.OnHold+e.AtConnectionLimit > 0 {
		return false
	}
	if e.AtLimit > 0 {
		return until.Before(e.LimitedUntil)
	}
	return e.OtherSoftware > 0 && e.Unreachable+e.OldWeights == 0
}

// hasOutdatedWeights reports whether the request must not run with the weights of an
// upstream, because they are too old now or will be when the request begins there. b.mu
// must be held.
func (b *Balancer) hasOutdatedWeights(c candidate, request *Request, now bootclock.Instant) bool {
	if c.version >= request.minVersion(now.Add(maxStartDelay)) {
		return false
	}
	return c.version < request.minVersion(now.Add(b.expectedStartDelay(c.state, now)))
}

// connectionLimit returns how many connections to one upstream this gateway may use: an
// equal share of request.MaxConnections, but at least 1. Each running request counts as
// one connection. b.mu must be held.
func (b *Balancer) connectionLimit(request *Request) int {
	if request.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, request.MaxConnections/b.gatewayCount)
}
