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
	// DefaultHedgeAfter is the time without a usable reply after which further
	// upstreams are probed.
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
// to answer is replaced by the next one in order. If no usable reply has arrived
// after HedgeAfter, it probes one further upstream for each pending probe; if one
// has arrived, it returns without waiting for the rest.
func (p *agentProber) Probe(ctx context.Context, _ placement.Request, order []int, width int) []placement.ProbeResult {
	message := p.message()
	// The buffer lets probes that outlast this call deliver their results.
	arrived := make(chan placement.ProbeResult, len(order))
	started, pending, usable := 0, 0, 0
	probeNext := func() {
		go p.probe(ctx, message, order[started], arrived)
		started++
		pending++
	}
	for started < min(width, len(order)) {
		probeNext()
	}
	results := make([]placement.ProbeResult, 0, len(order))
	hedge := time.NewTimer(p.manager.options.HedgeAfter)
	defer hedge.Stop()
	timeout := time.NewTimer(p.manager.options.ProbeTimeout)
	defer timeout.Stop()
	for pending > 0 {
		select {
		case result := <-arrived:
			pending--
			results = append(results, result)
			if result.Answered && !result.Unavailable {
				usable++
			} else if started < len(order) {
				probeNext()
			}
		case <-hedge.C:
			if usable > 0 {
				return results
			}
			for n := pending; n > 0 && started < len(order); n-- {
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
	upstream := p.pool.objects[upstreamIndex]
	penalty, excluded := p.manager.outcomes.assess(upstream.Name)
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
		// A cancelled request is no evidence against the upstream.
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
