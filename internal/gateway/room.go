package gateway

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const (
	// maxCountedWork bounds the part of a request's own prefill that counts against its
	// objective, as a fraction of the objective, so that large prompts are not refused at idle
	// engines.
	maxCountedWork = 0.5
	// ownBacklogFraction bounds the prefills ahead of a request at an engine, as a fraction
	// of its own objective. The rest of the work stays in the queue, which orders it.
	ownBacklogFraction = 0.5
	// urgentBacklogFraction bounds them, and half of the request's own prefill, as a fraction of
	// the objective of more urgent requests to the pool, which the engine may have to prefill
	// behind them.
	urgentBacklogFraction = 0.4
	// urgentWaitFraction bounds the expected wait, without the request's own prefill, as a
	// fraction of the objective of more urgent requests to the pool. It keeps less urgent
	// requests from the last slots of an engine.
	urgentWaitFraction = 0.85
	// urgencyPeriod is how long the objective of a request counts for less urgent ones.
	urgencyPeriod = 2 * time.Second
)

// urgency remembers the objectives of recent requests by priority.
type urgency [catalog.PriorityCount]struct {
	objective time.Duration
	seenAt    bootclock.Instant
}

// record remembers the objective of a request. Of different objectives, the shortest one of
// the last urgencyPeriod counts.
func (u *urgency) record(priority int, objective time.Duration, now bootclock.Instant) {
	level := &u[catalog.ClampPriority(priority)]
	if level.objective == 0 || objective <= level.objective || now.Sub(level.seenAt) > urgencyPeriod {
		level.objective, level.seenAt = objective, now
	}
}

// above returns the shortest objective of recent requests that are more urgent than
// priority, or 0 if there were none. Everything is more urgent than
// catalog.PriorityCount.
func (u *urgency) above(priority int, now bootclock.Instant) time.Duration {
	shortest := time.Duration(0)
	for _, level := range u[:min(max(priority, 0), catalog.PriorityCount)] {
		if level.objective > 0 && now.Sub(level.seenAt) <= urgencyPeriod && (shortest == 0 || level.objective < shortest) {
			shortest = level.objective
		}
	}
	return shortest
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// countedWork returns the part of the request's own prefill that counts against its
// objective.
func countedWork(choice *balancer.Choice, objective time.Duration) time.Duration {
	return min(milliseconds(choice.OwnWorkMS), time.Duration(maxCountedWork*float64(objective)))
}

// hasRoom reports whether the chosen upstream has room for a request now. p.mu must be held.
func (p *poolQueue) hasRoom(j *job, choice *balancer.Choice, isAged bool, now bootclock.Instant) bool {
	return choice.Upstream != nil && p.excess(j, choice, isAged, now) <= 0
}

// roomIn returns the time until the chosen upstream is expected to have room for a request,
// if nothing is sent to it until then. p.mu must be held.
func (p *poolQueue) roomIn(j *job, choice *balancer.Choice, now bootclock.Instant) time.Duration {
	if choice.Upstream == nil {
		return 0
	}
	return max(0, p.excess(j, choice, false, now))
}

// excess returns the time by which the expected waits exceed their bounds: the whole wait
// that of the time left of the objective, and the work ahead those of the request's own
// objective and, unless it is aged, of more urgent requests.
func (p *poolQueue) excess(j *job, choice *balancer.Choice, isAged bool, now bootclock.Instant) time.Duration {
	objective := j.route.LatencyObjective
	own := milliseconds(choice.OwnWorkMS)
	ahead := milliseconds(choice.ExpectedWaitMS) - own
	backlog := milliseconds(choice.BacklogMS)
	counted := countedWork(choice, objective)
	excess := max(
		ahead+counted-(objective-now.Sub(j.arrivedAt)),
		backlog-time.Duration(ownBacklogFraction*float64(objective)),
	)
	priority := j.priority()
	if j.beyondShare {
		priority = catalog.PriorityCount
	}
	urgent := p.urgency.above(priority, now)
	if urgent == 0 || isAged {
		return excess
	}
	limit := time.Duration(urgentBacklogFraction * float64(urgent))
	return max(excess,
		backlog+min(own, limit)/2-limit,
		ahead-time.Duration(urgentWaitFraction*float64(urgent)),
	)
}
