package rollout

import "math"

const (
	// priorRate is the rate of bad responses that is assumed where nothing is known, with the
	// weight of priorWeight responses.
	priorRate   = 0.004
	priorWeight = 50
	// routeWeight is the weight of the rate of all routes in that of a route, and windowWeight
	// that of the route's history in the rate of a window.
	routeWeight  = 20
	windowWeight = 10
	// baseDeviations is the half width of the confidence interval of the history's rate.
	baseDeviations = 2.0
	// maxBaseRate keeps the log-likelihood ratio finite.
	maxBaseRate = 0.98

	// recentUpdates is the length of the recent window, 1 to 2 s.
	recentUpdates = 8
	// slowFactorBuckets is the ratio of a slow response to the median, 1.3^4 = 2.9, and
	// slowQuantile is the quantile that it is at least.
	slowFactorBuckets = 4
	slowQuantile      = 0.95
	// coldBuckets is by how much longer the responses of a good target may take while its
	// caches are cold, 1.3^2 = 1.7. The rate of the target's responses above the threshold is
	// compared with that of the others above a threshold that is lower by this factor.
	coldBuckets = 2
)

// smoothed returns the rate of a tally, given a prior rate with the weight of some responses.
func smoothed(t tally, prior, weight float64) float64 {
	return (float64(t.bad) + prior*weight) / (float64(t.total) + weight)
}

// failureRate returns the failure rate of the other versions on all routes.
func failureRate(pooled Evidence) float64 {
	var all tally
	for _, counts := range pooled {
		all.add(failures(&counts[GroupOthers]))
	}
	return smoothed(all, priorRate, priorWeight)
}

// upperBound returns the upper end of Wilson's confidence interval of a rate that was measured
// on this number of responses.
func upperBound(rate, responses float64) float64 {
	const z2 = baseDeviations * baseDeviations
	middle := rate + z2/(2*responses)
	spread := baseDeviations * math.Sqrt(rate*(1-rate)/responses+z2/(4*responses*responses))
	return (middle + spread) / (1 + z2/responses)
}

// windowRate returns the rate of a window, given that of the history, less its standard error:
// the highest of several rates would otherwise be too high whenever the rates are noisy.
func windowRate(t tally, history float64) float64 {
	rate := smoothed(t, history, windowWeight)
	return rate - math.Sqrt(rate*(1-rate)/(float64(t.total)+windowWeight))
}

func failures(c *Counts) tally { return tally{c.Failed, c.Total} }

// slow returns the slow responses, those in a bucket not below from.
func slow(c *Counts, from int) tally {
	all, slow := c.successes(from)
	return tally{slow, all}
}

// either returns the failed and the slow responses.
func either(c *Counts, from int) tally {
	_, slow := c.successes(from)
	return tally{c.Failed + slow, c.Total}
}

// tallies returns the tallies of all kinds, with a response slow from this bucket on.
func tallies(c *Counts, from int) [kindCount]tally {
	return [kindCount]tally{KindFailures: failures(c), KindLatency: slow(c, from), KindBoth: either(c, from)}
}

// routeState holds what a Judge knows of a route.
type routeState struct {
	// judged holds the counts that were judged.
	judged [GroupCount]Counts
	// recent holds the counts of the other versions at the last updates, the oldest first.
	recent []Counts
	// base holds the rates of bad responses that the target was last compared with.
	base [kindCount]baseRate
}

// baseRate is a rate of bad responses of the other versions: the likeliest one, and the upper
// end of its confidence interval.
type baseRate struct{ rate, most float64 }

// part returns the route's part of all responses.
func (s *routeState) part(total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(s.judged[GroupOthers].Total+s.judged[GroupTarget].Total) / float64(total)
}

// enough reports whether the route, which has this part of all requests, has enough target
// responses for completion, given one of its tests.
func (s *routeState) enough(part float64, t *test) bool {
	responses := float64(s.judged[GroupTarget].Total)
	if t == nil || responses < part*responsesNeeded {
		return false
	}
	return responses >= routeResponses || t.strong.lowest <= routeAcceptThreshold
}

// advance returns the samples since the last call. While the other versions have too few
// responses to compare with, it returns nothing, and a later call returns the samples since
// the first one. The counts of the other versions go back to the begin of the rollout, so
// that the target is compared with these when the others get no more requests.
func (s *routeState) advance(latest *[GroupCount]Counts, fallback float64) (samples [kindCount]sample) {
	others := &latest[GroupOthers]
	windows := s.windows(others)
	if s.recent = append(s.recent, *others); len(s.recent) > recentUpdates {
		s.recent = s.recent[1:]
	}
	if others.Total < minComparable {
		return samples
	}
	from := slowFrom(windows)
	s.base = baseRates(windows, from-coldBuckets, fallback)
	target := latest[GroupTarget].since(&s.judged[GroupTarget])
	newOthers := others.since(&s.judged[GroupOthers])
	s.judged = *latest
	targets, same := tallies(&target, from), tallies(&newOthers, from-coldBuckets)
	for kind := range samples {
		total := float64(targets[kind].total)
		samples[kind] = sample{targets[kind], same[kind], s.base[kind].rate * total, s.base[kind].most * total}
	}
	return samples
}

// windows returns the counts of the other versions since the begin, in the recent window, and
// since the last update.
func (s *routeState) windows(others *Counts) []Counts {
	windows := []Counts{*others}
	if len(s.recent) > 0 {
		windows = append(windows, others.since(&s.recent[0]), others.since(&s.recent[len(s.recent)-1]))
	}
	return windows
}

// slowFrom returns the bucket from which on a response is slow. It takes the longest of the
// windows that have enough responses, so that a disturbance of all versions makes no response
// of the target slow.
func slowFrom(windows []Counts) int {
	from := 0
	for i := range windows {
		if successes, _ := windows[i].successes(BucketCount); successes < minComparable {
			continue
		}
		from = max(from, windows[i].quantile(0.5)+slowFactorBuckets, windows[i].quantile(slowQuantile)+1)
	}
	if from == 0 {
		return BucketCount
	}
	return min(from, BucketCount)
}

// baseRates returns the rates of bad responses to compare the target with: the highest of the
// windows. The confidence interval is that of the whole history: a base rate that is too low
// would raise false alarms on routes with few requests.
func baseRates(windows []Counts, from int, fallback float64) (rates [kindCount]baseRate) {
	for i := range windows {
		for kind, t := range tallies(&windows[i], from) {
			base := &rates[kind]
			if i > 0 {
				base.rate = max(base.rate, windowRate(t, base.rate))
				base.most = max(base.most, windowRate(t, base.most))
				continue
			}
			prior := fallback
			if Kind(kind) == KindLatency {
				prior = priorRate
			}
			base.rate = smoothed(t, prior, routeWeight)
			base.most = upperBound(base.rate, float64(t.total)+routeWeight)
		}
	}
	for kind := range rates {
		rates[kind].rate = min(rates[kind].rate, maxBaseRate)
		rates[kind].most = min(rates[kind].most, maxBaseRate)
	}
	return rates
}
