package catalog

import (
	"maps"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// maxAnswerGap is the longest time between two calls of which both were answered that counts
// as a time in which the store answered.
const maxAnswerGap = 2500 * time.Millisecond

// Answering is a time throughout which the platform store answered a gateway: its calls were
// sent at most maxAnswerGap apart and none failed. The zero value is no time.
type Answering struct {
	From, To bootclock.Instant
}

// storeAnswers knows when the store answered this gateway and, by their reports, the others.
// A call that fails here alone says nothing about the store. The zero value is ready for use.
// It is safe for concurrent use.
type storeAnswers struct {
	mu  sync.Mutex
	own Answering
	// peers are the newest reports by the name of the gateway.
	peers map[string]Answering
	// failingSince is when the first of the calls failed that have failed less than
	// maxAnswerGap apart; lastFailure is when the last one did.
	failingSince, lastFailure bootclock.Instant
}

// recordAnswer records that a call of this gateway that was sent at an instant was answered.
func (a *storeAnswers) recordAnswer(at bootclock.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at <= a.own.To || at <= a.lastFailure {
		return
	}
	if a.own.To <= a.lastFailure || at.Sub(a.own.To) > maxAnswerGap {
		a.own.From = at
	}
	a.own.To = at
}

// recordFailure records that a call of this gateway failed at an instant.
func (a *storeAnswers) recordFailure(at bootclock.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastFailure == 0 || at.Sub(a.lastFailure) > maxAnswerGap {
		a.failingSince = at
	}
	a.lastFailure = max(a.lastFailure, at)
}

// maxPeerAnswerAge is the age of another gateway's report from which on it may be forgotten.
const maxPeerAnswerAge = time.Minute

// recordPeer replaces the report of another gateway. The first report of a gateway makes old
// ones of others be forgotten.
func (a *storeAnswers) recordPeer(name string, reported Answering) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers == nil {
		a.peers = make(map[string]Answering)
	}
	if _, known := a.peers[name]; !known {
		maps.DeleteFunc(a.peers, func(_ string, old Answering) bool { return reported.To.Sub(old.To) > maxPeerAnswerAge })
	}
	a.peers[name] = reported
}

// covers reports whether the store is known to have answered some gateway throughout.
func (a *storeAnswers) covers(from, to bootclock.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.own.covers(from, to) {
		return true
	}
	for _, reported := range a.peers {
		if reported.covers(from, to) {
			return true
		}
	}
	return false
}

func (t Answering) covers(from, to bootclock.Instant) bool {
	return t.To != 0 && t.From <= from && t.To >= to
}

// RecordStoreAnswer records that the platform store answered a call of this gateway that was
// sent at an instant.
func (c *Catalog) RecordStoreAnswer(at bootclock.Instant) { c.answers.recordAnswer(at) }

// RecordPeerAnswering records when the platform store answered another gateway, by its report.
func (c *Catalog) RecordPeerAnswering(name string, reported Answering) {
	c.answers.recordPeer(name, reported)
}

// StoreAnswering returns the last time throughout which the platform store answered this
// gateway.
func (c *Catalog) StoreAnswering() Answering {
	c.answers.mu.Lock()
	defer c.answers.mu.Unlock()
	return c.answers.own
}

// HasStoreAnswered reports whether the platform store is known to have answered some gateway
// throughout a time.
func (c *Catalog) HasStoreAnswered(from, to bootclock.Instant) bool {
	return c.answers.covers(from, to)
}

// RecordStoreFailure records that the platform store could not be reached at an instant.
func (c *Catalog) RecordStoreFailure(at bootclock.Instant) { c.answers.recordFailure(at) }

// LastStoreFailure returns when the platform store last could not be reached, or 0 if no
// failure was recorded.
func (c *Catalog) LastStoreFailure() bootclock.Instant {
	c.answers.mu.Lock()
	defer c.answers.mu.Unlock()
	return c.answers.lastFailure
}

// StoreFailingSince returns when the first of the last calls failed that failed shortly after
// one another, or 0 if no failure was recorded.
func (c *Catalog) StoreFailingSince() bootclock.Instant {
	c.answers.mu.Lock()
	defer c.answers.mu.Unlock()
	return c.answers.failingSince
}
