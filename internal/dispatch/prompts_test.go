package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// TestStreamIsResumedWithoutGapOrRepeat guards against lost or repeated tokens when
// runs break off without a crash of the engine.
func TestStreamIsResumedWithoutGapOrRepeat(t *testing.T) {
	p := newPromptFleet(t, 3, 1)
	for _, e := range p.engines {
		e.cutOffset = 20
	}
	got, end, err := p.prompt(0, 1, "prompt")
	checkComplete(t, got, end, err)
}

// TestErrorEventIsNoEndOfStream guards against an answer that is passed on as complete although
// the engine ended its run with an error event, or with an end that does not count the tokens.
func TestErrorEventIsNoEndOfStream(t *testing.T) {
	for name, event := range map[string]engine.RunEvent{
		"error event":        {Type: "error"},
		"event without type": {},
		"end without count":  {Type: engine.EventEnd},
		"end at fewer":       {Type: engine.EventEnd, CompletionTokens: 7},
		"end at more":        {Type: engine.EventEnd, CompletionTokens: 700},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPromptFleet(t, 3, 1)
			for _, e := range p.engines {
				e.cutOffset, e.cutEvent = 20, &event
			}
			got, end, err := p.prompt(0, 1, "prompt")
			checkComplete(t, got, end, err)
		})
	}
}

// TestPoisonIsConvictedAndInnocentsComplete guards against a prompt that crashes
// more than two engines when it is repeated, and against harmless prompts that
// fail because they were in flight at its crashes.
func TestPoisonIsConvictedAndInnocentsComplete(t *testing.T) {
	p := newPromptFleet(t, 6, 3)
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			got, end, err := p.prompt(i%3, uint64(100+i), "harmless")
			checkComplete(t, got, end, err)
		})
	}
	time.Sleep(60 * time.Millisecond)
	codes := make(map[string]int)
	for i := range 20 {
		_, _, err := p.prompt(i%3, 7, poisonText)
		var failure *Failure
		if !errors.As(err, &failure) || failure.Refusal.RetryAfterMs <= 0 {
			t.Fatalf("got error %v for a prompt that crashes engines, want a refusal with a time to retry", err)
		}
		codes[failure.Refusal.Code]++
		if i == 0 && failure.Refusal.Run == wirepb.RunState_RUN_NOT_RUN {
			t.Fatal("a prompt that ran was reported as not run")
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	crashes := crashCount(p.engines)
	t.Logf("crashes of engines: %d, refusals by code: %v", crashes, codes)
	if crashes > 2 {
		t.Fatalf("the prompt crashed %d engines, want at most 2", crashes)
	}
	if codes[string(refusal.Quarantined)] < 18 {
		t.Fatalf("refusals by code: %v, want at least 18 quarantined", codes)
	}
}

// TestConvictionReachesOtherRouters guards against a conviction that only the router
// that made it applies.
func TestConvictionReachesOtherRouters(t *testing.T) {
	p := newPromptFleet(t, 3, 2)
	p.managers[0].Convict(9)
	for range 100 {
		if state, _ := p.managers[1].Lookup(9); state == quarantine.StateConvicted {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the second router did not receive the conviction")
}

// TestSuspectIsClearedWhenItCompletes guards against a harmless prompt that stays
// suspect after it was in flight at a crash and then completed on another engine.
func TestSuspectIsClearedWhenItCompletes(t *testing.T) {
	p := newPromptFleet(t, 4, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		got, end, err := p.prompt(0, 5, "harmless")
		checkComplete(t, got, end, err)
	}()
	time.Sleep(15 * tokenInterval)
	for _, e := range p.engines {
		e.crash()
	}
	<-ended
	if state, _ := p.managers[0].Lookup(5); state != quarantine.StateClear {
		t.Fatalf("the state of a completed prompt is %v, want clear", state)
	}
}

// TestPromptEndsWithRefusalIfAllEnginesAreUnreachable guards against a prompt that
// is retried without end, or reported as run, while no engine accepts a run.
func TestPromptEndsWithRefusalIfAllEnginesAreUnreachable(t *testing.T) {
	p := newPromptFleet(t, 2, 1)
	for _, e := range p.engines {
		e.availableAt = time.Now().Add(time.Hour)
	}
	_, _, err := p.prompt(0, 1, "prompt")
	var failure *Failure
	if !errors.As(err, &failure) || failure.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("error %v, want a refusal with the state not run", err)
	}
}

// disconnectingSink is a caller that accepts a number of deliveries and then
// disconnects.
type disconnectingSink struct{ remaining int }

func (s *disconnectingSink) Tokens([]byte, int64) error {
	s.remaining--
	if s.remaining < 0 {
		return errors.New("caller closed the connection")
	}
	return nil
}

// TestCallerThatDisconnectsEndsTheRun guards against a prompt that is placed again
// after its caller has disconnected.
func TestCallerThatDisconnectsEndsTheRun(t *testing.T) {
	p := newPromptFleet(t, 1, 1)
	first := Placement{p.candidates, &wirepb.RunRequest{RequestId: "r", MaxTokens: promptTokens, Digest: 3}}
	unexpected := func(context.Context) (Placement, error) {
		t.Error("the prompt was placed again after the caller disconnected")
		return Placement{}, errors.New("no")
	}
	if _, err := p.routers[0].Run(t.Context(), first, unexpected, &disconnectingSink{remaining: 5}); !errors.Is(err, errSink) {
		t.Fatalf("error %v, want the error of the sink", err)
	}
}

// TestPromptWithoutCandidatesIsPlacedAgain guards against a prompt that is refused
// at once because a placement had no candidates for a short time.
func TestPromptWithoutCandidatesIsPlacedAgain(t *testing.T) {
	p := newPromptFleet(t, 1, 1)
	request := &wirepb.RunRequest{RequestId: "r", MaxTokens: promptTokens, Digest: 3}
	rounds := 0
	placeAgain := func(context.Context) (Placement, error) {
		rounds++
		if rounds < 3 {
			return Placement{}, fmt.Errorf("place: %w", picker.ErrNoUpstream)
		}
		return Placement{p.candidates, request}, nil
	}
	got := new(answer)
	end, err := p.routers[0].Run(t.Context(), Placement{Request: request}, placeAgain, got)
	checkComplete(t, got, end, err)
}

// TestPromptThatFindsNoUpstreamIsNotRun guards against a prompt that is reported as
// possibly run, or refused without a time to retry, although no upstream was found.
func TestPromptThatFindsNoUpstreamIsNotRun(t *testing.T) {
	p := newPromptFleet(t, 1, 1)
	request := &wirepb.RunRequest{RequestId: "r", MaxTokens: promptTokens}
	noUpstream := func(context.Context) (Placement, error) { return Placement{}, picker.ErrNoUpstream }
	_, err := p.routers[0].Run(t.Context(), Placement{Request: request}, noUpstream, new(answer))
	var failure *Failure
	if !errors.As(err, &failure) || failure.Refusal.Code != string(refusal.NoUpstream) || failure.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("error %v, want a refusal for lack of an upstream with the state not run", err)
	}
	if failure.Refusal.RetryAfterMs <= 0 {
		t.Fatal("the refusal has no time to retry")
	}
}

// TestRetryBudgetEndsThePrompt guards against retries that add to the load of an
// upstream whose retry budget is used up. The first candidate is unreachable, and
// the budget does not allow the attempt at the second one.
func TestRetryBudgetEndsThePrompt(t *testing.T) {
	p := newPromptFleet(t, 1, 1)
	for p.routers[0].upstreamBudgets.Spend("e0") {
	}
	request := &wirepb.RunRequest{RequestId: "r", MaxTokens: promptTokens}
	noUpstream := func(context.Context) (Placement, error) { return Placement{}, picker.ErrNoUpstream }
	unreachable := picker.Candidate{Upstream: &object.Upstream{Name: "e0", Address: "127.0.0.1:1"}}
	_, err := p.routers[0].Run(t.Context(), Placement{[]picker.Candidate{unreachable, p.candidates[0]}, request}, noUpstream, new(answer))
	var failure *Failure
	if !errors.As(err, &failure) || failure.Refusal.Code != string(refusal.RetryBudget) || failure.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("error %v, want a refusal for the retry budget with the state not run", err)
	}
}
