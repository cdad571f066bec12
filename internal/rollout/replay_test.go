package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	replayTick     = 50 * time.Millisecond
	replayGateways = 5
	// Gateways report every reportInterval, and a report takes reportDelay to arrive, so that
	// a response is pooled 0.3 to 0.7 s after it ended.
	reportInterval = 400 * time.Millisecond
	reportDelay    = 300 * time.Millisecond
	judgeInterval  = 250 * time.Millisecond
	// maxPropagation is the longest time until a step is in force at a gateway.
	maxPropagation  = time.Second
	replayUpstreams = 10
	// coldResponses is the number of first responses of the target that take 1.5 times as long.
	coldResponses = 100
)

var testBounds = Bounds{ExposureShare: 0.1, ExposureSlack: 50, RollbackWithin: 5 * time.Second}

// replayRoutes holds the parts of the routes in all requests.
var replayRoutes = []struct {
	name string
	upTo float64
}{{"chat", 0.6}, {"search", 0.9}, {"batch", 1}}

// response is one response of a version: whether it failed, how many times its usual duration
// it took, and whether it did either because the version is bad.
type response struct {
	failed, bad bool
	slower      float64
}

// pattern describes how the versions respond.
type pattern struct {
	name string
	// failures is the usual failure rate, spread the standard deviation of the logarithm of
	// durations.
	failures, spread float64
	// fault changes a response of the target to a request sent at this time, at a canary
	// with this load as a multiple of the usual one.
	fault func(r *replay, at time.Duration, route int, load float64, response *response)
	// disturbed reports whether a disturbance hits both versions at this time.
	disturbed func(at time.Duration) bool
}

// drainTime returns how long nearly all requests run.
func (p pattern) drainTime() time.Duration {
	return time.Duration(200 * float64(time.Millisecond) * math.Exp(3.5*p.spread))
}

// replay replays one rollout.
type replay struct {
	pattern  pattern
	rate     float64
	seed     uint64
	duration time.Duration
	random   *rand.Rand
	now      time.Duration

	judge    *Judge
	evidence Evidence
	// pooledAt holds what gateways report by the tick at which the report arrives.
	pooledAt, free [][]observation
	step           Step
	views          [replayGateways]view

	all, target, bad        int64
	fiftiethBad, lastTarget time.Duration
	fell, oscillated        bool
}

// observation is one request that was sent or answered.
type observation struct {
	route, bucket uint8
	group         Group
	sent, failed  bool
}

// view is the share in force at a gateway, and the next one.
type view struct {
	share, next float64
	nextAt      time.Duration
}

func newReplay(p pattern, rate float64, duration time.Duration, seed uint64) *replay {
	return &replay{
		pattern: p, rate: rate, duration: duration, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
		judge: NewJudge(), evidence: make(Evidence), fiftiethBad: math.MaxInt64,
		pooledAt: make([][]observation, int((duration+5*time.Second)/replayTick)),
	}
}

func (r *replay) String() string { return fmt.Sprintf("seed %d, %v/s, %v", r.seed, r.rate, r.duration) }

// run replays the rollout up to its deadline.
func (r *replay) run() *replay {
	arrival := time.Duration(r.random.ExpFloat64() / r.rate * float64(time.Second))
	for tick := 0; r.now < r.duration; tick++ {
		r.pool(r.pooledAt[tick])
		r.free = append(r.free, r.pooledAt[tick][:0])
		r.pooledAt[tick] = nil
		if r.now%judgeInterval == 0 {
			r.decide()
		}
		for ; arrival < r.now+replayTick; arrival += time.Duration(r.random.ExpFloat64() / r.rate * float64(time.Second)) {
			r.request(arrival)
		}
		r.now += replayTick
	}
	return r
}

func (r *replay) pool(observations []observation) {
	for _, o := range observations {
		counts := r.evidence.Of(replayRoutes[o.route].name, o.group)
		switch {
		case o.sent:
			counts.Sent++
			continue
		case o.failed:
			counts.Failed++
		default:
			counts.Durations[o.bucket]++
		}
		counts.Total++
	}
}

// decide computes the next step from the pooled evidence and spreads it.
func (r *replay) decide() {
	bad := r.judge.Update(r.evidence) == VerdictBad
	others, target := r.evidence.Sent(GroupOthers), r.evidence.Sent(GroupTarget)
	progress := Progress{
		Previous: r.step, Elapsed: r.now, Duration: r.duration,
		TargetRequests: target, AllRequests: others + target, RequestsPerSecond: r.rate,
		TargetListed: r.now >= 300*time.Millisecond, Others: replayUpstreams,
		Bad: bad, Enough: r.judge.EnoughForCompletion(), Needed: r.judge.TargetRequestsNeeded(),
		DrainTime: r.pattern.drainTime(), RunningAtOthers: others,
	}
	for _, counts := range r.evidence {
		progress.RunningAtOthers -= counts[GroupOthers].Total
	}
	former := r.step
	r.step = testBounds.Share(progress)
	r.oscillated = r.oscillated || r.fell && r.step.Share > former.Share
	r.fell = r.fell || r.step.Share < former.Share && !bad
	if r.step.Share == former.Share {
		return
	}
	for i := range r.views {
		v := &r.views[i]
		if r.now >= v.nextAt {
			v.share = v.next
		}
		v.next, v.nextAt = r.step.Share, r.now+time.Duration(r.random.Float64()*float64(maxPropagation))
	}
}

// request sends one request and reports it and its response.
func (r *replay) request(at time.Duration) {
	v := &r.views[r.random.IntN(replayGateways)]
	share := v.share
	if at >= v.nextAt {
		share = v.next
	}
	route, position := 0, r.random.Float64()
	for position >= replayRoutes[route].upTo {
		route++
	}
	result := response{failed: r.random.Float64() < r.pattern.failures, slower: 1}
	if r.pattern.disturbed != nil && r.pattern.disturbed(at) {
		result.failed, result.slower = result.failed || r.random.Float64() < 0.4, 3
	}
	group := GroupOthers
	if r.random.Float64() < share {
		group = GroupTarget
		r.sendToTarget(at, route, share, &result)
	}
	r.all++
	took := time.Duration(200 * float64(time.Millisecond) * result.slower * math.Exp(r.pattern.spread*r.random.NormFloat64()))
	if result.bad {
		if r.bad++; r.bad == 50 {
			r.fiftiethBad = at + took
		}
	}
	r.report(at, observation{route: uint8(route), group: group, sent: true})
	r.report(at+took, observation{route: uint8(route), group: group, failed: result.failed, bucket: uint8(BucketOf(took))})
}

func (r *replay) sendToTarget(at time.Duration, route int, share float64, result *response) {
	r.target++
	r.lastTarget = at
	if r.target <= coldResponses {
		result.slower *= 1.5
	}
	canaries := CanaryCount(share, replayUpstreams, replayUpstreams)
	load := share * replayUpstreams / float64(canaries)
	if r.pattern.fault != nil {
		r.pattern.fault(r, at, route, load, result)
	}
}

// report adds an observation to the evidence at the time when the next report arrives.
func (r *replay) report(at time.Duration, o observation) {
	arrives := at.Truncate(reportInterval) + reportInterval + reportDelay
	if tick := int(arrives / replayTick); tick < len(r.pooledAt) {
		if last := len(r.free) - 1; r.pooledAt[tick] == nil && last >= 0 {
			r.pooledAt[tick], r.free = r.free[last], r.free[:last]
		}
		r.pooledAt[tick] = append(r.pooledAt[tick], o)
	}
}
