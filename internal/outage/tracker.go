// Package outage finds the polls of the platform store that an outage may have lost. A store or
// a path that falls silent loses requests and responses without closing their connections. A poll
// is open for many seconds without a response, so that its own timeout shows the loss far too
// late. Other calls show both ends of the outage: one that got no response, and one that was sent
// later and answered. A poll that was sent before the latter may be lost and is sent again.
package outage

import (
	"sync"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// Calls states when calls to the store were sent. The zero value knows of none.
type Calls struct {
	// AnsweredAt is when the last call was sent that was answered, with success or not.
	AnsweredAt bootclock.Instant
	// FailedAt is when the last call was sent that got no response.
	FailedAt bootclock.Instant
}

// Tracker finds the ends of outages in the calls of this gateway. The zero value is ready for use.
// It is safe for concurrent use.
//
// Load pattern: the store is silent for a few seconds, at any moment of a poll. All gateways of the
// fleet may have a poll in flight that is lost, so that none is ahead of the others.
type Tracker struct {
	mu    sync.Mutex
	calls Calls
	// endedAt is when the call was sent that showed the end of the last outage; 0 before the first.
	endedAt bootclock.Instant
	// ended is closed when endedAt changes; nil if nothing waits for it.
	ended chan struct{}
}

// RecordAnswer records that a call that was sent at an instant was answered. It reports whether that
// shows the end of an outage.
func (t *Tracker) RecordAnswer(sentAt bootclock.Instant) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.AnsweredAt = max(t.calls.AnsweredAt, sentAt)
	return t.checkEnd()
}

// RecordFailure records that a call that was sent at an instant got no response. It reports whether
// that shows an outage that has ended.
func (t *Tracker) RecordFailure(sentAt bootclock.Instant) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.FailedAt = max(t.calls.FailedAt, sentAt)
	return t.checkEnd()
}

// checkEnd notes the end of an outage. A failure that was sent before the end of the last one
// belongs to that one. t.mu must be held.
func (t *Tracker) checkEnd() (ended bool) {
	if t.calls.FailedAt <= t.endedAt || t.calls.AnsweredAt <= t.calls.FailedAt {
		return false
	}
	t.endedAt = t.calls.AnsweredAt
	if t.ended != nil {
		close(t.ended)
		t.ended = nil
	}
	return true
}

// Calls returns when the last calls were sent.
func (t *Tracker) Calls() Calls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// MayBeLost reports whether a call that was sent at an instant and is still open may have been lost
// in an outage. If not, the channel is closed when another outage has ended.
func (t *Tracker) MayBeLost(sentAt bootclock.Instant) (lost bool, ended <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended == nil {
		t.ended = make(chan struct{})
	}
	return sentAt < t.endedAt, t.ended
}
