package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// startDelayValidity is how long an observed start delay is taken for the current one.
	startDelayValidity = 2 * time.Second
	// startDelayGrowth allows for a queue that grows while a request waits in it.
	startDelayGrowth = 1.5
	// maxStartDelay bounds the expected start delay.
	maxStartDelay = 20 * time.Second
)

// startDelay tracks the time from the sending of this gateway's requests to an upstream to
// their first response, which is an upper bound of the time that they wait there before
// they begin.
//
// Load pattern: while new weights are rolled out, requests gather at the few engines that
// serve and wait there for a second or more. A request that is sent while the weights of
// its engine may still be used can begin when they may not.
type startDelay struct {
	// pending holds when each request that has had no response was sent.
	pending map[*Attempt]bootclock.Instant
	// observed is the delay of the last request that got a response, at observedAt.
	observed   time.Duration
	observedAt bootclock.Instant
}

// begin records that a request was sent.
func (d *startDelay) begin(attempt *Attempt, now bootclock.Instant) {
	if d.pending == nil {
		d.pending = make(map[*Attempt]bootclock.Instant)
	}
	d.pending[attempt] = now
}

// observe records the first response to a request.
func (d *startDelay) observe(attempt *Attempt, now bootclock.Instant) {
	sentAt, ok := d.pending[attempt]
	if !ok {
		return
	}
	d.observed, d.observedAt = now.Sub(sentAt), now
	delete(d.pending, attempt)
}

// forget removes a request that ended without a response.
func (d *startDelay) forget(attempt *Attempt) { delete(d.pending, attempt) }

// estimate returns the longer of the last observed delay, while it is valid, and the time
// for which a request has been waiting by now.
func (d *startDelay) estimate(now bootclock.Instant) time.Duration {
	longest := time.Duration(0)
	if now.Sub(d.observedAt) < startDelayValidity {
		longest = d.observed
	}
	for _, sentAt := range d.pending {
		longest = max(longest, now.Sub(sentAt))
	}
	return longest
}

// expectedStartDelay returns how long a request that is sent now is expected to wait at an
// upstream before it begins, at most maxStartDelay. b.mu must be held.
func (b *Balancer) expectedStartDelay(s *upstreamState, now bootclock.Instant) time.Duration {
	_, otherBacklogTokens := b.otherGatewaysLoad(s, now)
	backlogMS := (float64(s.backlogTokens) + otherBacklogTokens) / s.prefillTokensPerMS(now)
	longest := max(s.startDelay.estimate(now), time.Duration(backlogMS*float64(time.Millisecond)))
	return min(time.Duration(startDelayGrowth*float64(longest)), maxStartDelay)
}
