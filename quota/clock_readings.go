package quota

import (
	"sync"
	"time"
)

const (
	// readingInterval is the least time between two clock readings sent to one
	// borrower.
	readingInterval = 4 * time.Second
	// readingTTL is how long a peer's clock is estimated from its last reading.
	readingTTL = 20 * time.Second
)

// clockReadings limits how often a clock reading is sent to a borrower, and
// estimates the omitted readings on receipt. Borrowers need the lender's time
// for refunds. It is safe for concurrent use.
type clockReadings struct {
	now func() time.Time

	mu sync.Mutex
	// sentAt is the time at which each borrower was last sent a reading.
	sentAt map[uint64]time.Time
	// lastReceived holds the last reading received from each peer, by address.
	lastReceived map[string]clockAnchor
}

func newClockReadings(o *Options) *clockReadings {
	return &clockReadings{now: o.Now, sentAt: make(map[uint64]time.Time), lastReceived: make(map[string]clockAnchor)}
}

// omitRecent removes the reading from a reply if the borrower was sent one less
// than readingInterval ago.
func (c *clockReadings) omitRecent(borrower uint64, reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.sentAt[borrower]) < readingInterval {
		reply.Clock = Instant{}
		return
	}
	for otherBorrower, sentAt := range c.sentAt {
		if now.Sub(sentAt) > readingTTL {
			delete(c.sentAt, otherBorrower)
		}
	}
	c.sentAt[borrower] = now
}

// fillIn records the clock reading in a peer's reply. If the reply has none,
// fillIn sets an estimate from the peer's last reading if that is less than
// readingTTL old. The estimate is not later than the peer's clock. A peer that
// has restarted since then ignores refunds with such a reading.
func (c *clockReadings) fillIn(address string, reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if reply.Clock.Incarnation != 0 {
		c.lastReceived[address] = clockAnchor{at: now, reading: reply.Clock}
		return
	}
	if last, ok := c.lastReceived[address]; ok && now.Sub(last.at) < readingTTL {
		reply.Clock = last.instant(now)
	}
}
