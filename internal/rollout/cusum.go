package rollout

import (
	"fmt"
	"math"
)

// Kind is what makes a response bad in a test.
type Kind uint8

// The kinds of tests.
const (
	// KindFailures counts failed responses.
	KindFailures Kind = iota
	// KindLatency counts slow responses, of those that succeeded.
	KindLatency
	// KindBoth counts failed and slow responses.
	KindBoth
	kindCount
)

var kindNames = [...]string{"failures", "latency", "failures and latency"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// tally counts responses and the bad ones among them.
type tally struct{ bad, total int64 }

func (t *tally) add(other tally) {
	t.bad += other.bad
	t.total += other.total
}

// rate returns the rate of bad responses, or 0 if there are no responses.
func (t tally) rate() float64 {
	if t.total == 0 {
		return 0
	}
	return float64(t.bad) / float64(t.total)
}

// sample holds the responses of both groups in one period.
type sample struct {
	target, others tally
	// expected is how many of the target's responses would be bad at the rate of the others, and
	// most the same at the upper end of that rate's confidence interval.
	expected, most float64
}

func (s *sample) add(other sample) {
	s.target.add(other.target)
	s.others.add(other.others)
	s.expected += other.expected
	s.most += other.most
}

// pool adds the sample of another route. The errors of the routes' rates are independent, so that
// the confidence interval of the sum is narrower than the sum of the intervals.
func (s *sample) pool(other sample) {
	spread := math.Hypot(s.most-s.expected, other.most-other.expected)
	s.add(other)
	s.most = s.expected + spread
}

// alternative returns the rate of bad responses of a version that is clearly worse than others
// with a rate of base, by at least minWorseBy.
func alternative(base float64) float64 {
	return worse(base, min(max((worseRatio-1)*base, minWorseBy), maxWorseBy))
}

// muchWorse returns the rate of a version that is worse by far. A test against it needs fewer
// responses of such a version.
func muchWorse(base float64) float64 { return worse(base, muchWorseBy) }

// worse returns base raised by a difference, but at most halfway to 1.
func worse(base, by float64) float64 { return min(base+by, (1+base)/2) }

// logLikelihoodRatio returns the evidence of a tally for the rate worse against the rate base.
func logLikelihoodRatio(t tally, base, worse float64) float64 {
	good := float64(t.total - t.bad)
	return float64(t.bad)*math.Log(worse/base) + good*math.Log((1-worse)/(1-base))
}

// information returns by how much the log-likelihood ratio falls on average with each response
// of a version whose rate of bad responses is base.
func information(base, worse float64) float64 {
	return -base*math.Log(worse/base) - (1-base)*math.Log((1-worse)/(1-base))
}

// cusum is a cumulative sum of log-likelihood ratios.
type cusum struct {
	// sum is reset at zero, and seen holds the responses since it was zero.
	sum  float64
	seen sample
	// total is never reset, and lowest is its minimum.
	total, lowest float64
}

// add adds a sample whose target responses have these ratios: alarm for the sum that is reset,
// and accept for the one that is not. Within the sample the order of the responses is unknown,
// so that it counts as one step.
func (c *cusum) add(s sample, alarm, accept float64) {
	c.total += accept
	c.lowest = min(c.lowest, c.total)
	if c.sum = max(c.sum+alarm, 0); c.sum == 0 {
		c.seen = sample{}
		return
	}
	c.seen.add(s)
}

// test is the state of the tests of one route and kind, against the alternatives alternative
// (mild) and muchWorse (strong).
type test struct{ mild, strong cusum }

// update adds a sample. The sums for the alarm compare with the highest rate that the others
// may have, so that they raise no false alarm, those for acceptance with the likeliest one.
func (t *test) update(s sample) {
	most, expected := s.most/float64(s.target.total), s.expected/float64(s.target.total)
	ratio := func(base, worse float64) float64 { return logLikelihoodRatio(s.target, base, worse) }
	t.mild.add(s, ratio(most, alternative(most)), ratio(expected, alternative(expected)))
	t.strong.add(s, ratio(most, muchWorse(most)), ratio(expected, muchWorse(expected)))
}

// highest returns the higher one of the two sums for the alarm.
func (t *test) highest() float64 { return max(t.mild.sum, t.strong.sum) }

// reason returns the evidence of the higher sum.
func (t *test) reason(route string, kind Kind) Reason {
	seen := t.mild.seen
	if t.strong.sum > t.mild.sum {
		seen = t.strong.seen
	}
	return Reason{
		Route:       route,
		Kind:        kind,
		TargetBad:   seen.target.bad,
		TargetTotal: seen.target.total,
		TargetRate:  seen.target.rate(),
		OthersBad:   seen.others.bad,
		OthersTotal: seen.others.total,
		OthersRate:  seen.most / float64(seen.target.total),
	}
}

// Reason says which test found a version bad, and with which evidence.
type Reason struct {
	// Route is the route of the test, empty for all routes together.
	Route string
	Kind  Kind
	// TargetBad of TargetTotal responses of the target were bad since the test last had no
	// evidence against it, which is TargetRate.
	TargetBad, TargetTotal int64
	TargetRate             float64
	// OthersBad of OthersTotal responses of the other versions were bad in the same period.
	OthersBad, OthersTotal int64
	// OthersRate is the rate that the target was compared with. It also takes into account
	// what the other versions showed before.
	OthersRate float64
}

// String returns the reason in one line, such as "route chat: failures: target 12 of 40
// (30.0%), others 8 of 790 (compared with 1.2%)".
func (r Reason) String() string {
	route := "all routes"
	if r.Route != allRoutes {
		route = "route " + r.Route
	}
	return fmt.Sprintf("%s: %s: target %d of %d (%.1f%%), others %d of %d (compared with %.1f%%)", route, r.Kind,
		r.TargetBad, r.TargetTotal, 100*r.TargetRate, r.OthersBad, r.OthersTotal, 100*r.OthersRate)
}
