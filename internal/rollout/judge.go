package rollout

import (
	"math"
)

// Verdict is the result of the comparison of a target version with the other versions.
type Verdict uint8

const (
	// VerdictOpen means that the target is not known to be bad.
	VerdictOpen Verdict = iota
	// VerdictBad means that the target is worse than the other versions. It is final.
	VerdictBad
)

func (v Verdict) String() string {
	if v == VerdictBad {
		return "bad"
	}
	return "open"
}

const (
	// alarmThreshold is the cumulative sum of log-likelihood ratios at which a target is bad.
	// About e^16 responses of a good version pass between two false alarms of a test.
	alarmThreshold = 16.0
	// gateStart and gateOpen are the start of the sums that must fall before a switch, and
	// the highest value at which it may begin. A version that is as bad as the alternative
	// falls from one to the other with a probability of about e^-7.
	gateStart = 10.0
	gateOpen  = 3.0

	// minComparable is the number of responses of the other versions on a route below which
	// the target's responses on it are not judged yet.
	minComparable = 30
	// minWorseBy and maxWorseBy bound by how much the rate of bad responses of the
	// alternative is above that of the other versions.
	minWorseBy = 0.1
	maxWorseBy = 0.2
	worseRatio = 3.0

	// neededMargin is the ratio of the target requests that are planned to those that
	// completion needs on average.
	neededMargin = 1.5
)

// routeNeeds lists the target responses that a route with at least this part of all requests
// must have for completion. Routes with less have too little traffic to compare.
var routeNeeds = [...]struct {
	part      float64
	responses int64
}{{0.2, 60}, {0.05, 25}, {0.01, 10}}

// routeNeed returns the number of target responses that a route needs for completion.
func routeNeed(part float64) int64 {
	for _, need := range routeNeeds {
		if part >= need.part {
			return need.responses
		}
	}
	return 0
}

// Judge compares the target with the other versions by sequential tests: for each route and
// for all routes together, and for failures, latency and both, it sums the log-likelihood
// ratio of the target's responses under two hypotheses, that their rate of bad responses is
// that of the other versions over the same period, and that it is clearly higher. A sum never
// falls below zero, so that good responses do not make up for a fault that begins later.
type Judge struct {
	routes  map[string]*routeState
	tests   map[testKey]*cusum
	verdict Verdict
	reason  Reason
}

// allRoutes is the name of the test of all routes. No route has it.
const allRoutes = ""

type testKey struct {
	route string
	kind  Kind
}

// NewJudge returns a Judge that has seen no evidence.
func NewJudge() *Judge {
	return &Judge{routes: make(map[string]*routeState), tests: make(map[testKey]*cusum)}
}

// Update judges the evidence that was added since the last call. It is meant to be called
// several times a second. Once it has returned VerdictBad it always does.
func (j *Judge) Update(pooled Evidence) Verdict {
	if j.verdict == VerdictBad {
		return j.verdict
	}
	fallback := failureRate(pooled)
	var all [kindCount]sample
	for _, route := range pooled.routes() {
		state := j.routes[route]
		if state == nil {
			state = new(routeState)
			j.routes[route] = state
		}
		samples := state.advance(pooled[route], fallback)
		for kind := range samples {
			j.test(route, Kind(kind), samples[kind])
			all[kind].add(samples[kind])
		}
	}
	for kind := range all {
		j.test(allRoutes, Kind(kind), all[kind])
	}
	return j.verdict
}

// test updates one test, and the verdict if the test raises the alarm. The first alarm gives
// the reason.
func (j *Judge) test(route string, kind Kind, s sample) {
	if s.target.total == 0 {
		return
	}
	key := testKey{route, kind}
	test := j.tests[key]
	if test == nil {
		test = &cusum{gate: gateStart}
		j.tests[key] = test
	}
	test.update(s)
	if test.sum >= alarmThreshold && j.verdict != VerdictBad {
		j.verdict = VerdictBad
		j.reason = test.reason(route, kind)
	}
}

// Reason returns why the verdict is VerdictBad, and the zero value while it is open.
func (j *Judge) Reason() Reason { return j.reason }

// EnoughForCompletion reports whether the evidence suffices to give all traffic to the target:
// each route has enough target responses, no test stands above half of the threshold of its
// alarm, and all routes together rule out a version that is clearly worse.
func (j *Judge) EnoughForCompletion() bool {
	if j.verdict == VerdictBad {
		return false
	}
	total := j.responses()
	for _, state := range j.routes {
		if state.judged[GroupTarget].Total < routeNeed(state.part(total)) {
			return false
		}
	}
	for _, test := range j.tests {
		if test.sum > alarmThreshold/2 {
			return false
		}
	}
	for kind := range kindCount {
		test := j.tests[testKey{allRoutes, kind}]
		if test == nil || test.gate > gateOpen {
			return false
		}
	}
	return true
}

// TargetRequestsNeeded estimates how many requests the target must get in all until
// EnoughForCompletion holds, from the mix of routes and the rates of the other versions. It is
// 0 while they are unknown.
func (j *Judge) TargetRequestsNeeded() int64 {
	total := j.responses()
	needed := 0.0
	for _, state := range j.routes {
		if part := state.part(total); routeNeed(part) > 0 {
			needed = max(needed, float64(routeNeed(part))/part)
		}
	}
	if needed == 0 {
		return 0
	}
	var base [kindCount]float64
	for _, state := range j.routes {
		for kind, rate := range state.base {
			base[kind] += rate * state.part(total)
		}
	}
	for _, rate := range base {
		if rate > 0 {
			needed = max(needed, (gateStart-gateOpen)/informationPerResponse(rate))
		}
	}
	return int64(math.Ceil(neededMargin * needed))
}

// responses returns the number of judged responses of both groups on all routes.
func (j *Judge) responses() int64 {
	var total int64
	for _, state := range j.routes {
		total += state.judged[GroupOthers].Total + state.judged[GroupTarget].Total
	}
	return total
}
