package rollout

import "time"

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
	maxObserveTime = time.Second
	// maxCanaryRequests is the number of target requests of a canary, unless the evidence for
	// completion needs more or one upstream of the target needs more for its usual load.
	maxCanaryRequests = 400
	// canaryLoad is the load of a canary that gets all of the target's requests, as a multiple
	// of that of an upstream of the other versions.
	canaryLoad     = 1.1
	maxCanaryShare = 0.5
	// budgetPart is the part of the exposure bound that the canary uses. The rest is for
	// requests that were sent before a step reached all gateways.
	budgetPart = 0.8
	// reducedPart is the part of the budget's growth that a canary uses after the budget was
	// used up once.
	reducedPart = 0.9
	// defaultNeeded is the number of target requests for completion while it is not known.
	defaultNeeded = 150

	maxRampStep = time.Second
	// rampStepsPerDuration, drainsPerDuration and marginsPerDuration bound the parts of a
	// short rollout: a step lasts at most a twelfth of its duration, and so on.
	rampStepsPerDuration = 12
	maxDrainTime         = 4 * time.Second
	drainsPerDuration    = 4
	maxMargin            = time.Second
	marginsPerDuration   = 10
	// propagationTime is how long a step takes to reach all gateways.
	propagationTime = time.Second
)

// rampShares are the target's shares while traffic switches to it.
var rampShares = [...]float64{0.3, 0.6, 1}

// Bounds holds the limits of a rollout.
type Bounds struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version gets: that share
	// of all requests until the deadline, plus that number.
	ExposureShare float64
	ExposureSlack int64
	// RollbackWithin is the time after the 50th bad response from which a bad version gets no
	// request. Share reacts to a verdict at once, so it is for those who spread its steps.
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
	// DrainTime is how long requests run at the other versions, 0 if unknown.
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

// Share returns the next step. The share never falls, except to 0 at a rollback, or while the
// exposure budget is used up, which happens at most once.
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
		if known := p.TargetListed && p.RequestsPerSecond > 0; !known && p.Elapsed < maxObserveTime {
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

// canaryShare chooses the constant share of the canary.
func (b Bounds) canaryShare(p Progress) float64 {
	remaining := p.RequestsPerSecond * (p.switchAt() - p.Elapsed).Seconds()
	if remaining <= 0 {
		return reducedPart * budgetPart * b.ExposureShare
	}
	needed := p.Needed
	if needed == 0 {
		needed = defaultNeeded
	}
	wanted := float64(max(needed, maxCanaryRequests))
	if p.Others > 0 {
		wanted = max(wanted, remaining*canaryLoad/(canaryLoad+float64(p.Others)))
	}
	budget := b.budget(float64(p.AllRequests)+remaining) - float64(p.TargetRequests)
	return min(max(min(wanted, budget)/remaining, 0), maxCanaryShare)
}

// budget returns the number of target requests that the canary may have made when all
// requests have this number.
func (b Bounds) budget(all float64) float64 {
	return budgetPart * (b.ExposureShare*all + float64(b.ExposureSlack))
}

// canaryStep keeps the canary's share, or stops the canary while its budget is used up.
//
// At a constant rate of requests the budget lasts: its slack is there from the start, and the
// share was chosen so that it is not used up at the switch. It can be used up if the rate
// falls or the switch is late. The share is then 0 once, and afterwards below that at which
// the budget grows, so that it is never used up again.
func (b Bounds) canaryStep(p Progress, step Step) Step {
	room := b.budget(float64(p.AllRequests)) - float64(p.TargetRequests)
	sustained := reducedPart * budgetPart * b.ExposureShare
	switch {
	case step.Share > sustained && room <= 0:
		step.Canary = min(step.Canary, sustained)
		return step.next(p, StageCanary, 0)
	case step.Share == 0 && room < p.RequestsPerSecond*step.Canary*propagationTime.Seconds():
		return step
	}
	return step.next(p, StageCanary, step.Canary)
}

// rampStep raises the share while there is enough evidence for completion.
func (p Progress) rampStep(step Step) Step {
	if !p.Enough || p.Elapsed < step.Since+p.rampStepTime() {
		return step
	}
	for _, share := range rampShares {
		if share <= step.Share {
			continue
		}
		if share == 1 {
			return step.next(p, StageDrain, 1)
		}
		return step.next(p, StageSwitch, share)
	}
	return step.next(p, StageDrain, 1)
}

// drainStep ends the drain when nothing runs at the other versions, or after its longest time.
// A report that nothing runs there proves nothing until the last step has reached all gateways.
func (p Progress) drainStep(step Step) Step {
	drained := p.Elapsed - step.Since
	done := drained >= p.maxDrain()
	switch {
	case p.RunningAtOthers == 0:
		done = done || drained >= propagationTime
	case p.RunningAtOthers < 0 && p.DrainTime > 0:
		done = done || drained >= propagationTime+p.DrainTime
	}
	if !done || !p.Enough {
		return step
	}
	return step.next(p, StageDone, 1)
}

// switchAt is the elapsed time at which the switch begins if there is enough evidence.
func (p Progress) switchAt() time.Duration { return p.latestSwitch() - p.drainReserve() }

// latestSwitch is the elapsed time after which no switch begins, because it could not end
// before the deadline.
func (p Progress) latestSwitch() time.Duration {
	const raises = time.Duration(len(rampShares) - 1)
	return p.Duration - p.margin() - raises*p.rampStepTime()
}

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
	return min(p.maxDrain(), propagationTime+p.DrainTime)
}
