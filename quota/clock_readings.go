package quota

import (
	"sync"
	"time"
)

const (
	// clockInterval spaces the readings of this process's clock that one borrower is sent.
	readingInterval = 4 * time.Second
	// clockMemory is how long a peer's clock is told from its last reading.
	readingTTL = 20 * time.Second
)

// clocks spares most replies the reading of the clock, which borrowers need for
// refunds: they tell it from an earlier one.
type clockReadings struct {
	now func() time.Time

	mu sync.Mutex
	// sent is when each borrower was last sent a reading.
	sentAt map[uint64]time.Time
	// heard holds the last reading of each peer.
	lastReadings map[string]anchor
}

func newClockReadings(o *Options) *clockReadings {
	return &clockReadings{now: o.Now, sentAt: make(map[uint64]time.Time), lastReadings: make(map[string]anchor)}
}

// omit takes the reading out of a reply to a borrower that was sent one lately.
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

// complete adds to a peer's reply a reading that is not later than its clock.
// If the peer has begun a new life meanwhile, it takes no notice of the reading.
func (c *clockReadings) fillIn(address string, reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if reply.Clock.Incarnation != 0 {
		c.lastReadings[address] = anchor{at: now, reading: reply.Clock}
		return
	}
	if last, ok := c.lastReadings[address]; ok && now.Sub(last.at) < readingTTL {
		reply.Clock = last.instant(now)
	}
}
