package publish

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/greengagegate/greengagegate/store/memstore"
)

const (
	// soakVariable is the environment's variable with the duration of a long run.
	soakVariable = "GREENGAGE_SOAK"
	// seedVariable is the environment's variable with the first seed.
	seedVariable = "GREENGAGE_SEED"

	shortRounds   = 2
	soakSteps     = 150
	healingTime   = time.Minute
	porcupineTime = 20 * time.Second
)

// TestRandomFaults publishes, reads, cuts, stops and restarts at random, and
// asserts that no process that claims to be fresh lacks an old publication, that
// revisions never fall, and that the history is linearizable.
func TestRandomFaults(t *testing.T) {
	seed := uint64(1)
	if text := os.Getenv(seedVariable); text != "" {
		seed, _ = strconv.ParseUint(text, 10, 64)
	}
	duration, _ := time.ParseDuration(os.Getenv(soakVariable))
	start := time.Now()
	for round := 0; round < shortRounds || time.Since(start) < duration; round++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSoak(t, seed).run() })
		})
		if t.Failed() {
			t.Fatalf("repeat with %s=%d", seedVariable, seed)
		}
		seed++
	}
}

// soak is one randomised run.
type soak struct {
	t       *testing.T
	random  *rand.Rand
	fleet   *fleet
	routers []string
	began   time.Time
	tasks   sync.WaitGroup

	mu         sync.Mutex
	operations []porcupine.Operation
	accepted   []acceptance
	seen       map[*process]uint64
}

// acceptance is a publication and the moment at which its writer knew of it.
type acceptance struct {
	revision uint64
	nonce    string
	at       time.Time
}

func newSoak(t *testing.T, seed uint64) *soak {
	f, routers := demoFleet(t)
	return &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), fleet: f, routers: routers,
		began: time.Now(), seen: make(map[*process]uint64),
	}
}

func (s *soak) run() {
	defer s.fleet.stopAll()
	for range soakSteps {
		s.step()
		s.check()
		time.Sleep(time.Duration(s.random.IntN(3000)) * time.Millisecond)
		s.check()
	}
	s.heal()
	s.tasks.Wait()
	time.Sleep(healingTime)
	s.check()
	s.checkHealed()
	s.checkHistory()
}

// all returns the addresses of all processes, running or not.
func (s *soak) all() []string { return append(append([]string(nil), s.routers...), demoAgents...) }

func (s *soak) any(addresses []string) string { return addresses[s.random.IntN(len(addresses))] }

// step makes one random event.
func (s *soak) step() {
	switch s.random.IntN(18) {
	case 0, 1, 2, 3, 12:
		s.publish()
		if s.random.IntN(2) == 0 {
			s.publish()
		}
	case 4:
		s.read()
	case 13, 14:
		s.heal()
	case 15, 16:
		s.fleet.store.SetFaults(memstore.Faults{})
	case 17:
		s.pauseWrites()
	case 5:
		s.fleet.store.SetFaults(memstore.Faults{Down: true})
	case 6:
		s.fleet.store.SetFaults(memstore.Faults{LoseAnswers: s.random.IntN(4), Latency: time.Duration(s.random.IntN(20)) * time.Millisecond})
	case 7:
		if p := s.fleet.at(s.any(s.all())); p != nil {
			p.gate.setCut(s.random.IntN(2) == 0)
		}
	case 8:
		s.split()
	case 9:
		s.fleet.setSide(0, s.all()...)
	case 10:
		s.restartRouters()
	case 11:
		s.restartOne()
	}
}

// split cuts a random group off from the others, and sometimes from the store.
func (s *soak) split() {
	noStore := s.random.IntN(2) == 0
	for _, address := range s.all() {
		if s.random.IntN(3) > 0 {
			continue
		}
		s.fleet.setSide(1, address)
		if p := s.fleet.at(address); p != nil && noStore {
			p.gate.setCut(true)
		}
	}
}

// restartRouters restarts all routers at once.
func (s *soak) restartRouters() {
	s.fleet.stop(s.routers...)
	time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	s.fleet.start(s.routers...)
}

func (s *soak) restartOne() {
	address := s.any(s.all())
	s.fleet.stop(address)
	time.Sleep(time.Duration(s.random.IntN(2000)) * time.Millisecond)
	s.fleet.start(address)
}

// pauseWrites holds up the next write of one process, past any of its own checks.
func (s *soak) pauseWrites() {
	p := s.fleet.at(s.any(s.routers))
	pause := time.Duration(s.random.IntN(60)) * time.Second
	p.gate.setBeforePut(func(string) {
		p.gate.setBeforePut(nil)
		time.Sleep(pause)
	})
}

func (s *soak) heal() {
	s.fleet.setSide(0, s.all()...)
	s.fleet.store.SetFaults(memstore.Faults{})
	for _, address := range s.all() {
		if s.fleet.at(address) == nil {
			s.fleet.start(address)
		}
		s.fleet.at(address).gate.setCut(false)
	}
}

// check asserts what holds at any moment.
func (s *soak) check() {
	now := time.Now()
	for _, address := range s.all() {
		p := s.fleet.at(address)
		if p == nil {
			continue
		}
		fresh, revision := p.manager.Fresh(), p.manager.Revision()
		if revision < s.seen[p] {
			s.t.Fatalf("%s fell from revision %d to %d", address, s.seen[p], revision)
		}
		s.seen[p] = revision
		s.checkFresh(address, fresh, revision, now)
	}
}

// checkFresh asserts that a fresh process knows what was accepted StaleAfter ago.
func (s *soak) checkFresh(address string, fresh bool, revision uint64, now time.Time) {
	if !fresh {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accepted {
		if a.revision > revision && now.Sub(a.at) > staleAfter {
			s.t.Fatalf("%s is fresh with revision %d, %s after revision %d was accepted",
				address, revision, now.Sub(a.at), a.revision)
		}
	}
}

// checkHealed asserts that all processes agree once all faults are over.
func (s *soak) checkHealed() {
	state, err := s.fleet.at(s.routers[0]).manager.Repository().Head(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	for _, address := range s.all() {
		manager := s.fleet.at(address).manager
		if manager.Revision() != state.Revision() || !manager.Fresh() {
			s.t.Errorf("%s: revision %d of %d, fresh %t", address, manager.Revision(), state.Revision(), manager.Fresh())
		}
	}
}
