package gateway

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/waitqueue"
	"github.com/rs/zerolog"
)

// waitRecord is what the log line of a request shows of its wait in a queue.
type waitRecord struct {
	// waited is the time in the queue; 0 for a request that was refused on arrival.
	waited   time.Duration
	decision waitqueue.Decision
	// beyondShare is true if the request was beyond its customer's fair share.
	beyondShare bool
}

// recordWait records the end of the request's wait.
func (j *job) recordWait(w *waiter) {
	j.outcome.wait = &waitRecord{waited: bootclock.Since(w.joinedAt), decision: w.decision, beyondShare: j.beyondShare}
	metrics.BoundedHistogram("gateway.queue_wait_us", "customer", j.customerName()).Update(j.outcome.wait.waited.Microseconds())
}

// logFields adds the fields of a wait or refusal to a log line.
func (r *waitRecord) logFields(line *zerolog.Event) *zerolog.Event {
	line = line.Dur("queued_ms", r.waited).Dur("queue_expected_ms", r.decision.Wait).
		Float64("queue_ahead_tokens", r.decision.Ahead).Float64("queue_tokens_s", r.decision.TokensPerSecond).
		Dur("queue_rate_age_ms", r.decision.RateAge).Bool("beyond_share", r.beyondShare)
	if r.decision.Reason != waitqueue.ReasonNone {
		line = line.Str("queue_refusal", string(r.decision.Reason)).
			Dur("retry_after_ms", r.decision.RetryAfter).Dur("retry_spread_ms", r.decision.Spread)
	}
	return line
}

// QueueStatus is the number of requests of one customer and route that wait in the queues.
type QueueStatus struct {
	Customer, Route string
	Waiting         int
}

// QueueStatuses returns the waiting requests by customer and route.
func (g *Gateway) QueueStatuses() []QueueStatus {
	counts := make(map[QueueStatus]int)
	for _, p := range g.queues.all() {
		p.count(counts)
	}
	statuses := make([]QueueStatus, 0, len(counts))
	for status, waiting := range counts {
		status.Waiting = waiting
		statuses = append(statuses, status)
	}
	return statuses
}

func (p *poolQueue) count(counts map[QueueStatus]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.waiters {
		counts[QueueStatus{Customer: w.job.customerName(), Route: w.job.route.Name}]++
	}
}
