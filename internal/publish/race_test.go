package publish

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/greengagegate/greengagegate/internal/object"
)

func customer(name string, rate int, base string) Change {
	spec := fmt.Sprintf(`{"rate":%d,"burst":2000000,"weight":1}`, rate)
	return Change{Kind: object.KindCustomer, Name: name, Spec: []byte(spec), Base: base}
}

// digestOf returns the digest of an object as a process has it.
func digestOf(t *testing.T, p *process, key string) string {
	t.Helper()
	value, ok := p.manager.Snapshot().Get(key)
	if !ok {
		t.Fatalf("no %s", key)
	}
	return Digest(value)
}

func TestRacingOperators(t *testing.T) {
	tests := []struct {
		name   string
		second string
		want   Outcome
	}{
		{"disjoint edits merge", "pilots", OutcomeAccepted},
		{"overlapping edits conflict", "clerks", OutcomeConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, routers := demoFleet(t)
				defer f.stopAll()
				first, second := f.at(routers[0]), f.at(routers[1])
				requests := []Request{
					{Author: "ana", Changes: []Change{customer("clerks", 5000, digestOf(t, first, "Customer/clerks"))}},
					{Author: "ben", Changes: []Change{customer(test.second, 6000, digestOf(t, first, "Customer/"+test.second))}},
				}
				results := make([]Result, 2)
				var both sync.WaitGroup
				for i, p := range []*process{first, second} {
					both.Go(func() { results[i] = p.publisher.Publish(t.Context(), requests[i]) })
				}
				both.Wait()
				winner, loser := results[0], results[1]
				authors := []string{"ana", "ben"}
				if winner.Outcome != OutcomeAccepted {
					winner, loser = loser, winner
					authors = []string{"ben", "ana"}
				}
				if winner.Outcome != OutcomeAccepted || loser.Outcome != test.want {
					t.Fatalf("%+v\n%+v", winner, loser)
				}
				if test.want == OutcomeConflict {
					want := Conflict{"Customer/clerks", authors[1], authors[0], 2}
					if len(loser.Conflicts) != 1 || loser.Conflicts[0] != want {
						t.Fatalf("got %+v, want %+v", loser.Conflicts, want)
					}
				}
			})
		})
	}
}

// Two edits that are right one by one are refused when they are wrong together.
func TestMergedSetIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		p := f.at(routers[0])
		key := []byte(`{"customer":"visitors","sha256":"` + Digest(nil) + Digest(nil) + Digest(nil) + Digest(nil) + `","state":"active"}`)
		addKey := Change{Kind: object.KindKey, Name: "visitor-2", Spec: key, Base: BaseAbsent}
		drop := []Change{
			{Kind: object.KindCustomer, Name: "visitors", Base: digestOf(t, p, "Customer/visitors")},
			{Kind: object.KindKey, Name: "visitor-1", Base: digestOf(t, p, "Key/visitor-1")},
		}
		if result := p.publisher.Publish(t.Context(), Request{Changes: []Change{addKey}}); result.Outcome != OutcomeAccepted {
			t.Fatalf("%+v", result)
		}
		result := p.publisher.Publish(t.Context(), Request{Changes: drop})
		if result.Outcome != OutcomeInvalid || len(result.Mistakes) != 1 || result.Mistakes[0].Object != "Key/visitor-2" {
			t.Fatalf("%+v", result)
		}
	})
}

func TestDrainKeepsOtherFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		p := f.at(routers[0])
		before := *p.manager.Current().Upstreams["engine-1"]
		for _, leaving := range []bool{true, false} {
			result := p.publisher.Drain(t.Context(), "engine-1", leaving, Request{Author: "ana"})
			if result.Outcome != OutcomeAccepted {
				t.Fatalf("%+v", result)
			}
			before.Leaving = leaving
			if got := *p.manager.Current().Upstreams["engine-1"]; got != before {
				t.Fatalf("got %+v, want %+v", got, before)
			}
		}
		if result := p.publisher.Drain(t.Context(), "engine-9", true, Request{}); result.Outcome != OutcomeNotRun {
			t.Fatalf("%+v", result)
		}
	})
}
