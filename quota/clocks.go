package quota

import (
	"sync"
	"time"
)

const (
	// clockInterval spaces the readings of this process's clock that one borrower is sent.
	clockInterval = 4 * time.Second
	// clockMemory is how long a peer's clock is told from its last reading.
	clockMemory = 20 * time.Second
)

// clocks spares most replies the reading of the clock, which borrowers need for
// refunds: they tell it from an earlier one.
type clocks struct {
	now func() time.Time

	mu sync.Mutex
	// sent is when each borrower was last sent a reading.
	sent map[uint64]time.Time
	// heard holds the last reading of each peer.
	heard map[string]anchor
}

func newClocks(o *Options) *clocks {
	return &clocks{now: o.Now, sent: make(map[uint64]time.Time), heard: make(map[string]anchor)}
}

// omit takes the reading out of a reply to a borrower that was sent one lately.
func (c *clocks) omit(borrower uint64, reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.sent[borrower]) < clockInterval {
		reply.Clock = Instant{}
		return
	}
	for other, at := range c.sent {
		if now.Sub(at) > clockMemory {
			delete(c.sent, other)
		}
	}
	c.sent[borrower] = now
}

// complete adds to a peer's reply a reading that is not later than its clock.
// If the peer has begun a new life meanwhile, it takes no notice of the reading.
func (c *clocks) complete(address string, reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if reply.Clock.Incarnation != 0 {
		c.heard[address] = anchor{at: now, peer: reply.Clock}
		return
	}
	if heard, ok := c.heard[address]; ok && now.Sub(heard.at) < clockMemory {
		reply.Clock = heard.instant(now)
	}
}
