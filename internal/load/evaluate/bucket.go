package evaluate

import (
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

// bucket is one exact token bucket.
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst}
}

// admit takes tokens at a time that does not go back, when there are enough.
func (b *bucket) admit(at time.Duration, tokens float64) bool {
	b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
	if tokens > b.level {
		return false
	}
	b.level -= tokens
	return true
}

// withinRate returns, by prompt id, whether one exact bucket for each customer
// that sees all arrivals in order admits the prompt.
func withinRate(plan *scenario.Plan) map[int]bool {
	buckets := make([]*bucket, len(plan.Rates))
	for i := range buckets {
		buckets[i] = newBucket(plan.Rates[i], plan.Bursts[i])
	}
	admitted := make(map[int]bool, len(plan.Prompts))
	for _, p := range plan.Prompts {
		admitted[p.ID] = buckets[p.Customer].admit(p.At, float64(plan.Cost(p)))
	}
	return admitted
}

// overAdmission returns the largest number of tokens that any customer got
// beyond its rate and burst in any window. A request counts as admitted in a
// window when it was both sent and answered in it, so that the figure is
// never above the true one.
func overAdmission(plan *scenario.Plan, results []client.PromptResult) float64 {
	worst := 0.0
	for customer := range plan.Rates {
		var spans []span
		for _, r := range results {
			if r.Prompt.Customer == customer && r.Outcome == client.Complete {
				spans = append(spans, span{r.Sent, r.FirstByte, float64(plan.Cost(r.Prompt))})
			}
		}
		worst = max(worst, excess(spans, plan.Rates[customer], plan.Bursts[customer]))
	}
	return worst
}

// span is a request that was admitted at some time between from and to.
type span struct {
	from, to time.Duration
	tokens   float64
}

// excess returns the largest sum over a window of spans inside it, less what
// rate and burst allow. It tries each pair of a start and an end.
func excess(spans []span, rate, burst float64) float64 {
	sort.Slice(spans, func(i, j int) bool { return spans[i].to < spans[j].to })
	worst := 0.0
	for _, first := range spans {
		sum := 0.0
		for _, s := range spans {
			if s.from < first.from {
				continue
			}
			sum += s.tokens
			allowed := rate*(s.to-first.from).Seconds() + burst
			worst = max(worst, sum-allowed)
		}
	}
	return worst
}
