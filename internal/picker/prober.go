package picker

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/placement"
)

const (
	// DefaultProbeTimeout limits the wait for replies to probes.
	DefaultProbeTimeout = 60 * time.Millisecond
	// DefaultHedgeAfter is the time after which probing ends if a usable reply has
	// arrived, and further upstreams are probed if none has.
	DefaultHedgeAfter = 15 * time.Millisecond
)

var (
	probesSent       = metrics.Counter("router.probes")
	probesUnanswered = metrics.Counter("router.probes_unanswered")
)

// agentProber probes the agents of a pool for one request.
type agentProber struct {
	manager *Manager
	pool    *eligiblePool
	prompt  Prompt
}

// Probe implements placement.Prober. Each upstream that is unavailable or fails
// to answer is replaced by the next one in order. Before HedgeAfter it returns only
// when no probe is pending. At HedgeAfter it returns if a usable reply has arrived. If
// none has, it probes one further upstream for each pending probe and then waits until
// no probe is pending. It always returns after ProbeTimeout or when ctx ends.
func (p *agentProber) Probe(ctx context.Context, _ placement.Request, order []int, width int) []placement.ProbeResult {
	message := p.message()
	// The buffer lets probes that outlast this call deliver their results.
	arrived := make(chan placement.ProbeResult, len(order))
	startedCount, pendingCount, usableCount := 0, 0, 0
	probeNext := func() {
		go p.probe(ctx, message, order[startedCount], arrived)
		startedCount++
		pendingCount++
	}
	for startedCount < min(width, len(order)) {
		probeNext()
	}
	results := make([]placement.ProbeResult, 0, len(order))
	hedge := time.NewTimer(p.manager.options.HedgeAfter)
	defer hedge.Stop()
	timeout := time.NewTimer(p.manager.options.ProbeTimeout)
	defer timeout.Stop()
	for pendingCount > 0 {
		select {
		case result := <-arrived:
			pendingCount--
			results = append(results, result)
			if result.Answered && !result.Unavailable {
				usableCount++
			} else if startedCount < len(order) {
				probeNext()
			}
		case <-hedge.C:
			if usableCount > 0 {
				return results
			}
			for n := pendingCount; n > 0 && startedCount < len(order); n-- {
				probeNext()
			}
		case <-timeout.C:
			return results
		case <-ctx.Done():
			return results
		}
	}
	return results
}

func (p *agentProber) message() *wirepb.ProbeRequest {
	return &wirepb.ProbeRequest{
		Customer:     p.prompt.Customer,
		Model:        p.prompt.Model,
		Weights:      p.prompt.Version.Weights,
		BlockHashes:  p.prompt.Hashes,
		PromptTokens: p.prompt.PromptTokens,
		MaxTokens:    p.prompt.MaxTokens,
	}
}

// probe probes one agent and sends exactly one result. It does not send a probe to
// an upstream that is excluded. It may outlast Probe.
func (p *agentProber) probe(ctx context.Context, message *wirepb.ProbeRequest, upstreamIndex int, results chan<- placement.ProbeResult) {
	result := placement.ProbeResult{UpstreamIndex: upstreamIndex}
	defer func() { results <- result }()
	upstream := p.pool.configured[upstreamIndex]
	penalty, excluded := p.manager.outcomes.penaltyOf(upstream.Name)
	if excluded {
		result.Unavailable = true
		return
	}
	probesSent.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, p.manager.options.ProbeTimeout)
	defer cancel()
	reply, err := p.manager.streams.probe(ctx, upstream.Address, message)
	if err != nil {
		probesUnanswered.Inc(1)
		// A request that was cancelled is no evidence against the upstream. A request or
		// probe whose deadline has passed counts as a failed probe.
		if !errors.Is(err, context.Canceled) {
			p.manager.outcomes.report(upstream.Name, Outcome{Kind: OutcomeProbeFailed})
		}
		return
	}
	p.manager.loadedWeights.record(upstream.Name, reply.LoadedWeights)
	result.Answered = true
	result.Unavailable = reply.Unavailable || reply.Draining || reply.QueueFull
	result.Incarnation = reply.Incarnation
	result.CachedTokens = reply.CachedTokens
	result.ImportableTokens = reply.ImportableTokens
	result.PrefillRate = reply.PrefillTokensPerSecond
	result.ImportRate = reply.ImportTokensPerSecond
	result.QueueDelay = time.Duration(reply.ExpectedWaitUs) * time.Microsecond
	result.RunningRequests = int(reply.Running)
	result.Penalty = penalty
}
