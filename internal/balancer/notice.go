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

// carriedNoticeTime bounds how long a statement holds for an incarnation that may not have
// made it.
const carriedNoticeTime = 30 * time.Second

// notice is what an upstream has stated about itself and still holds.
type notice struct {
	// leavingSince is when the upstream first stated that it is leaving, or 0. The statement
	// holds until leavingUntil, or for good if that is 0.
	leavingSince, leavingUntil bootclock.Instant
	// pausedUntil is the end of the time for which the upstream wants no requests.
	pausedUntil bootclock.Instant
	// startedMillis is the start time of the newest incarnation that was listed when a
	// statement arrived, statedMillis the time of day at which the last one arrived.
	startedMillis, statedMillis int64
}

// ApplyNotice records what an incarnation stated about itself in a response that has
// just arrived. It ignores the notice of an incarnation that is known to have been
// replaced. leaves and pauses report whether the upstream began with this notice to leave
// and to want no requests for a time.
func (b *Balancer) ApplyNotice(upstream *catalog.Upstream, stated catalog.Notice) (leaves, pauses bool) {
	if !stated.Leaving && stated.RetryAfter <= 0 {
		return false, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateFor(upstream.ID)
	if upstream.StartedMillis != 0 && upstream.StartedMillis < s.startedMillis {
		return false, false
	}
	now := b.now()
	s.notice.startedMillis = max(s.notice.startedMillis, upstream.StartedMillis)
	s.notice.statedMillis = time.Now().UnixMilli()
	if stated.RetryAfter > 0 {
		pauses = !now.Before(s.notice.pausedUntil)
		s.notice.pausedUntil = max(s.notice.pausedUntil, now.Add(stated.RetryAfter))
	}
	if stated.Leaving {
		leaves = !s.isLeaving(now)
		if leaves {
			s.notice.leavingSince = now
		}
		s.notice.leavingUntil = 0
	}
	return leaves, pauses
}

// afterListing returns what still holds once the incarnation that started at startedMillis
// is listed. Requests name the ID only, so a response may be that of a later incarnation than
// the list shows, and the list may show an earlier one again.
func (n notice) afterListing(startedMillis int64, now bootclock.Instant) notice {
	switch {
	case startedMillis <= n.startedMillis:
		return n
	case startedMillis < n.statedMillis:
		until := now.Add(carriedNoticeTime)
		n.pausedUntil = min(n.pausedUntil, until)
		if n.leavingUntil == 0 || until < n.leavingUntil {
			n.leavingUntil = until
		}
		return n
	default:
		return notice{}
	}
}

// MayCall reports whether an upstream may be sent anything: it has not stated that it is
// leaving, and the time for which it wants no requests is over.
func (b *Balancer) MayCall(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.stateFor(id), b.now()
	return !s.isLeaving(now) && !now.Before(s.notice.pausedUntil)
}

// isLeaving reports whether the upstream has stated that it is leaving and that still holds.
func (s *upstreamState) isLeaving(now bootclock.Instant) bool {
	return s.notice.leavingSince != 0 && (s.notice.leavingUntil == 0 || now.Before(s.notice.leavingUntil))
}

// isNeeded reports whether the state of an upstream that is not listed must be kept:
// requests are running there, or it has stated something that still holds.
func (s *upstreamState) isNeeded(now bootclock.Instant) bool {
	leaving := s.isLeaving(now) && now.Sub(s.notice.leavingSince) < obligationRetention
	return s.running > 0 || leaving || now.Before(s.notice.pausedUntil)
}
