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
	soakEnv       = "GREENGAGE_SOAK"
	randomLength  = 3 * time.Second
	randomCallers = 12
	randomPoisons = 2
)

// proxy is an agent's address that can be cut: its sessions end as when the
// agent's process dies.
type proxy struct {
	address string
	handle  wire.Handler
	mu      sync.Mutex
	stop    func()
}

func (x *proxy) start(t *testing.T) {
	listener, err := net.Listen("tcp", x.address)
	if err != nil {
		t.Error(err)
		return
	}
	x.address = listener.Addr().String()
	server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_RUN, x.handle)
	go func() { _ = server.Serve(listener) }()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop = func() {
		_ = listener.Close()
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(gone)
	}
}

func (x *proxy) cut() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stop()
}

// disturb crashes engines, cuts runs and kills agents until over is closed.
func (p *promptFleet) disturb(random *rand.Rand, over <-chan struct{}) {
	for {
		select {
		case <-over:
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
			e.cutAfter = random.Int64N(promptTokens)
			e.mu.Unlock()
		case 2:
			p.agents[i].cut()
			time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			p.agents[i].start(p.t)
		}
	}
}

// TestRandomisedStreams asserts that under any mix of faults each answer is
// whole, or ends with an explicit refusal, and that poison is convicted.
func TestRandomisedStreams(t *testing.T) {
	length := randomLength
	if soak, err := time.ParseDuration(os.Getenv(soakEnv)); err == nil {
		length = soak
	}
	t.Logf("seed %d", *seed)
	p := newPromptFleet(t, 8, 3)
	over := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { p.disturb(rand.New(rand.NewPCG(*seed, 0)), over) })
	var whole, refused, next atomic.Int64
	for i := range randomCallers {
		random := rand.New(rand.NewPCG(*seed, uint64(i+1)))
		group.Go(func() {
			for !closed(over) {
				digest := uint64(next.Add(1)) + 1000
				answer, end, err := p.prompt(random.IntN(3), digest, "harmless")
				if err == nil {
					whole.Add(1)
					checkWhole(t, answer, end, err)
					continue
				}
				var failure *Failure
				if !errors.As(err, &failure) {
					t.Errorf("no explicit refusal: %v", err)
				}
				refused.Add(1)
				p.checkPart(answer)
			}
		})
	}
	for i := range randomPoisons {
		group.Go(func() { p.sendPoison(uint64(i+1), over) })
	}
	time.Sleep(length)
	close(over)
	group.Wait()
	t.Logf("whole %d, refused %d, engines lost %d", whole.Load(), refused.Load(), crashesOf(p.engines))
	for i := range randomPoisons {
		if state, _ := p.known[0].Lookup(uint64(i + 1)); state != quarantine.StateConvicted {
			t.Errorf("poison %d is not convicted", i+1)
		}
	}
	if whole.Load() < refused.Load() {
		t.Errorf("%d whole answers, %d refused", whole.Load(), refused.Load())
	}
}

// sendPoison sends a request that crashes engines again and again.
func (p *promptFleet) sendPoison(digest uint64, over <-chan struct{}) {
	for i := 0; !closed(over); i++ {
		if _, _, err := p.prompt(i%3, digest, poisonText); err == nil {
			p.t.Error("poison was answered")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkPart fails unless a partial answer is the whole one's beginning.
func (p *promptFleet) checkPart(answer *text) {
	want := ""
	for i := range answer.count {
		want += fmt.Sprintf("%d ", i)
	}
	if answer.String() != want {
		p.t.Errorf("partial answer %q of %d tokens", answer.String(), answer.count)
	}
}

func closed(over <-chan struct{}) bool {
	select {
	case <-over:
		return true
	default:
		return false
	}
}
