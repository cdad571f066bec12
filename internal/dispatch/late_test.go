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
	// lostLimit is the most engines that one request may crash.
	lostLimit   = 2
	lateRepeats = 20
)

// TestLatePoisonCrashesTwoEngines sends a request that crashes engines after its
// first tokens again and again through three routers, beside innocent ones.
func TestLatePoisonCrashesTwoEngines(t *testing.T) {
	for name, fromStart := range map[string]bool{"tokens of the answer": false, "tokens of each run": true} {
		t.Run(name, func(t *testing.T) {
			p := newPromptFleet(t, 6, 3)
			for _, e := range p.engines {
				e.lateFromStart = fromStart
			}
			var innocents sync.WaitGroup
			p.sendInnocents(&innocents, 24)
			time.Sleep(60 * time.Millisecond)
			codes := make(map[string]int)
			for i := range lateRepeats {
				codes[p.refused(i%3, 7, latePoison)]++
			}
			innocents.Wait()
			lost := crashesOf(p.engines)
			t.Logf("engines lost: %d, answers: %v", lost, codes)
			if lost > lostLimit || codes[string(refusal.Quarantined)] < lateRepeats-2 {
				t.Errorf("engines lost: %d, answers: %v", lost, codes)
			}
		})
	}
}

// TestRepeatsOfASuspectRunOneAfterTheOther sends a poison at once through all
// routers while its first crash is known.
func TestRepeatsOfASuspectRunOneAfterTheOther(t *testing.T) {
	for name, content := range map[string]string{"at its start": poisonText, "after tokens": latePoison} {
		t.Run(name, func(t *testing.T) {
			p := newPromptFleet(t, 6, 3)
			for _, known := range p.known {
				known.Suspect(7, 0)
			}
			p.refusedAtOnce(lateRepeats, content)
			lost := crashesOf(p.engines)
			t.Logf("engines lost after the first: %d", lost)
			if lost > lostLimit-1 {
				t.Errorf("engines lost after the first: %d", lost)
			}
		})
	}
}

// TestTwoPoisonsAtOnceConvictNoInnocent sends a poison that crashes engines at
// its start and a late one at the same time, beside innocent prompts.
func TestTwoPoisonsAtOnceConvictNoInnocent(t *testing.T) {
	p := newPromptFleet(t, 8, 3)
	var all sync.WaitGroup
	p.sendInnocents(&all, 24)
	time.Sleep(60 * time.Millisecond)
	for digest, content := range map[uint64]string{7: poisonText, 8: latePoison} {
		all.Go(func() {
			for i := range lateRepeats {
				p.refused(i%3, digest, content)
			}
		})
	}
	all.Wait()
	lost := crashesOf(p.engines)
	t.Logf("engines lost: %d", lost)
	if lost > 2*lostLimit {
		t.Errorf("engines lost: %d", lost)
	}
}

// TestRunsOfAContentAreRecalledAtItsFirstCrash runs three copies of a poison
// through three routers. Two are held by their engines until they are recalled.
func TestRunsOfAContentAreRecalledAtItsFirstCrash(t *testing.T) {
	p := newPromptFleet(t, 6, 3)
	p.engines[1].stalls, p.engines[2].stalls = true, true
	again := func(context.Context) (Placement, error) {
		return Placement{p.targets[3:], &wirepb.RunRequest{RequestId: "r", Prompt: []byte(latePoison), MaxTokens: promptTokens, Digest: 7}}, nil
	}
	var group sync.WaitGroup
	for i, router := range p.routers {
		group.Go(func() {
			first, _ := again(t.Context())
			first.Candidates = p.targets[i : i+1]
			_, err := router.Run(t.Context(), first, again, new(text))
			var failure *Failure
			if !errors.As(err, &failure) {
				t.Errorf("poison: %v", err)
			}
		})
	}
	group.Wait()
	if lost := crashesOf(p.engines); lost != lostLimit {
		t.Errorf("engines lost: %d", lost)
	}
}

// sendInnocents sends prompts through all routers that must come whole.
func (p *promptFleet) sendInnocents(group *sync.WaitGroup, count int) {
	for i := range count {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			answer, end, err := p.prompt(i%3, uint64(100+i), "harmless")
			checkWhole(p.t, answer, end, err)
		})
	}
}

// refusedAtOnce sends a poison many times at the same instant.
func (p *promptFleet) refusedAtOnce(count int, content string) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { p.refused(i%3, 7, content) })
	}
	group.Wait()
}

// refused sends a poison and returns the code of its refusal.
func (p *promptFleet) refused(router int, digest uint64, content string) string {
	_, _, err := p.prompt(router, digest, content)
	var failure *Failure
	if !errors.As(err, &failure) {
		p.t.Errorf("poison: %v", err)
		return ""
	}
	return failure.Refusal.Code
}

// TestRepeatsOfASuspectCallRunOneAfterTheOther sends a call that crashes
// services at once through one router while its first crash is known.
func TestRepeatsOfASuspectCallRunOneAfterTheOther(t *testing.T) {
	w := newCallFleet(t)
	caller := w.router()
	caller.options.Quarantine = quarantine.New(quarantine.Options{View: view{w: w}, Source: source{w.set}, Log: zerolog.Nop()})
	route := &object.Route{Name: "verdicts", Path: "/verdicts", Pool: "billing", Idempotent: true}
	request := func() *wirepb.CallRequest {
		return &wirepb.CallRequest{Customer: "limon", Method: "GET", Path: "/verdicts", Body: []byte(poisonText), Idempotent: true}
	}
	caller.options.Quarantine.Suspect(callDigest(request()), 0)
	var group sync.WaitGroup
	for range lateRepeats {
		group.Go(func() {
			reply, _ := caller.Call(t.Context(), w.set, route, request())
			if reply.Refusal.GetRetryAfterMs() <= 0 {
				t.Errorf("poison got %v", reply)
			}
		})
	}
	group.Wait()
	if n := w.poisoned.Load(); n != 1 {
		t.Fatalf("crashed %d services after the first", n)
	}
}
