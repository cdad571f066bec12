package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/picker"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/refusal"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

func TestStreamIsResumedWithoutGapOrRepeat(t *testing.T) {
	p := newPromptFleet(t, 3, 1)
	for _, e := range p.engines {
		e.cutAfter = 20
	}
	answer, end, err := p.prompt(0, 1, "prompt")
	checkWhole(t, answer, end, err)
}

func TestPoisonIsConvictedAndInnocentsComplete(t *testing.T) {
	p := newPromptFleet(t, 6, 3)
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			answer, end, err := p.prompt(i%3, uint64(100+i), "harmless")
			checkWhole(t, answer, end, err)
		})
	}
	time.Sleep(60 * time.Millisecond)
	codes := make(map[string]int)
	for i := range 20 {
		_, _, err := p.prompt(i%3, 7, poisonText)
		var failure *Failure
		if !errors.As(err, &failure) || failure.Refusal.RetryAfterMs <= 0 {
			t.Fatalf("poison: %v", err)
		}
		codes[failure.Refusal.Code]++
		if i == 0 && failure.Refusal.Run == wirepb.RunState_RUN_NOT_RUN {
			t.Fatal("a request that ran was told not to have run")
		}
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	lost := crashesOf(p.engines)
	t.Logf("engines lost: %d, answers: %v", lost, codes)
	if lost > 2 {
		t.Fatalf("poison crashed %d engines", lost)
	}
	if codes[string(refusal.Quarantined)] < 18 {
		t.Fatalf("answers: %v", codes)
	}
}

func TestConvictionReachesOtherRouters(t *testing.T) {
	p := newPromptFleet(t, 3, 2)
	p.known[0].Convict(9)
	for range 100 {
		if state, _ := p.known[1].Lookup(9); state == quarantine.StateConvicted {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the second router does not know of the conviction")
}

func TestCrashedEnginesStreamsAreSuspectsUntilTheyComplete(t *testing.T) {
	p := newPromptFleet(t, 4, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		answer, end, err := p.prompt(0, 5, "harmless")
		checkWhole(t, answer, end, err)
	}()
	time.Sleep(15 * tokenPause)
	for _, e := range p.engines {
		e.crash()
	}
	<-ended
	if state, _ := p.known[0].Lookup(5); state != quarantine.StateClear {
		t.Fatalf("state %v after completion", state)
	}
}

func TestStreamThatCannotGoOnEndsWithARefusal(t *testing.T) {
	p := newPromptFleet(t, 2, 1)
	for _, e := range p.engines {
		e.upAt = time.Now().Add(time.Hour)
	}
	_, _, err := p.prompt(0, 1, "prompt")
	var failure *Failure
	if !errors.As(err, &failure) || failure.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("got %v", err)
	}
}

// gone is a caller that leaves after some tokens.
type gone struct{ left int }

func (g *gone) Tokens([]byte, int64) error {
	g.left--
	if g.left < 0 {
		return errors.New("caller closed the connection")
	}
	return nil
}

func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	p := newPromptFleet(t, 1, 1)
	first := Placement{p.targets, &wirepb.RunRequest{RequestId: "r", MaxTokens: promptTokens, Digest: 3}}
	never := func(context.Context) (Placement, error) {
		t.Error("placed again after the caller left")
		return Placement{}, errors.New("no")
	}
	if _, err := p.routers[0].Run(t.Context(), first, never, &gone{left: 5}); !errors.Is(err, errSink) {
		t.Fatalf("got %v", err)
	}
}

func TestPromptWithoutCandidatesIsPlacedAgain(t *testing.T) {
	p := newPromptFleet(t, 1, 1)
	request := &wirepb.RunRequest{RequestId: "r", MaxTokens: promptTokens, Digest: 3}
	rounds := 0
	again := func(context.Context) (Placement, error) {
		rounds++
		if rounds < 3 {
			return Placement{}, fmt.Errorf("place: %w", picker.ErrNoUpstream)
		}
		return Placement{p.targets, request}, nil
	}
	answer := new(text)
	end, err := p.routers[0].Run(t.Context(), Placement{Request: request}, again, answer)
	checkWhole(t, answer, end, err)
}

func TestPromptThatFindsNoUpstreamIsNotRun(t *testing.T) {
	p := newPromptFleet(t, 1, 1)
	request := &wirepb.RunRequest{RequestId: "r", MaxTokens: promptTokens}
	none := func(context.Context) (Placement, error) { return Placement{}, picker.ErrNoUpstream }
	_, err := p.routers[0].Run(t.Context(), Placement{Request: request}, none, new(text))
	var failure *Failure
	if !errors.As(err, &failure) || failure.Refusal.Code != string(refusal.NoUpstream) || failure.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("got %v", err)
	}
	if failure.Refusal.RetryAfterMs <= 0 {
		t.Fatal("not told when to come back")
	}
}

func TestRetryBudgetEndsThePrompt(t *testing.T) {
	p := newPromptFleet(t, 1, 1)
	for p.routers[0].upstreams.Withdraw("e0") {
	}
	request := &wirepb.RunRequest{RequestId: "r", MaxTokens: promptTokens}
	never := func(context.Context) (Placement, error) { return Placement{}, picker.ErrNoUpstream }
	gone := picker.Candidate{Upstream: &object.Upstream{Name: "e0", Address: "127.0.0.1:1"}}
	_, err := p.routers[0].Run(t.Context(), Placement{[]picker.Candidate{gone, p.targets[0]}, request}, never, new(text))
	var failure *Failure
	if !errors.As(err, &failure) || failure.Refusal.Code != string(refusal.RetryBudget) || failure.Refusal.Run != wirepb.RunState_RUN_NOT_RUN {
		t.Fatalf("got %v", err)
	}
}
