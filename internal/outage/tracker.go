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

// Calls states what a gateway knows of its calls to the store. The zero value knows nothing.
type Calls struct {
	// AnsweredAt is when the last call was sent that was answered, with success or not.
	AnsweredAt bootclock.Instant
	// FailedAt is when the last call was sent that got no response.
	FailedAt bootclock.Instant
}

// Tracker finds the ends of outages in the calls of this gateway and of others. The zero value is
// ready for use. It is safe for concurrent use.
//
// Load pattern: the store is silent for a few seconds, at any moment of a poll. All gateways of the
// fleet may have a poll in flight that is lost, so that none is ahead of the others.
type Tracker struct {
	mu sync.Mutex
	// own are the calls of this gateway, known those of all gateways.
	own, known Calls
	// endedAt is when the call was sent that showed the end of the last outage; 0 before the first.
	endedAt bootclock.Instant
	// ended is closed when endedAt changes; nil if nothing waits for it.
	ended chan struct{}
}

// RecordAnswer records that a call of this gateway that was sent at an instant was answered. It
// reports whether that shows the end of an outage.
func (t *Tracker) RecordAnswer(sentAt bootclock.Instant) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.AnsweredAt = max(t.own.AnsweredAt, sentAt)
	return t.add(t.own)
}

// RecordFailure records that a call of this gateway that was sent at an instant got no response.
// It reports whether that shows an outage that has ended.
func (t *Tracker) RecordFailure(sentAt bootclock.Instant) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own.FailedAt = max(t.own.FailedAt, sentAt)
	return t.add(t.own)
}

// RecordPeer records what another gateway knows of its calls. It reports whether that shows the
// end of an outage.
func (t *Tracker) RecordPeer(calls Calls) (ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.add(calls)
}

// add adds calls to the known ones. t.mu must be held.
func (t *Tracker) add(calls Calls) (ended bool) {
	t.known.AnsweredAt = max(t.known.AnsweredAt, calls.AnsweredAt)
	t.known.FailedAt = max(t.known.FailedAt, calls.FailedAt)
	// A failure that was sent before the end of the last outage belongs to that outage.
	if t.known.FailedAt <= t.endedAt || t.known.AnsweredAt <= t.known.FailedAt {
		return false
	}
	t.endedAt = t.known.AnsweredAt
	if t.ended != nil {
		close(t.ended)
		t.ended = nil
	}
	return true
}

// Own returns what this gateway knows of its own calls.
func (t *Tracker) Own() Calls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own
}

// Known returns what is known of the calls of all gateways.
func (t *Tracker) Known() Calls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
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
