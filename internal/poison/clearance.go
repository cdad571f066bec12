package poison

import "github.com/greengagegate/greengagegate/internal/bootclock"

// clearance states that a request with a key was completed.
type clearance struct {
	// sentAt is the instant at which the request was sent.
	sentAt bootclock.Instant
	// keptAt is the instant at which this gateway learned of the completion.
	keptAt bootclock.Instant
}

// keepClearance adds a clearance of the key unless a later one is known.
func keepClearance(clearances map[Key]clearance, key Key, sentAt, now bootclock.Instant) {
	if known, ok := clearances[key]; ok && !known.sentAt.Before(sentAt) {
		return
	}
	clearances[key] = clearance{sentAt: sentAt, keptAt: now}
}

// expireClearances drops the clearances that are as old as reportRetention.
func expireClearances(clearances map[Key]clearance, now bootclock.Instant) {
	for key, v := range clearances {
		if now.Sub(v.keptAt) >= reportRetention {
			delete(clearances, key)
		}
	}
}

// clearedAt returns the instant before which crashes are no evidence against the key.
// t.mu must be held.
func (t *Tracker) clearedAt(key Key) bootclock.Instant {
	return max(t.ownClearances[key].sentAt, t.peerClearances[key].sentAt)
}

// clear removes the evidence of crashes before sentAt against the key. It ends the
// probation of the key if sentAt lies in it. t.mu must be held.
func (t *Tracker) clear(key Key, sentAt bootclock.Instant) {
	t.removeEvidence(key, func(e evidence) bool { return e.crash.at.Before(sentAt) })
	if v, ok := t.convictions[key]; ok && !sentAt.Before(v.end) {
		delete(t.convictions, key)
	}
}
