package rollout

import (
	"math"
	"time"
)

// Stage is a part of a rollout. A rollout only moves to a later stage.
type Stage uint8

// The stages, in order. StageRolledBack follows any of the others but StageDone.
const (
	// StageObserve sends nothing to the target while the rate of requests is unknown or no
	// upstream of the target is listed.
	StageObserve Stage = iota
	// StageCanary sends a small, constant share to the target.
	StageCanary
	// StageSwitch raises the target's share to 1 in a few steps.
	StageSwitch
	// StageDrain waits for the last requests at the other versions.
	StageDrain
	// StageDone means that no request runs at the other versions, nor will be sent there.
	StageDone
	// StageRolledBack sends nothing to the target.
	StageRolledBack
)

var stageNames = [...]string{"observe", "canary", "switch", "drain", "done", "rolled back"}

func (s Stage) String() string {
	if int(s) < len(stageNames) {
		return stageNames[s]
	}
	return "unknown"
}

const (
	// maxObserveTime bounds the observation, observesPerDuration that of a short rollout to a
	// part of its duration.
	maxObserveTime      = time.Second
	observesPerDuration = 40
	// maxCanaryRequests is the number of target requests of a canary, unless the evidence for
	// completion needs more or one upstream of the target needs more for its usual load.
	maxCanaryRequests = 400
	// canaryLoad is the load of a canary that gets all of the target's requests, as a multiple
	// of that of an upstream of the other versions.
	canaryLoad     = 1.1
	maxCanaryShare = 0.5
	// budgetPart is the part of the exposure bound that a canary may use. The rest is for
	// requests that were sent before a step reached all gateways. A canary that has used
	// stopPart nevertheless gets nothing until there is room again.
	budgetPart = 0.8
	stopPart   = 0.9
	// budgetSpread is the number of standard deviations of the count of target requests by
	// which a canary is planned to stay below its budget.
	budgetSpread = 1.5
	// sustainedPart is the part of the budget's growth that a canary uses once it has used up
	// its budget.
	sustainedPart = 0.9
	// defaultNeeded is the number of target requests for completion while it is not known.
	defaultNeeded = 150

	// maxRampStep bounds a step of the switch, maxDrainTime the drain, and maxMargin the time
	// that is kept for the status before the deadline. In a short rollout, each also lasts at
	// most the duration divided by the constant that follows it.
	maxRampStep          = time.Second
	rampStepsPerDuration = 12
	maxDrainTime         = 4 * time.Second
	drainsPerDuration    = 4
	maxMargin            = time.Second
	marginsPerDuration   = 10
	// shortRampSteps is the number of steps of a switch that begins late in the time of one
	// usual step.
	shortRampSteps = 4
	// propagationTime is how long a step takes to reach all gateways.
	propagationTime = time.Second
	// reportTime is how long it takes until the end of a request is reported by its gateway.
	reportTime = 700 * time.Millisecond
)

// rampShares are the target's shares while traffic switches to it.
var rampShares = [...]float64{0.3, 0.6, 1}

// Bounds holds the limits of a rollout.
type Bounds struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version gets: that share
	// of all requests until the deadline, plus that number.
	ExposureShare float64
	ExposureSlack int64
	// RollbackWithin is the longest time after the 50th bad response for which a bad version may
	// get requests. No decision depends on it, because Share reacts to a verdict at once.
	RollbackWithin time.Duration
}

// Progress is what the next step of a rollout depends on.
type Progress struct {
	// Previous is the last step, the zero value at first. A process that takes over a
	// rollout continues from the step that its predecessor recorded.
	Previous Step
	// Elapsed is the time since the order, Duration the time that the order gives.
	Elapsed, Duration time.Duration
	// TargetRequests and AllRequests count the requests sent since the order.
	TargetRequests, AllRequests int64
	// RequestsPerSecond is the rate of all requests, 0 while it is unknown.
	RequestsPerSecond float64
	// TargetListed reports whether the list of upstreams has one of the target version.
	TargetListed bool
	// Bad is the verdict, Enough is Judge.EnoughForCompletion and Needed is
	// Judge.TargetRequestsNeeded, 0 if unknown.
	Bad, Enough bool
	Needed      int64
	// Others is the number of upstreams of the other versions, 0 if unknown.
	Others int
	// DrainTime is how long requests run at the other versions, 0 if unknown. A Manager does not
	// measure it.
	DrainTime time.Duration
	// RunningAtOthers is the number of requests that still run at the other versions, at all
	// gateways, and -1 if it is unknown.
	RunningAtOthers int64
}

// Step is one decision about a rollout. It holds all state that the next decision needs.
type Step struct {
	Stage Stage
	// Share is the share of requests for the target version.
	Share float64
	// Since is the elapsed time at which this stage and share began.
	Since time.Duration
	// Canary is the share of the canary, chosen when it begins.
	Canary float64
}

// next returns s with another stage and share that begin now, or s if they are the same.
func (s Step) next(p Progress, stage Stage, share float64) Step {
	if stage != s.Stage || share != s.Share {
		s.Stage, s.Share, s.Since = stage, share, p.Elapsed
	}
	return s
}

// Share returns the next step. The share never falls, except to 0 at a rollback, and when a
// canary uses up its budget.
func (b Bounds) Share(p Progress) Step {
	step := p.Previous
	switch {
	case step.Stage == StageDone || step.Stage == StageRolledBack:
		return step
	case p.Bad:
		return step.next(p, StageRolledBack, 0)
	}
	switch step.Stage {
	case StageObserve:
		if !p.observed() {
			return step
		}
		step.Canary = b.canaryShare(p)
		return step.next(p, StageCanary, step.Canary)
	case StageCanary:
		if p.Enough && p.Elapsed >= p.switchAt() && p.Elapsed <= p.latestSwitch() {
			return step.next(p, StageSwitch, rampShares[0])
		}
		return b.canaryStep(p, step)
	case StageSwitch:
		return p.rampStep(step)
	default:
		return p.drainStep(step)
	}
}

// observed reports whether the share of the canary can be chosen, or must be.
func (p Progress) observed() bool {
	known := p.TargetListed && p.RequestsPerSecond > 0 && p.Needed > 0
	return known || p.Elapsed >= min(maxObserveTime, p.Duration/observesPerDuration)
}

// canaryShare chooses the constant share of the canary. Its budget lasts until the latest
// begin of the switch.
func (b Bounds) canaryShare(p Progress) float64 {
	requests := p.RequestsPerSecond * (p.switchAt() - p.Elapsed).Seconds()
	mostRequests := p.RequestsPerSecond * (p.latestSwitch() - p.Elapsed).Seconds()
	if requests <= 0 {
		return sustainedPart * budgetPart * b.ExposureShare
	}
	needed := p.Needed
	if needed == 0 {
		needed = defaultNeeded
	}
	wanted := float64(max(needed, maxCanaryRequests)) / requests
	if p.Others > 0 {
		wanted = max(wanted, canaryLoad/(canaryLoad+float64(p.Others)))
	}
	budget := budgetPart*b.exposure(float64(p.AllRequests)+mostRequests) - float64(p.TargetRequests)
	budget = max(budget-budgetSpread*math.Sqrt(max(budget, 0)), 0)
	return min(wanted, budget/mostRequests, maxCanaryShare)
}

// exposure returns the number of requests that a bad target may get, given that of all requests.
func (b Bounds) exposure(all float64) float64 { return b.ExposureShare*all + float64(b.ExposureSlack) }

// canaryStep keeps the canary's share while its budget lasts.
//
// At a constant rate of requests it does until the latest begin of a switch: the slack is there
// from the start, so that the target's requests, which grow in proportion to all requests,
// reach the budget only at its end. If the rate falls or no switch begins, the share is lowered
// once, to one at which the target's requests grow more slowly than the budget. It is 0 only
// while stopPart is used up, which takes a rate that falls to a small part of its former value,
// or target requests that are reported late. The share then rises again only after the
// target's requests are back below the budget, which they no longer reach at the lowered share,
// so that it cannot oscillate.
func (b Bounds) canaryStep(p Progress, step Step) Step {
	exposure, used := b.exposure(float64(p.AllRequests)), float64(p.TargetRequests)
	switch {
	case used < budgetPart*exposure || step.Share > 0 && b.lastsUntilSwitch(p, step):
		return step.next(p, StageCanary, step.Canary)
	case used >= stopPart*exposure || step.Share == 0:
		step.Canary = min(step.Canary, sustainedPart*budgetPart*b.ExposureShare)
		return step.next(p, StageCanary, 0)
	}
	step.Canary = min(step.Canary, sustainedPart*budgetPart*b.ExposureShare)
	return step.next(p, StageCanary, step.Canary)
}

// lastsUntilSwitch reports whether stopPart of the exposure bound suffices for the rest of the
// canary, so that the share needs no change shortly before the switch.
func (b Bounds) lastsUntilSwitch(p Progress, step Step) bool {
	end := p.latestSwitch()
	if p.Enough {
		end = p.switchAt()
	}
	rest := p.RequestsPerSecond * (end - p.Elapsed).Seconds()
	return rest > 0 && float64(p.TargetRequests)+step.Share*rest < stopPart*b.exposure(float64(p.AllRequests)+rest)
}

// rampStep raises the share while there is enough evidence for completion.
func (p Progress) rampStep(step Step) Step {
	next := 0
	for next < len(rampShares)-1 && rampShares[next] <= step.Share {
		next++
	}
	// A switch that began late has shorter steps.
	left := p.rampEnd() - step.Since
	stepTime := max(min(left/time.Duration(len(rampShares)-next), p.rampStepTime()), p.rampStepTime()/shortRampSteps)
	switch {
	case !p.Enough || p.Elapsed < step.Since+stepTime:
		return step
	case rampShares[next] < 1:
		return step.next(p, StageSwitch, rampShares[next])
	}
	return step.next(p, StageDrain, 1)
}

// drainStep ends the drain when nothing runs at the other versions, or after its longest time.
// A report that nothing runs there proves nothing until the last step has reached all gateways.
func (p Progress) drainStep(step Step) Step {
	drained := p.Elapsed - step.Since
	done := drained >= p.maxDrain() || drained >= p.minDrain() && p.Elapsed >= p.drainDeadline()
	switch {
	case p.RunningAtOthers == 0:
		done = done || drained >= propagationTime
	case p.RunningAtOthers < 0 && p.DrainTime > 0:
		done = done || drained >= p.drainReserve()
	}
	if !done || !p.Enough {
		return step
	}
	return step.next(p, StageDone, 1)
}

// rampRaises is the number of steps from the first share of the ramp to the last one.
const rampRaises = time.Duration(len(rampShares) - 1)

// switchAt is the elapsed time at which the switch begins if there is enough evidence.
func (p Progress) switchAt() time.Duration { return p.rampEnd() - rampRaises*p.rampStepTime() }

// latestSwitch is the elapsed time after which no switch begins, because not even one with short
// steps and the shortest drain could end before the deadline. A holder that takes over late
// switches late.
func (p Progress) latestSwitch() time.Duration {
	return p.drainDeadline() - p.minDrain() - rampRaises*p.rampStepTime()/shortRampSteps
}

// drainDeadline is the elapsed time at which a drain ends whatever still runs, so that the
// deadline is kept.
func (p Progress) drainDeadline() time.Duration { return p.Duration - p.margin() }

// minDrain is the time after which a report that nothing runs at the other versions counts.
func (p Progress) minDrain() time.Duration {
	return min(p.maxDrain(), propagationTime+reportTime)
}

// rampEnd is the elapsed time at which all traffic must be on the target to be drained from
// the others before the deadline.
func (p Progress) rampEnd() time.Duration { return p.drainDeadline() - p.drainReserve() }

func (p Progress) rampStepTime() time.Duration {
	return min(maxRampStep, p.Duration/rampStepsPerDuration)
}

func (p Progress) margin() time.Duration { return min(maxMargin, p.Duration/marginsPerDuration) }

func (p Progress) maxDrain() time.Duration {
	return min(maxDrainTime, p.Duration/drainsPerDuration)
}

// drainReserve is the time that is kept for the drain.
func (p Progress) drainReserve() time.Duration {
	if p.DrainTime <= 0 {
		return p.maxDrain()
	}
	return min(p.maxDrain(), propagationTime+p.DrainTime+reportTime)
}
