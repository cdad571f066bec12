package poison

import (
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/eviction"
)

// Bounds of the state. The oldest entries beyond them are dropped.
const (
	maxCrashes     = 1024
	maxSuspects    = 8192
	maxConvictions = 256
	// maxClearances applies to the own clearances and to those of the peers.
	maxClearances = 4096
	// maxKeysPerCrash bounds the keys of a crash. Requests beyond it are ignored.
	maxKeysPerCrash = 512
)

// expire drops what is out of date. t.mu must be held.
func (t *Tracker) expire(now bootclock.Instant) {
	for _, c := range t.crashes {
		if now.Sub(c.at) >= evidenceTTL {
			t.dropCrash(c)
		}
	}
	t.expireConvictions(now)
	expireClearances(t.ownClearances, now)
	expireClearances(t.peerClearances, now)
}

// trim enforces the bounds. t.mu must be held.
func (t *Tracker) trim() {
	for _, id := range eviction.Oldest(t.crashes, maxCrashes, func(c *crash) bootclock.Instant { return c.at }) {
		t.dropCrash(t.crashes[id])
	}
	for _, key := range eviction.Oldest(t.suspects, maxSuspects, (*suspect).latest) {
		delete(t.suspects, key)
	}
	for _, key := range eviction.Oldest(t.convictions, maxConvictions, func(v conviction) bootclock.Instant { return v.end }) {
		delete(t.convictions, key)
	}
	for _, clearances := range []map[Key]clearance{t.ownClearances, t.peerClearances} {
		for _, key := range eviction.Oldest(clearances, maxClearances, func(v clearance) bootclock.Instant { return v.keptAt }) {
			delete(clearances, key)
		}
	}
}
