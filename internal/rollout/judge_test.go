package rollout

import (
	"strings"
	"testing"
	"time"
)

// respond adds responses of which some failed and the others took this long.
func respond(e Evidence, route string, group Group, total, failed int64, took time.Duration) {
	counts := e.Of(route, group)
	counts.Sent += total
	counts.Total += total
	counts.Failed += failed
	counts.Durations[BucketOf(took)] += total - failed
}

// A version with 20% bad responses must be found within 20 of them, one with 50% within 10; a
// slower test exposes more callers. The verdict must be final and name its evidence.
func TestJudgeFindsBadVersions(t *testing.T) {
	for _, c := range []struct {
		name              string
		badOfTen, atMost  int64
		took              time.Duration
		kind              Kind
		othersStopAt      int
		route, wantReason string
	}{
		{"20% fail", 2, 20, 100 * time.Millisecond, KindFailures, 100, "chat", "route chat: failures: target"},
		{"50% fail", 5, 10, 100 * time.Millisecond, KindFailures, 100, "chat", "route chat: failures: target"},
		{"slow", 10, 10, 400 * time.Millisecond, KindLatency, 100, "chat", "route chat: latency: target"},
		{"20% fail after all traffic left the others", 2, 20, 100 * time.Millisecond, KindFailures, 0, "chat", "route chat: failures: target"},
	} {
		t.Run(c.name, func(t *testing.T) {
			judge, evidence := NewJudge(), make(Evidence)
			respond(evidence, "chat", GroupOthers, 500, 5, 100*time.Millisecond)
			judge.Update(evidence)
			var bad int64
			for step := range 100 {
				if step < c.othersStopAt {
					respond(evidence, "chat", GroupOthers, 100, 1, 100*time.Millisecond)
				}
				failed := c.badOfTen
				if c.kind == KindLatency {
					failed = 0
				}
				respond(evidence, c.route, GroupTarget, 10, failed, c.took)
				bad += c.badOfTen
				if judge.Update(evidence) == VerdictBad {
					break
				}
			}
			if bad > c.atMost {
				t.Errorf("found after %d bad responses, want at most %d", bad, c.atMost)
			}
			if got := judge.Reason(); got.Kind != c.kind || !strings.HasPrefix(got.String(), c.wantReason) {
				t.Errorf("got the reason %q, want %q", got, c.wantReason)
			}
			respond(evidence, "chat", GroupTarget, 1000, 0, 100*time.Millisecond)
			if judge.Update(evidence) != VerdictBad || judge.EnoughForCompletion() {
				t.Error("the verdict is not final")
			}
		})
	}
}

// Without enough responses of the others there must be no verdict, and the target's responses
// must count once there are.
func TestJudgeWaitsForOthers(t *testing.T) {
	judge, evidence := NewJudge(), make(Evidence)
	respond(evidence, "chat", GroupTarget, 40, 40, 0)
	respond(evidence, "chat", GroupOthers, minComparable-1, 0, 100*time.Millisecond)
	if judge.Update(evidence) != VerdictOpen || judge.EnoughForCompletion() {
		t.Fatal("judged on too little evidence")
	}
	respond(evidence, "chat", GroupOthers, 1, 0, 100*time.Millisecond)
	if judge.Update(evidence) != VerdictBad {
		t.Error("the responses before the others had enough were discarded")
	}
}

// Requests that have not ended must not count for a version, or one whose responses hang would be
// completed on its few quick ones.
func TestHangingRequestsPreventCompletion(t *testing.T) {
	for _, c := range []struct {
		hanging int64
		want    bool
	}{{0, true}, {1, false}} {
		judge, evidence := NewJudge(), make(Evidence)
		for range 20 {
			respond(evidence, "chat", GroupOthers, 100, 0, 100*time.Millisecond)
			respond(evidence, "chat", GroupTarget, 10, 0, 100*time.Millisecond)
			evidence.Of("chat", GroupTarget).Sent += c.hanging
			judge.Update(evidence)
		}
		if got := judge.EnoughForCompletion(); got != c.want {
			t.Errorf("%d hanging requests with 10 responses: got enough evidence %v, want %v", c.hanging, got, c.want)
		}
	}
}
