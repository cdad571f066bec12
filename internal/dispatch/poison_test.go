package dispatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

const (
	// maxCrashedEngines is the number of engines that one request may crash.
	maxCrashedEngines = 2
	poisonRepeats     = 20
)

// TestLatePoisonCrashesTwoEngines guards against a prompt that crashes more than
// two engines because each crash comes only after some tokens. The prompt is
// repeated through three routers while harmless prompts run.
func TestLatePoisonCrashesTwoEngines(t *testing.T) {
	for name, fromStart := range map[string]bool{"tokens of the answer": false, "tokens of each run": true} {
		t.Run(name, func(t *testing.T) {
			p := newPromptFleet(t, 6, 3)
			for _, e := range p.engines {
				e.latePoisonFromRunStart = fromStart
			}
			var harmless sync.WaitGroup
			p.sendHarmless(&harmless, 24)
			time.Sleep(60 * time.Millisecond)
			codes := make(map[string]int)
			for i := range poisonRepeats {
				codes[p.sendRefused(i%3, 7, latePoisonText)]++
			}
			harmless.Wait()
			crashes := crashCount(p.engines)
			t.Logf("crashes of engines: %d, refusals by code: %v", crashes, codes)
			if crashes > maxCrashedEngines || codes[string(refusal.Quarantined)] < poisonRepeats-2 {
				t.Errorf("crashes of engines: %d, refusals by code: %v; want at most 2 crashes and at least 18 refusals as quarantined", crashes, codes)
			}
		})
	}
}

// TestRepeatsOfASuspectRunOneAfterTheOther guards against copies of a suspect
// prompt that run at the same time and crash an engine each. The copies are sent
// at once through all routers. The first crash is only recorded in each router's
// quarantine; no engine crashes for it.
func TestRepeatsOfASuspectRunOneAfterTheOther(t *testing.T) {
	for name, content := range map[string]string{"at its start": poisonText, "after tokens": latePoisonText} {
		t.Run(name, func(t *testing.T) {
			p := newPromptFleet(t, 6, 3)
			for _, manager := range p.managers {
				manager.Suspect(7, 0)
			}
			p.sendRefusedAtOnce(poisonRepeats, content)
			crashes := crashCount(p.engines)
			t.Logf("crashes of engines after the recorded one: %d", crashes)
			if crashes > maxCrashedEngines-1 {
				t.Errorf("crashes of engines after the recorded one: %d, want at most 1", crashes)
			}
		})
	}
}

// TestTwoPoisonsAtOnceConvictNoInnocent guards against harmless prompts that are
// convicted because they were in flight at crashes that other prompts caused, and
// against more than two crashed engines per prompt. One prompt crashes engines at
// its start and another one after some tokens; both are repeated at the same time.
func TestTwoPoisonsAtOnceConvictNoInnocent(t *testing.T) {
	p := newPromptFleet(t, 8, 3)
	var group sync.WaitGroup
	p.sendHarmless(&group, 24)
	time.Sleep(60 * time.Millisecond)
	for digest, content := range map[uint64]string{7: poisonText, 8: latePoisonText} {
		group.Go(func() {
			for i := range poisonRepeats {
				p.sendRefused(i%3, digest, content)
			}
		})
	}
	group.Wait()
	crashes := crashCount(p.engines)
	t.Logf("crashes of engines: %d", crashes)
	if crashes > 2*maxCrashedEngines {
		t.Errorf("crashes of engines: %d, want at most 4", crashes)
	}
}

// TestRunsOfAContentEndAtItsFirstCrash guards against runs of a content that go on
// after the content became suspect elsewhere, and then crash their engines too.
// Three copies run through three routers. One crashes its engine; the engines of
// the other two send no token until the routers close the streams.
func TestRunsOfAContentEndAtItsFirstCrash(t *testing.T) {
	p := newPromptFleet(t, 6, 3)
	p.engines[1].stallNextRun, p.engines[2].stallNextRun = true, true
	place := func(context.Context) (Placement, error) {
		return Placement{p.candidates[3:], &wirepb.RunRequest{RequestId: "r", Prompt: []byte(latePoisonText), MaxTokens: promptTokens, Digest: 7}}, nil
	}
	var group sync.WaitGroup
	for i, router := range p.routers {
		group.Go(func() {
			first, _ := place(t.Context())
			first.Candidates = p.candidates[i : i+1]
			_, err := router.Run(t.Context(), first, place, new(answer))
			var failure *Failure
			if !errors.As(err, &failure) {
				t.Errorf("got error %v for a prompt that crashes engines, want a refusal", err)
			}
		})
	}
	group.Wait()
	if crashes := crashCount(p.engines); crashes != maxCrashedEngines {
		t.Errorf("crashes of engines: %d, want 2", crashes)
	}
}

// sendHarmless sends prompts through all routers and checks that their answers
// are complete.
func (p *promptFleet) sendHarmless(group *sync.WaitGroup, count int) {
	for i := range count {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			got, end, err := p.prompt(i%3, uint64(100+i), "harmless")
			checkComplete(p.t, got, end, err)
		})
	}
}

// sendRefusedAtOnce sends count copies of a prompt at the same time. The prompt
// crashes engines, and each copy must be refused.
func (p *promptFleet) sendRefusedAtOnce(count int, content string) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { p.sendRefused(i%3, 7, content) })
	}
	group.Wait()
}

// sendRefused sends a prompt that crashes engines. It checks that the prompt is
// refused and returns the code of the refusal.
func (p *promptFleet) sendRefused(router int, digest uint64, content string) string {
	_, _, err := p.prompt(router, digest, content)
	var failure *Failure
	if !errors.As(err, &failure) {
		p.t.Errorf("got error %v for a prompt that crashes engines, want a refusal", err)
		return ""
	}
	return failure.Refusal.Code
}

// TestRepeatsOfASuspectCallRunOneAfterTheOther guards against copies of a suspect
// call that run at the same time and crash a service each. The copies are sent at
// once through one router, which already knows of the first crash.
func TestRepeatsOfASuspectCallRunOneAfterTheOther(t *testing.T) {
	f := newCallFleet(t)
	caller := f.newCaller()
	caller.options.Quarantine = quarantine.New(quarantine.Options{View: fleetView{fleet: f}, Source: fixedSource{f.set}, Log: zerolog.Nop()})
	route := &object.Route{Name: "verdicts", Path: "/verdicts", Pool: "billing", Idempotent: true}
	request := func() *wirepb.CallRequest {
		return &wirepb.CallRequest{Customer: "limon", Method: "GET", Path: "/verdicts", Body: []byte(poisonText), Idempotent: true}
	}
	caller.options.Quarantine.Suspect(callDigest(request()), 0)
	var group sync.WaitGroup
	for range poisonRepeats {
		group.Go(func() {
			reply, _ := caller.Call(t.Context(), f.set, route, request())
			if reply.Refusal.GetRetryAfterMs() <= 0 {
				t.Errorf("got %v for a call that crashes services, want a refusal with a time to retry", reply)
			}
		})
	}
	group.Wait()
	if n := f.poisonCalls.Load(); n != 1 {
		t.Fatalf("%d services crashed after the first one, want 1", n)
	}
}
