package dispatch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

var seed = flag.Uint64("seed", 1, "seed of the randomised run")

const (
	// soakEnv is the environment variable that sets the duration of a longer run, in
	// the form that time.ParseDuration reads.
	soakEnv        = "GREENGAGE_SOAK"
	randomDuration = 3 * time.Second
	randomClients  = 12
	randomPoisons  = 2
)

// restartableAgent serves runs at an address. Stopping it breaks its sessions, as
// the death of an agent's process does; it may then be started again.
type restartableAgent struct {
	address  string
	handle   wire.Handler
	mu       sync.Mutex
	shutdown func()
}

func (a *restartableAgent) start(t *testing.T) {
	listener, err := net.Listen("tcp", a.address)
	if err != nil {
		t.Error(err)
		return
	}
	a.address = listener.Addr().String()
	server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_RUN, a.handle)
	go func() { _ = server.Serve(listener) }()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shutdown = func() {
		_ = listener.Close()
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(canceled)
	}
}

func (a *restartableAgent) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shutdown()
}

// injectFaults crashes engines, breaks off runs and restarts agents at random
// until done is closed.
func (p *promptFleet) injectFaults(random *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.Int64N(int64(600 * time.Millisecond)))):
		}
		i := random.IntN(len(p.engines))
		switch random.IntN(3) {
		case 0:
			p.engines[i].crash()
		case 1:
			e := p.engines[i]
			e.mu.Lock()
			e.cutOffset = random.Int64N(promptTokens)
			e.mu.Unlock()
		case 2:
			p.agents[i].stop()
			time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			p.agents[i].start(p.t)
		}
	}
}

// TestRandomisedStreams guards against answers with gaps or repeats and against
// streams that end without a refusal, under random faults of engines, runs and
// agents. It also checks that contents that crash engines are convicted.
func TestRandomisedStreams(t *testing.T) {
	length := randomDuration
	if soak, err := time.ParseDuration(os.Getenv(soakEnv)); err == nil {
		length = soak
	}
	t.Logf("seed %d", *seed)
	p := newPromptFleet(t, 8, 3)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { p.injectFaults(rand.New(rand.NewPCG(*seed, 0)), done) })
	var complete, refused, prompts atomic.Int64
	for i := range randomClients {
		random := rand.New(rand.NewPCG(*seed, uint64(i+1)))
		group.Go(func() {
			for !isClosed(done) {
				digest := uint64(prompts.Add(1)) + 1000
				got, end, err := p.prompt(random.IntN(3), digest, "harmless")
				if err == nil {
					complete.Add(1)
					checkComplete(t, got, end, err)
					continue
				}
				var failure *Failure
				if !errors.As(err, &failure) {
					t.Errorf("a stream ended without a refusal: %v", err)
				}
				refused.Add(1)
				p.checkPartial(got)
			}
		})
	}
	for i := range randomPoisons {
		group.Go(func() { p.repeatPoison(uint64(i+1), done) })
	}
	time.Sleep(length)
	close(done)
	group.Wait()
	t.Logf("complete %d, refused %d, crashes of engines %d", complete.Load(), refused.Load(), crashCount(p.engines))
	for i := range randomPoisons {
		if state, _ := p.managers[0].Lookup(uint64(i + 1)); state != quarantine.StateConvicted {
			t.Errorf("content %d, which crashes engines, is not convicted", i+1)
		}
	}
	if complete.Load() < refused.Load() {
		t.Errorf("%d answers are complete and %d prompts were refused; want more complete than refused", complete.Load(), refused.Load())
	}
}

// repeatPoison repeats a prompt that crashes engines until done is closed.
func (p *promptFleet) repeatPoison(digest uint64, done <-chan struct{}) {
	for i := 0; !isClosed(done); i++ {
		if _, _, err := p.prompt(i%3, digest, poisonText); err == nil {
			p.t.Error("a prompt that crashes engines was answered")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkPartial checks that an incomplete answer is the beginning of the complete one.
func (p *promptFleet) checkPartial(got *answer) {
	want := ""
	for i := range got.tokens {
		want += fmt.Sprintf("%d ", i)
	}
	if got.String() != want {
		p.t.Errorf("incomplete answer %q of %d tokens", got.String(), got.tokens)
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
