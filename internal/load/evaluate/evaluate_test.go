package evaluate

import (
	"math"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/load/client"
	"github.com/greengagegate/greengagegate/internal/load/scenario"
	"github.com/greengagegate/greengagegate/internal/standin/plainsvc"
	"pgregory.net/rapid"
)

func TestQuantilesAreNearestRank(t *testing.T) {
	var durations []time.Duration
	for i := range 100 {
		durations = append(durations, time.Duration(100-i)*time.Millisecond)
	}
	if got := QuantilesOf(durations); got != (Quantiles{P50: 50, P95: 95, P99: 99}) {
		t.Fatalf("%+v", got)
	}
}

func TestMaxExcessFindsLargestWindow(t *testing.T) {
	second := time.Second
	cases := []struct {
		name       string
		admissions []admission
		want       float64
	}{
		{"one burst is within the limit", []admission{{0, second, 100}}, 0},
		{"two bursts at the same time", []admission{{0, second, 100}, {0, second, 100}}, 90},
		{"an admission at an uncertain time counts only in windows that hold all its possible times", []admission{{0, 20 * second, 100}, {0, second, 100}}, 0},
		{"excess in a later window", []admission{{0, 0, 100}, {100 * second, 100 * second, 100}, {101 * second, 101 * second, 60}}, 50},
	}
	for _, c := range cases {
		if got := maxExcess(c.admissions, 10, 100); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: excess of %v tokens, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a false report of over-admission: requests that one exact bucket
// admits must not exceed its rate and burst in any window.
func TestMaxExcessOfExactBucketIsZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBucket(10, 100)
		var admissions []admission
		var at time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "arrivals") {
			at += time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap")) * time.Millisecond
			tokens := float64(rapid.IntRange(1, 100).Draw(t, "tokens"))
			if b.admit(at, tokens) {
				admissions = append(admissions, admission{at, at, tokens})
			}
		}
		if got := maxExcess(admissions, 10, 100); got > 1e-6 {
			t.Fatalf("excess of %v tokens over an exact bucket, want 0", got)
		}
	})
}

func TestNeededTokensCountsEachPrefixOnce(t *testing.T) {
	s, err := scenario.ByName("letak")
	if err != nil {
		t.Fatal(err)
	}
	plan := &scenario.Plan{Scenario: s, Options: scenario.PlanOptions{Seed: 1}}
	first := scenario.Prompt{ID: 0, Document: 1, Own: 1, OwnBlocks: 4}
	plan.Prompts = []scenario.Prompt{
		first,
		{ID: 1, Document: 1, Own: 1, OwnBlocks: 4},
		{ID: 2, Document: 1, Own: 2, OwnBlocks: 5},
		{ID: 3, Document: 2, Own: 3, OwnBlocks: 4},
		{ID: 4, Customer: 1, Document: 1, Own: 4, OwnBlocks: 4},
		{ID: 5, Customer: 2, Document: 1, Own: 5, OwnBlocks: 4},
	}
	var results []client.PromptResult
	for _, p := range plan.Prompts[:5] {
		results = append(results, client.PromptResult{Prompt: p, Outcome: client.Complete})
	}
	documentBlocks := s.DocumentBlocks.Min
	blocks := (s.RootBlocks + documentBlocks + 4) + 5 + (documentBlocks + 4) + (s.RootBlocks + documentBlocks + 4)
	if got := neededTokens(plan, results); got != int64(blocks*s.BlockTokens) {
		t.Fatalf("needed %d tokens, want %d blocks", got, blocks)
	}
}

// The test guards against charges that are counted wrongly when the outcomes reported to
// the caller and the executions in the ledger disagree.
func TestChargesComparedWithLedger(t *testing.T) {
	ran := client.Attempt{RequestID: "a", ReportedRun: client.ReportedRan}
	notRun := client.Attempt{RequestID: "b", ReportedRun: client.ReportedNotRun}
	unknown := client.Attempt{RequestID: "c", ReportedRun: client.ReportedUnknown}
	cases := []struct {
		name     string
		attempts []client.Attempt
		executed []string
		want     Charges
	}{
		{"ran", []client.Attempt{ran}, []string{"a"}, Charges{Settled: 1}},
		{"ran after a refusal", []client.Attempt{notRun, ran}, []string{"a"}, Charges{Settled: 1}},
		{"unknown and not executed", []client.Attempt{unknown}, nil, Charges{Unknown: 1}},
		{"unknown and executed", []client.Attempt{unknown}, []string{"c"}, Charges{Unknown: 1}},
		{"doubled", []client.Attempt{ran, unknown}, []string{"a", "c"}, Charges{Settled: 1, Doubled: 1}},
		{"reported to have run but not executed", []client.Attempt{ran}, nil, Charges{Settled: 1, FalseRan: 1}},
		{"reported not to have run but executed", []client.Attempt{notRun}, []string{"b"}, Charges{FalseNotRun: 1}},
		{"refused attempt was executed", []client.Attempt{notRun, ran}, []string{"b"}, Charges{Settled: 1, FalseNotRun: 1}},
	}
	for _, c := range cases {
		ledger := plainsvc.Ledger{}
		if c.executed != nil {
			ledger.Entries = []plainsvc.Entry{{ID: "x", Executions: len(c.executed), RequestIDs: c.executed}}
		}
		result := client.ChargeResult{Charge: scenario.Charge{ID: "x"}, Attempts: c.attempts}
		got := evaluateCharges([]client.ChargeResult{result}, []plainsvc.Ledger{ledger})
		c.want.Sent, c.want.Attempts, c.want.Latency = 1, len(c.attempts), got.Latency
		if got != c.want {
			t.Errorf("%s: charges %+v, want %+v", c.name, got, c.want)
		}
	}
}
