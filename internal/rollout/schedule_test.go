package rollout

import (
	"testing"
	"time"
)

// steps runs a schedule of 16 s at 100 requests a second in steps of 100 ms up to an elapsed time,
// with perfect reports, and returns the last step.
func steps(until time.Duration, change func(*Progress)) (step Step, p Progress) {
	var all, target float64
	p = Progress{Duration: 16 * time.Second, RequestsPerSecond: 100, TargetListed: true, Others: 10, Needed: 200, DrainTime: time.Second}
	for ; p.Elapsed <= until; p.Elapsed += 100 * time.Millisecond {
		all += p.RequestsPerSecond / 10
		target += p.RequestsPerSecond / 10 * step.Share
		p.Previous, p.AllRequests, p.TargetRequests = step, int64(all), int64(target)
		change(&p)
		step = testBounds.Share(p)
	}
	return step, p
}

// A good version must pass all stages before the deadline, with the margin for the status left.
func TestScheduleCompletes(t *testing.T) {
	last := Step{}
	step, _ := steps(15*time.Second, func(p *Progress) {
		p.Enough = true
		if p.Previous.Share < last.Share || p.Previous.Stage < last.Stage {
			t.Errorf("%v: got %+v after %+v", p.Elapsed, p.Previous, last)
		}
		last = p.Previous
	})
	if step.Stage != StageDone || step.Share != 1 {
		t.Errorf("got %+v, want the stage done", step)
	}
}

// Without enough evidence a rollout must never leave the canary, not even after its deadline, and
// must keep to the budget also when the rate of requests collapses.
func TestScheduleStaysCanary(t *testing.T) {
	falls := 0
	step, p := steps(30*time.Second, func(p *Progress) {
		if p.Elapsed > 5*time.Second {
			p.RequestsPerSecond = 10
		}
		if next := testBounds.Share(*p); next.Share < p.Previous.Share {
			falls++
		} else if falls > 0 && next.Share > p.Previous.Share {
			t.Errorf("%v: the share rose from %v to %v after it fell", p.Elapsed, p.Previous.Share, next.Share)
		}
	})
	if step.Stage != StageCanary || falls > 1 {
		t.Errorf("got %+v after %d falls of the share, want a canary and at most one", step, falls)
	}
	if bound := testBounds.exposure(float64(p.AllRequests)); float64(p.TargetRequests) > bound {
		t.Errorf("got %d target requests, want at most %.0f", p.TargetRequests, bound)
	}
}

// A bad verdict must end the rollout in every stage but done, and for good.
func TestScheduleRollsBack(t *testing.T) {
	for stage := StageObserve; stage <= StageDrain; stage++ {
		bad := Progress{Previous: Step{Stage: stage, Share: 0.5, Canary: 0.1}, Elapsed: 9 * time.Second, Duration: 16 * time.Second, Bad: true}
		step := testBounds.Share(bad)
		if step.Stage != StageRolledBack || step.Share != 0 {
			t.Errorf("%v: got %+v after a bad verdict", stage, step)
		}
		if again := testBounds.Share(Progress{Previous: step, Elapsed: 10 * time.Second, Duration: 16 * time.Second, Enough: true}); again != step {
			t.Errorf("got %+v after a rollback", again)
		}
	}
	done := Step{Stage: StageDone, Share: 1}
	if step := testBounds.Share(Progress{Previous: done, Bad: true}); step != done {
		t.Errorf("got %+v after done", step)
	}
}

// The drain must wait for running requests and for the last step to reach all gateways, but not
// for longer than its time.
func TestScheduleDrains(t *testing.T) {
	drain := Step{Stage: StageDrain, Share: 1, Since: 10 * time.Second}
	for _, c := range []struct {
		drained time.Duration
		running int64
		enough  bool
		want    Stage
	}{
		{900 * time.Millisecond, 0, true, StageDrain},
		{time.Second, 0, true, StageDone},
		{3900 * time.Millisecond, 1, true, StageDrain},
		{4 * time.Second, 1, true, StageDone},
		{4 * time.Second, 0, false, StageDrain},
		{1500 * time.Millisecond, -1, true, StageDrain},
		{2800 * time.Millisecond, -1, true, StageDone},
	} {
		p := Progress{Previous: drain, Elapsed: drain.Since + c.drained, Duration: 16 * time.Second, Enough: c.enough, RunningAtOthers: c.running, DrainTime: time.Second}
		if got := testBounds.Share(p).Stage; got != c.want {
			t.Errorf("%+v: got the stage %v", c, got)
		}
	}
}
