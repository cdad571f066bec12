package balancer

import "github.com/greengagegate/greengagegate/internal/catalog"

// lessUrgentWeight is the weight of the backlog of less urgent requests in the wait of a request.
// Engines admit the more urgent one first, but go on with the prompts that they have begun.
const lessUrgentWeight = 0.5

// priorityBacklog holds the prompt tokens of running requests that are not yet prefilled, by the
// priority of the request.
type priorityBacklog [catalog.PriorityCount]int64

// add adds tokens, which may be negative, of a request.
func (p *priorityBacklog) add(priority int, tokens int64) {
	p[catalog.ClampPriority(priority)] += tokens
}

// aheadShare returns the share of the backlog at an engine for which a request waits. Where rates
// are not learned, it waits for all of it. What other gateways have sent is assumed to have the
// same mix of priorities as what this one has.
func (s *upstreamState) aheadShare(request *Request) float64 {
	if s.rate == nil || s.backlogTokens <= 0 {
		return 1
	}
	ahead, total := 0.0, 0.0
	for priority, tokens := range s.backlogByPriority {
		total += float64(tokens)
		if priority > request.Priority {
			ahead += lessUrgentWeight * float64(tokens)
			continue
		}
		ahead += float64(tokens)
	}
	if total <= 0 {
		return 1
	}
	return ahead / total
}
