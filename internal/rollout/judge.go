package rollout

import "math"

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
	// About e^14 responses of a good version pass between two false alarms of a test.
	alarmThreshold = 14.0
	// acceptThreshold is the sum of log-likelihood ratios at which a version is not as bad as
	// the alternative from the begin on. One that is gets there with a probability of e^-9.
	acceptThreshold = -9.0
	// routeAcceptThreshold is the same for a route and the alternative muchWorse. It takes 8
	// responses of which none is bad.
	routeAcceptThreshold = -4.0

	// minComparable is the number of responses of the other versions on a route below which
	// the target's responses on it are not judged yet.
	minComparable = 30
	// minWorseBy and maxWorseBy bound by how much the rate of bad responses of the
	// alternative is above that of the other versions.
	minWorseBy = 0.1
	maxWorseBy = 0.2
	worseRatio = 3.0
	// muchWorseBy is the same difference for a version that is worse by far.
	muchWorseBy = 0.4

	// maxRunningRatio is the highest ratio of the target's running requests to those of the
	// others, for the requests that each gets, at which the responses seen are taken for a
	// fair sample. Requests that take long are missing in it.
	maxRunningRatio = 2.5
	// runningSlack is the number of running requests that are too few to compare.
	runningSlack = 5

	// responsesNeeded is the number of target responses on all routes together of which each
	// route must have its part. A route with routeResponses needs no acceptance of its own,
	// because a fault would show in the sums for the alarm.
	responsesNeeded = 60
	routeResponses  = 20
	// minRoutePart is the part of all requests from which on completion needs a comparison of
	// the route. Smaller ones would need more canary requests than a short rollout may make.
	minRoutePart = 0.04

	// neededMargin is the ratio of the target requests that are planned to those that
	// completion needs on average.
	neededMargin = 1.5
)

// Judge compares the target with the other versions by sequential tests: for each route and
// for all routes together, and for failures, latency and both, it sums the log-likelihood
// ratio of the target's responses under two hypotheses, that their rate of bad responses is
// that of the other versions over the same period, and that it is clearly higher. A sum never
// falls below zero, so that good responses do not make up for a fault that begins later.
type Judge struct {
	routes map[string]*routeState
	tests  map[testKey]*test
	// accepted is set once the evidence has ruled out that the target was bad from the begin.
	accepted bool
	// sent and total hold the counts of all routes at the last update.
	sent, total [GroupCount]int64
	verdict     Verdict
	reason      Reason
}

// allRoutes is the name of the test of all routes. No route has it.
const allRoutes = ""

type testKey struct {
	route string
	kind  Kind
}

// NewJudge returns a Judge that has seen no evidence.
func NewJudge() *Judge {
	return &Judge{routes: make(map[string]*routeState), tests: make(map[testKey]*test)}
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
			j.judge(route, Kind(kind), samples[kind])
			all[kind].pool(samples[kind])
		}
	}
	for kind := range all {
		j.judge(allRoutes, Kind(kind), all[kind])
	}
	j.count(pooled)
	j.accepted = j.accepted || j.accepts()
	return j.verdict
}

// judge updates one test, and the verdict if the test raises the alarm. The first alarm gives
// the reason.
func (j *Judge) judge(route string, kind Kind, s sample) {
	if s.target.total == 0 {
		return
	}
	key := testKey{route, kind}
	t := j.tests[key]
	if t == nil {
		t = new(test)
		j.tests[key] = t
	}
	t.update(s)
	if t.highest() >= alarmThreshold && j.verdict != VerdictBad {
		j.verdict = VerdictBad
		j.reason = t.reason(route, kind)
	}
}

// Reason returns why the verdict is VerdictBad, and the zero value while it is open.
func (j *Judge) Reason() Reason { return j.reason }

// count takes over the counts of all routes.
func (j *Judge) count(pooled Evidence) {
	j.sent, j.total = [GroupCount]int64{}, [GroupCount]int64{}
	for _, counts := range pooled {
		for group := range counts {
			j.sent[group] += counts[group].Sent
			j.total[group] += counts[group].Total
		}
	}
}

// accepts reports whether the evidence rules out that the target was bad from the begin.
func (j *Judge) accepts() bool {
	total := j.responses()
	for kind := range kindCount {
		if t := j.tests[testKey{allRoutes, kind}]; t == nil || t.mild.lowest > acceptThreshold {
			return false
		}
		for route, state := range j.routes {
			if part := state.part(total); part >= minRoutePart && !state.enough(part, j.tests[testKey{route, kind}]) {
				return false
			}
		}
	}
	return !j.runsLonger()
}

// runsLonger reports whether the target holds so many running requests that its responses so
// far are those of the quick ones only.
func (j *Judge) runsLonger() bool {
	if j.sent[GroupOthers] == 0 {
		return false
	}
	running := j.sent[GroupTarget] - j.total[GroupTarget]
	others := j.sent[GroupOthers] - j.total[GroupOthers]
	usual := float64(others) * float64(j.sent[GroupTarget]) / float64(j.sent[GroupOthers])
	return float64(running) > maxRunningRatio*usual+runningSlack
}

// EnoughForCompletion reports whether the evidence suffices to give all traffic to the target:
// at some time each route had enough target responses and all routes together ruled out a
// version that is clearly worse, and no test stands above half of the threshold of its alarm.
func (j *Judge) EnoughForCompletion() bool {
	if j.verdict == VerdictBad || !j.accepted {
		return false
	}
	for _, t := range j.tests {
		if t.highest() > alarmThreshold/2 {
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
	var base [kindCount]float64
	for _, state := range j.routes {
		part := state.part(total)
		for kind := range state.base {
			rate := state.base[kind].rate
			base[kind] += rate * part
			if rate > 0 && part >= minRoutePart {
				needed = max(needed, -routeAcceptThreshold/information(rate, muchWorse(rate))/part)
			}
		}
	}
	for _, rate := range base {
		if rate > 0 {
			needed = max(needed, -acceptThreshold/information(rate, alternative(rate)))
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
