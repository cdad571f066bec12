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
	// DefaultProbeTimeout bounds the wait for answers.
	DefaultProbeTimeout = 60 * time.Millisecond
	// DefaultHedgeAfter is when others are asked in place of silent upstreams.
	DefaultHedgeAfter = 15 * time.Millisecond
)

var (
	probesSent   = metrics.Counter("router.probes")
	probesSilent = metrics.Counter("router.probes_unanswered")
)

// asker probes agents for one request.
type asker struct {
	manager *Manager
	pool    *pool
	prompt  Prompt
}

// Probe implements placement.Prober.
func (a *asker) Probe(ctx context.Context, _ placement.Request, order []int, width int) []placement.ProbeResult {
	message := a.message()
	results := make(chan placement.ProbeResult, len(order))
	asked, pending, useful := 0, 0, 0
	ask := func() {
		go a.ask(ctx, message, order[asked], results)
		asked++
		pending++
	}
	for asked < min(width, len(order)) {
		ask()
	}
	answers := make([]placement.ProbeResult, 0, len(order))
	hedge := time.NewTimer(a.manager.options.HedgeAfter)
	defer hedge.Stop()
	limit := time.NewTimer(a.manager.options.ProbeTimeout)
	defer limit.Stop()
	for pending > 0 {
		select {
		case answer := <-results:
			pending--
			answers = append(answers, answer)
			if answer.Answered && !answer.Unavailable {
				useful++
			} else if asked < len(order) {
				ask()
			}
		case <-hedge.C:
			if useful > 0 {
				return answers
			}
			for n := pending; n > 0 && asked < len(order); n-- {
				ask()
			}
		case <-limit.C:
			return answers
		case <-ctx.Done():
			return answers
		}
	}
	return answers
}

func (a *asker) message() *wirepb.ProbeRequest {
	return &wirepb.ProbeRequest{
		Customer:     a.prompt.Customer,
		Model:        a.prompt.Model,
		Weights:      a.prompt.Version.Weights,
		BlockHashes:  a.prompt.Hashes,
		PromptTokens: a.prompt.PromptTokens,
		MaxTokens:    a.prompt.MaxTokens,
	}
}

// ask probes one agent and always delivers one answer. It may outlast Probe.
func (a *asker) ask(ctx context.Context, message *wirepb.ProbeRequest, upstream int, results chan<- placement.ProbeResult) {
	answer := placement.ProbeResult{UpstreamIndex: upstream}
	defer func() { results <- answer }()
	object := a.pool.objects[upstream]
	penalty, avoided := a.manager.watch.verdict(object.Name)
	if avoided {
		answer.Unavailable = true
		return
	}
	probesSent.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, a.manager.options.ProbeTimeout)
	defer cancel()
	reply, err := a.manager.lines.ask(ctx, object.Address, message)
	if err != nil {
		probesSilent.Inc(1)
		if !errors.Is(err, context.Canceled) {
			a.manager.watch.report(object.Name, Outcome{Kind: OutcomeSilent})
		}
		return
	}
	a.manager.versions.note(object.Name, reply.LoadedWeights)
	answer.Answered = true
	answer.Unavailable = reply.Unavailable || reply.Draining || reply.QueueFull
	answer.Incarnation = reply.Incarnation
	answer.CachedTokens = reply.CachedTokens
	answer.ImportableTokens = reply.ImportableTokens
	answer.PrefillRate = reply.PrefillTokensPerSecond
	answer.ImportRate = reply.ImportTokensPerSecond
	answer.QueueDelay = time.Duration(reply.ExpectedWaitUs) * time.Microsecond
	answer.RunningRequests = int(reply.Running)
	answer.Penalty = penalty
}
