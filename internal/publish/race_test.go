package publish

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/greengagegate/greengagegate/internal/object"
)

// customerChange returns the change that sets a customer's rate.
func customerChange(name string, rate int, base string) Change {
	spec := fmt.Sprintf(`{"rate":%d,"burst":2000000,"weight":1}`, rate)
	return Change{Kind: object.KindCustomer, Name: name, Spec: []byte(spec), Base: base}
}

// digestOf returns the digest of an object of the current configuration of p. It fails the test if
// there is no such object.
func digestOf(t *testing.T, p *process, key string) string {
	t.Helper()
	value, ok := p.manager.Snapshot().Get(key)
	if !ok {
		t.Fatalf("process has no object %s", key)
	}
	return Digest(value)
}

// If two operators publish at the same time through different routers, changes of
// different objects must both be accepted. Of two changes of the same object one
// must be refused with a conflict that names the accepted publication.
func TestRacingOperators(t *testing.T) {
	tests := []struct {
		name           string
		secondCustomer string
		want           Outcome
	}{
		{"changes of different objects merge", "pilots", OutcomeAccepted},
		{"changes of the same object conflict", "clerks", OutcomeConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, routers := startDemoFleet(t)
				defer f.stopAll()
				first, second := f.process(routers[0]), f.process(routers[1])
				requests := []Request{
					{Author: "ana", Changes: []Change{customerChange("clerks", 5000, digestOf(t, first, "Customer/clerks"))}},
					{Author: "ben", Changes: []Change{customerChange(test.secondCustomer, 6000, digestOf(t, first, "Customer/"+test.secondCustomer))}},
				}
				results := make([]Result, 2)
				var wg sync.WaitGroup
				for i, p := range []*process{first, second} {
					wg.Go(func() { results[i] = p.publisher.Publish(t.Context(), requests[i]) })
				}
				wg.Wait()
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

// Two changes can be valid separately and invalid together: one adds a key of a
// customer, the other deletes the customer. The second must be refused.
func TestMergedSetIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		p := f.process(routers[0])
		keySpec := []byte(`{"customer":"visitors","sha256":"` + Digest(nil) + Digest(nil) + Digest(nil) + Digest(nil) + `","state":"active"}`)
		keyCreation := Change{Kind: object.KindKey, Name: "visitor-2", Spec: keySpec, Base: BaseAbsent}
		deletions := []Change{
			{Kind: object.KindCustomer, Name: "visitors", Base: digestOf(t, p, "Customer/visitors")},
			{Kind: object.KindKey, Name: "visitor-1", Base: digestOf(t, p, "Key/visitor-1")},
		}
		if result := p.publisher.Publish(t.Context(), Request{Changes: []Change{keyCreation}}); result.Outcome != OutcomeAccepted {
			t.Fatalf("%+v", result)
		}
		result := p.publisher.Publish(t.Context(), Request{Changes: deletions})
		if result.Outcome != OutcomeInvalid || len(result.Mistakes) != 1 || result.Mistakes[0].Object != "Key/visitor-2" {
			t.Fatalf("%+v", result)
		}
	})
}

// Drain must change only the field Leaving of an upstream, and must not run for
// an upstream that does not exist.
func TestDrainKeepsOtherFields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		p := f.process(routers[0])
		want := *p.manager.Current().Upstreams["engine-1"]
		for _, leaving := range []bool{true, false} {
			result := p.publisher.Drain(t.Context(), "engine-1", leaving, Request{Author: "ana"})
			if result.Outcome != OutcomeAccepted {
				t.Fatalf("%+v", result)
			}
			want.Leaving = leaving
			if got := *p.manager.Current().Upstreams["engine-1"]; got != want {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
		if result := p.publisher.Drain(t.Context(), "engine-9", true, Request{}); result.Outcome != OutcomeNotRun {
			t.Fatalf("%+v", result)
		}
	})
}
