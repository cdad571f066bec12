package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/enginerate"
)

const (
	// maxContenders is the number of upstreams with the lowest costs that are asked for their
	// load before a request is sent.
	maxContenders = 3
	// probedValidity is how long a reported load replaces the guess of what other gateways have
	// sent to an engine.
	probedValidity = 150 * time.Millisecond
	// probeAge is the age from which a reported load is asked for again.
	probeAge = 40 * time.Millisecond
	// pressedFraction is the fraction of a request's objective that recent requests of the pool
	// must have waited for loads to be asked for.
	pressedFraction = 0.1
)

// contenders are the upstreams with the lowest costs for a request, the lowest first.
//
// Load pattern: many gateways send to many engines, each gateway a few requests a second. An
// engine that all of them take for idle gets seconds of work before one of them observes it.
type contenders struct {
	upstreams [maxContenders]*catalog.Upstream
	costs     [maxContenders]float64
	count     int
}

// add adds an upstream unless maxContenders others have lower costs.
func (c *contenders) add(upstream *catalog.Upstream, costMS float64) {
	i := c.count
	for i > 0 && c.costs[i-1] > costMS {
		i--
	}
	if i == maxContenders {
		return
	}
	c.count = min(c.count+1, maxContenders)
	copy(c.upstreams[i+1:], c.upstreams[i:maxContenders-1])
	copy(c.costs[i+1:], c.costs[i:maxContenders-1])
	c.upstreams[i], c.costs[i] = upstream, costMS
}

// toProbe returns the contenders whose loads should be asked for before the request is sent:
// those with reports older than probeAge, if requests of the pool have waited lately. b.mu must
// be held.
func (b *Balancer) toProbe(c *contenders, request *Request, now bootclock.Instant) []*catalog.Upstream {
	if c.count < 2 || request.Objective <= 0 {
		return nil
	}
	model := b.waits[c.upstreams[0].Pool]
	pressedMS := pressedFraction * float64(request.Objective) / float64(time.Millisecond)
	if model == nil || model.RecentMS(now) < pressedMS {
		return nil
	}
	var stale []*catalog.Upstream
	for _, upstream := range c.upstreams[:c.count] {
		if now.Sub(b.stateFor(upstream.ID).load.receivedAt) >= probeAge {
			stale = append(stale, upstream)
		}
	}
	return stale
}

// waitModel returns the model of waits at the engines of a pool, or nil if rates are not learned
// for the pool. b.mu must be held.
func (b *Balancer) waitModel(pool string) *enginerate.WaitModel {
	if b.rates.pools[pool] == nil {
		return nil
	}
	model := b.waits[pool]
	if model == nil {
		model = &enginerate.WaitModel{}
		if b.waits == nil {
			b.waits = make(map[string]*enginerate.WaitModel)
		}
		b.waits[pool] = model
	}
	return model
}

// reportedBacklogMS returns the expected wait for the work that is ahead of a request at an
// engine, from the load that it reported lately and from what this gateway has sent since. ok is
// false if there is no such report. b.mu must be held.
func (b *Balancer) reportedBacklogMS(pool string, s *upstreamState, now bootclock.Instant) (ms float64, ok bool) {
	model := b.waitModel(pool)
	if model == nil || s.load.receivedAt == 0 || now.Sub(s.load.receivedAt) >= probedValidity {
		return 0, false
	}
	sentSince := max(0, s.backlogTokens-s.load.ownBacklogTokens)
	return model.WaitMS(s.load.running, s.load.waiting) + float64(sentSince)/s.prefillTokensPerMS(now), true
}

// waitSample is what is known of a request's wait when it is sent. The zero value stands for a
// request whose wait is not observed.
type waitSample struct {
	model            *enginerate.WaitModel
	running, waiting int
	ownMS            float64
	sentAt           bootclock.Instant
}

// beginWait returns the sample of a request that is sent now. Only waits at engines with a recent
// report are observed. b.mu must be held.
func (b *Balancer) beginWait(choice *Choice, s *upstreamState, now bootclock.Instant) waitSample {
	model := b.waitModel(choice.Upstream.Pool)
	if model == nil || s.load.receivedAt == 0 || now.Sub(s.load.receivedAt) >= reportValidity {
		return waitSample{}
	}
	return waitSample{model: model, running: s.load.running, waiting: s.load.waiting, ownMS: choice.OwnWorkMS + choice.copyLinkMS, sentAt: now}
}

// observe records the first response.
func (w *waitSample) observe(now bootclock.Instant) {
	if w.model == nil {
		return
	}
	wait := now.Sub(w.sentAt) - time.Duration(w.ownMS*float64(time.Millisecond))
	w.model.Observe(w.running, w.waiting, wait, now)
}
