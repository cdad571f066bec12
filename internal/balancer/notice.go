package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// obligationRetention is how long an upstream that is no longer listed is remembered as
// leaving, because it may be listed again: its entry can expire in an outage of the
// platform store.
const obligationRetention = 10 * time.Minute

// ApplyNotice records what an incarnation stated about itself in a response that has
// just arrived. It ignores the notice of an incarnation that is known to have been
// replaced. leaves and pauses report whether the upstream began with this notice to leave
// and to want no requests for a time.
func (b *Balancer) ApplyNotice(upstream *catalog.Upstream, notice catalog.Notice) (leaves, pauses bool) {
	if !notice.Leaving && notice.RetryAfter <= 0 {
		return false, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateFor(upstream.ID)
	if s.startedMillis != upstream.StartedMillis {
		return false, false
	}
	now := b.now()
	if notice.RetryAfter > 0 {
		pauses = !now.Before(s.pausedUntil)
		s.pausedUntil = max(s.pausedUntil, now.Add(notice.RetryAfter))
	}
	if notice.Leaving && !s.isLeaving() {
		leaves = true
		s.leavingSince = now
	}
	return leaves, pauses
}

// MayCall reports whether an upstream may be sent anything: it has not stated that it is
// leaving, and the time for which it wants no requests is over.
func (b *Balancer) MayCall(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateFor(id)
	return !s.isLeaving() && !b.now().Before(s.pausedUntil)
}

// isLeaving reports whether the incarnation has stated that it is leaving.
func (s *upstreamState) isLeaving() bool { return s.leavingSince != 0 }

// isNeeded reports whether the state of an upstream that is not listed must be kept:
// requests are running there, or it has stated something that still holds.
func (s *upstreamState) isNeeded(now bootclock.Instant) bool {
	leaving := s.isLeaving() && now.Sub(s.leavingSince) < obligationRetention
	return s.running > 0 || leaving || now.Before(s.pausedUntil)
}
