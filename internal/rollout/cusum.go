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
	// expected is how many of the target's responses would be bad at the rate of the others.
	expected float64
}

func (s *sample) add(other sample) {
	s.target.add(other.target)
	s.others.add(other.others)
	s.expected += other.expected
}

// alternative returns the rate of bad responses of a bad version, given that of the others.
func alternative(base float64) float64 {
	worseBy := min(max((worseRatio-1)*base, minWorseBy), maxWorseBy)
	return min(base+worseBy, (1+base)/2)
}

// logLikelihoodRatio returns the evidence of a tally for the alternative against base.
func logLikelihoodRatio(t tally, base float64) float64 {
	worse := alternative(base)
	good := float64(t.total - t.bad)
	return float64(t.bad)*math.Log(worse/base) + good*math.Log((1-worse)/(1-base))
}

// informationPerResponse returns by how much the log-likelihood ratio falls on average with
// each response of a version whose rate of bad responses is base.
func informationPerResponse(base float64) float64 {
	worse := alternative(base)
	return -base*math.Log(worse/base) - (1-base)*math.Log((1-worse)/(1-base))
}

// minBaseRate is the lowest rate that the target is compared with. If the other versions have
// no failures at all, two or three failures by chance would otherwise suffice for a verdict.
const minBaseRate = 0.01

// cusum is the state of one test.
type cusum struct {
	// sum is the cumulative sum of the log-likelihood ratio, reset at zero.
	sum float64
	// gate is the same sum with a start above zero: it falls once the evidence rules out
	// that the version was bad from the beginning.
	gate float64
	// seen holds the responses since sum was zero.
	seen sample
}

// update adds a sample. Within it the order of the responses is unknown, so that it counts as
// one step.
func (c *cusum) update(s sample) {
	ratio := logLikelihoodRatio(s.target, max(s.expected/float64(s.target.total), minBaseRate))
	c.gate = max(c.gate+ratio, 0)
	c.sum = max(c.sum+ratio, 0)
	if c.sum == 0 {
		c.seen = sample{}
		return
	}
	c.seen.add(s)
}

func (c *cusum) reason(route string, kind Kind) Reason {
	return Reason{
		Route:       route,
		Kind:        kind,
		TargetBad:   c.seen.target.bad,
		TargetTotal: c.seen.target.total,
		TargetRate:  c.seen.target.rate(),
		OthersBad:   c.seen.others.bad,
		OthersTotal: c.seen.others.total,
		OthersRate:  c.seen.expected / float64(c.seen.target.total),
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
