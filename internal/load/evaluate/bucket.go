package evaluate

import (
	"sort"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
)

// bucket is an exact token bucket: it sees every arrival, in order. rate is in
// tokens per second, burst and available are in tokens.
type bucket struct {
	rate, burst float64
	available   float64
	updatedAt   time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, available: burst}
}

// admit takes tokens from the bucket if enough are available, and reports whether
// it did. The times of successive calls must not decrease.
func (b *bucket) admit(at time.Duration, tokens float64) bool {
	b.available = min(b.burst, b.available+b.rate*(at-b.updatedAt).Seconds())
	b.updatedAt = at
	if tokens > b.available {
		return false
	}
	b.available -= tokens
	return true
}

// admittedByExactBucket returns, by prompt ID, whether the prompt is admitted when
// each customer has one exact bucket that sees all its arrivals in order.
func admittedByExactBucket(plan *scenario.Plan) map[int]bool {
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

// overAdmission returns the largest number of tokens by which any customer
// exceeded its rate and burst in any time window. A request counts as admitted in
// a window only if it was both sent and answered within it, so the figure never
// exceeds the true value.
func overAdmission(plan *scenario.Plan, results []client.PromptResult) float64 {
	worst := 0.0
	for customer := range plan.Rates {
		var admissions []admission
		for _, r := range results {
			if r.Prompt.Customer == customer && r.Outcome == client.Complete {
				admissions = append(admissions, admission{r.Sent, r.FirstText, float64(plan.Cost(r.Prompt))})
			}
		}
		worst = max(worst, maxExcess(admissions, plan.Rates[customer], plan.Bursts[customer]))
	}
	return worst
}

// admission is a request that was admitted at an unknown time between earliest and
// latest.
type admission struct {
	earliest, latest time.Duration
	tokens           float64
}

// maxExcess returns the largest number of tokens by which the admissions inside a
// window exceed what rate and burst allow for the length of the window, 0 if none
// does. It tries every pair of an admission's earliest time as the start and an
// admission's latest time as the end. It sorts admissions.
func maxExcess(admissions []admission, rate, burst float64) float64 {
	sort.Slice(admissions, func(i, j int) bool { return admissions[i].latest < admissions[j].latest })
	worst := 0.0
	for _, start := range admissions {
		sum := 0.0
		for _, a := range admissions {
			if a.earliest < start.earliest {
				continue
			}
			sum += a.tokens
			allowed := rate*(a.latest-start.earliest).Seconds() + burst
			worst = max(worst, sum-allowed)
		}
	}
	return worst
}
