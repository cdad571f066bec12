package scenario

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/standin/answer"
)

func TestPlanFollowsItsSeedAndScenario(t *testing.T) {
	for _, s := range All() {
		o := PlanOptions{Seed: 7, Warmup: 10 * time.Second, Measured: 300 * time.Second}
		plan := NewPlan(s, o)
		if !reflect.DeepEqual(plan, NewPlan(s, o)) {
			t.Fatalf("%s: two plans of one seed differ", s.Name)
		}
		rate := float64(len(plan.Prompts)) / o.Length().Seconds()
		if math.Abs(rate/s.PromptsPerSecond-1) > 0.1 {
			t.Errorf("%s: %.1f prompts/s", s.Name, rate)
		}
		byCustomer := make([]float64, len(s.Shares))
		for _, p := range plan.Prompts {
			byCustomer[p.Customer]++
		}
		for i, share := range s.Shares {
			if got := byCustomer[i] / float64(len(plan.Prompts)); math.Abs(got-share) > 0.03 {
				t.Errorf("%s: customer %d has a share of %.3f", s.Name, i, got)
			}
		}
	}
}

func TestSurgeAddsToTheSameArrivals(t *testing.T) {
	s := letak()
	o := PlanOptions{Seed: 3, Warmup: 5 * time.Second, Measured: 60 * time.Second}
	usual := NewPlan(s, o)
	o.Surge = true
	surging := NewPlan(s, o)
	if !reflect.DeepEqual(usual.Rates, surging.Rates) {
		t.Fatal("the surge changed the limits")
	}
	known := make(map[time.Duration]bool)
	for _, p := range usual.Prompts {
		known[p.At] = true
	}
	var extra int
	for _, p := range surging.Prompts {
		if known[p.At] {
			continue
		}
		extra++
		if p.Customer != 0 || p.At < o.Warmup+SurgeFrom || p.At >= o.Warmup+SurgeUntil {
			t.Fatalf("unexpected extra arrival %+v", p)
		}
	}
	if len(surging.Prompts) != len(usual.Prompts)+extra || extra == 0 {
		t.Fatalf("%d prompts, %d usual, %d extra", len(surging.Prompts), len(usual.Prompts), extra)
	}
}

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
		t.Fatal("prompts on one document do not share it")
	}
	if bytes.Equal(a[shared:shared+blockBytes], b[shared:shared+blockBytes]) {
		t.Fatal("own parts are alike")
	}
	p.Customer = 2
	if bytes.Equal(a[:blockBytes], texts.Prompt(p)[:blockBytes]) {
		t.Fatal("customers share text")
	}
}
