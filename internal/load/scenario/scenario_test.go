package scenario

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

// Policies are compared by runs of the same plan. Guards against plans of one seed that
// differ, and against arrivals that miss the scenario's rate or the customers' shares.
func TestPlanIsDeterminedBySeedAndScenario(t *testing.T) {
	for _, s := range All() {
		o := PlanOptions{Seed: 7, Warmup: 10 * time.Second, Measured: 300 * time.Second}
		plan := NewPlan(s, o)
		if !reflect.DeepEqual(plan, NewPlan(s, o)) {
			t.Fatalf("%s: two plans with the same seed differ", s.Name)
		}
		rate := float64(len(plan.Prompts)) / o.Length().Seconds()
		if math.Abs(rate/s.PromptsPerSecond-1) > 0.1 {
			t.Errorf("%s: plan has %.1f prompts/s, which is more than 10 percent off the scenario's rate", s.Name, rate)
		}
		byCustomer := make([]float64, len(s.Shares))
		for _, p := range plan.Prompts {
			byCustomer[p.Customer]++
		}
		for i, share := range s.Shares {
			if got := byCustomer[i] / float64(len(plan.Prompts)); math.Abs(got-share) > 0.03 {
				t.Errorf("%s: the share of customer %d is %.3f, which is more than 0.03 off the scenario's", s.Name, i, got)
			}
		}
	}
}

// A run with a surge is compared with one without. Guards against a surge that moves the
// arrivals of the base traffic, raises the limits, or adds prompts of other customers or
// outside its time.
func TestSurgeKeepsTheOtherArrivals(t *testing.T) {
	s := letak()
	o := PlanOptions{Seed: 3, Warmup: 5 * time.Second, Measured: 60 * time.Second}
	base := NewPlan(s, o)
	o.Surge = true
	surging := NewPlan(s, o)
	if !reflect.DeepEqual(base.Rates, surging.Rates) {
		t.Fatal("the surge changed the limits")
	}
	baseArrivals := make(map[time.Duration]bool)
	for _, p := range base.Prompts {
		baseArrivals[p.At] = true
	}
	var extra int
	for _, p := range surging.Prompts {
		if baseArrivals[p.At] {
			continue
		}
		extra++
		if p.Customer != 0 || p.At < o.Warmup+SurgeStart || p.At >= o.Warmup+SurgeEnd {
			t.Fatalf("unexpected extra arrival %+v", p)
		}
	}
	if len(surging.Prompts) != len(base.Prompts)+extra || extra == 0 {
		t.Fatalf("plan has %d prompts, want %d without the surge and %d extra, at least one", len(surging.Prompts), len(base.Prompts), extra)
	}
}

// Hit rates are only meaningful if prompts share text exactly where the plan says so:
// whole leading blocks on the same document, and nothing between customers.
func TestPromptsSharePrefixesOfWholeBlocks(t *testing.T) {
	s := limon()
	plan := NewPlan(s, PlanOptions{Seed: 1, Measured: time.Second})
	texts := NewTexts(plan)
	p := Prompt{Customer: 1, Document: 2, Own: 5, OwnBlocks: 2}
	other := p
	other.Own = 6
	a, b := texts.Prompt(p), texts.Prompt(other)
	blockBytes := s.BlockTokens * answer.BytesPerToken
	shared := (plan.Blocks(p) - p.OwnBlocks) * blockBytes
	if len(a) != plan.Blocks(p)*blockBytes || !bytes.Equal(a[:shared], b[:shared]) {
		t.Fatal("prompts on the same document do not share its blocks")
	}
	if bytes.Equal(a[shared:shared+blockBytes], b[shared:shared+blockBytes]) {
		t.Fatal("different prompts have the same own text")
	}
	p.Customer = 2
	if bytes.Equal(a[:blockBytes], texts.Prompt(p)[:blockBytes]) {
		t.Fatal("prompts of different customers start with the same text")
	}
}
