package picker

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/placement"
)

const (
	// probeTimeout bounds the wait for answers.
	probeTimeout = 60 * time.Millisecond
	// hedgeAfter is when others are asked in place of silent upstreams.
	hedgeAfter = 15 * time.Millisecond
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
func (a *asker) Probe(ctx context.Context, _ placement.Request, order []int, width int) []placement.Answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	message := a.message()
	results := make(chan placement.Answer, len(order))
	asked, pending := 0, 0
	ask := func() {
		go a.ask(ctx, message, order[asked], results)
		asked++
		pending++
	}
	for asked < min(width, len(order)) {
		ask()
	}
	answers := make([]placement.Answer, 0, len(order))
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	useful := 0
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

// ask probes one agent and always delivers one answer.
func (a *asker) ask(ctx context.Context, message *wirepb.ProbeRequest, upstream int, results chan<- placement.Answer) {
	answer := placement.Answer{Upstream: upstream}
	defer func() { results <- answer }()
	object := a.pool.objects[upstream]
	penalty, avoided := a.manager.watch.verdict(object.Name)
	if avoided {
		answer.Unavailable = true
		return
	}
	probesSent.Inc(1)
	reply, err := a.exchange(ctx, object.Address, message)
	if err != nil {
		probesSilent.Inc(1)
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
	answer.Wait = time.Duration(reply.ExpectedWaitUs) * time.Microsecond
	answer.Running = int(reply.Running)
	answer.Penalty = penalty
}

func (a *asker) exchange(ctx context.Context, address string, message *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	stream, err := a.manager.options.Pool.Open(ctx, address, wirepb.Kind_KIND_PROBE, a.prompt.RequestID)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(message); err != nil {
		return nil, err
	}
	reply := new(wirepb.ProbeReply)
	if err := stream.Recv(reply); err != nil {
		return nil, err
	}
	return reply, nil
}
