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
	// soakEnv is the environment variable with the duration of a soak test, such
	// as "10m". Without it, the test runs minRounds rounds.
	soakEnv = "GREENGAGE_SOAK"
	// seedEnv is the environment variable with the seed of the first round.
	seedEnv = "GREENGAGE_SEED"

	minRounds      = 2
	eventsPerRound = 150
	// recoveryTime is the time after the end of all faults within which all
	// processes must be fresh and have the head's revision.
	recoveryTime                = time.Minute
	linearizabilityCheckTimeout = 20 * time.Second
)

// TestRandomFaults publishes and reads while it partitions the network, fails the
// store and restarts processes at random. It asserts that a fresh process never
// lacks a publication that was accepted more than staleAfter ago, that the
// revision of a process never decreases, and that the history is linearizable.
func TestRandomFaults(t *testing.T) {
	seed := uint64(1)
	if text := os.Getenv(seedEnv); text != "" {
		seed, _ = strconv.ParseUint(text, 10, 64)
	}
	duration, _ := time.ParseDuration(os.Getenv(soakEnv))
	start := time.Now()
	for round := 0; round < minRounds || time.Since(start) < duration; round++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSoak(t, seed).run() })
		})
		if t.Failed() {
			t.Fatalf("to reproduce this failure, set %s=%d", seedEnv, seed)
		}
		seed++
	}
}

// soak is one round of TestRandomFaults.
type soak struct {
	t         *testing.T
	random    *rand.Rand
	fleet     *fleet
	routers   []string
	startTime time.Time
	tasks     sync.WaitGroup

	mu                   sync.Mutex
	operations           []porcupine.Operation
	acceptedPublications []acceptedPublication
	lastRevision         map[*process]uint64
}

// acceptedPublication is a publication and the time at which its writer learned
// that it was accepted.
type acceptedPublication struct {
	revision uint64
	nonce    string
	at       time.Time
}

func newSoak(t *testing.T, seed uint64) *soak {
	f, routers := startDemoFleet(t)
	return &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), fleet: f, routers: routers,
		startTime: time.Now(), lastRevision: make(map[*process]uint64),
	}
}

func (s *soak) run() {
	defer s.fleet.stopAll()
	for range eventsPerRound {
		s.injectRandomEvent()
		s.checkInvariants()
		time.Sleep(time.Duration(s.random.IntN(3000)) * time.Millisecond)
		s.checkInvariants()
	}
	s.clearFaults()
	s.tasks.Wait()
	time.Sleep(recoveryTime)
	s.checkInvariants()
	s.checkConverged()
	s.checkHistory()
}

// allAddresses returns the addresses of all processes, running or not.
func (s *soak) allAddresses() []string {
	return append(append([]string(nil), s.routers...), demoAgents...)
}

// pick returns one of the addresses or names at random.
func (s *soak) pick(addresses []string) string { return addresses[s.random.IntN(len(addresses))] }

// injectRandomEvent starts a random operation, or injects or clears a random fault.
func (s *soak) injectRandomEvent() {
	switch s.random.IntN(18) {
	case 0, 1, 2, 3, 12:
		s.publishRandom()
		if s.random.IntN(2) == 0 {
			s.publishRandom()
		}
	case 4:
		s.readRandom()
	case 13, 14:
		s.clearFaults()
	case 15, 16:
		s.fleet.store.SetFaults(memstore.Faults{})
	case 17:
		s.pauseWrites()
	case 5:
		s.fleet.store.SetFaults(memstore.Faults{Down: true})
	case 6:
		s.fleet.store.SetFaults(memstore.Faults{LoseAnswers: s.random.IntN(4), Latency: time.Duration(s.random.IntN(20)) * time.Millisecond})
	case 7:
		if p := s.fleet.process(s.pick(s.allAddresses())); p != nil {
			p.store.setUnreachable(s.random.IntN(2) == 0)
		}
	case 8:
		s.isolateRandomGroup()
	case 9:
		s.fleet.setPartition(0, s.allAddresses()...)
	case 10:
		s.restartRouters()
	case 11:
		s.restartProcess()
	}
}

// isolateRandomGroup moves random processes to a partition of their own and, in
// half of the cases, disconnects them from the store too.
func (s *soak) isolateRandomGroup() {
	withoutStore := s.random.IntN(2) == 0
	for _, address := range s.allAddresses() {
		if s.random.IntN(3) > 0 {
			continue
		}
		s.fleet.setPartition(1, address)
		if p := s.fleet.process(address); p != nil && withoutStore {
			p.store.setUnreachable(true)
		}
	}
}

// restartRouters restarts all routers at once, after up to half a second.
func (s *soak) restartRouters() {
	s.fleet.stop(s.routers...)
	time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	s.fleet.startAll(s.routers...)
}

// restartProcess restarts one random process after up to two seconds.
func (s *soak) restartProcess() {
	address := s.pick(s.allAddresses())
	s.fleet.stop(address)
	time.Sleep(time.Duration(s.random.IntN(2000)) * time.Millisecond)
	s.fleet.startAll(address)
}

// pauseWrites delays the next write of one router, of a bucket or of the head, by
// up to a minute.
func (s *soak) pauseWrites() {
	p := s.fleet.process(s.pick(s.routers))
	pause := time.Duration(s.random.IntN(60)) * time.Second
	p.store.setBeforePut(func(string) {
		p.store.setBeforePut(nil)
		time.Sleep(pause)
	})
}

// clearFaults removes all partitions and faults of the store, connects all
// processes to it and starts those that are stopped.
func (s *soak) clearFaults() {
	s.fleet.setPartition(0, s.allAddresses()...)
	s.fleet.store.SetFaults(memstore.Faults{})
	for _, address := range s.allAddresses() {
		if s.fleet.process(address) == nil {
			s.fleet.startAll(address)
		}
		s.fleet.process(address).store.setUnreachable(false)
	}
}

// checkInvariants asserts for each running process that its revision has not
// decreased and that it is fresh only if it may be.
func (s *soak) checkInvariants() {
	now := time.Now()
	for _, address := range s.allAddresses() {
		p := s.fleet.process(address)
		if p == nil {
			continue
		}
		fresh, revision := p.manager.IsFresh(), p.manager.Revision()
		if revision < s.lastRevision[p] {
			s.t.Fatalf("revision of %s decreased from %d to %d", address, s.lastRevision[p], revision)
		}
		s.lastRevision[p] = revision
		s.checkFreshness(address, fresh, revision, now)
	}
}

// checkFreshness asserts that a fresh process has every publication that was
// accepted more than staleAfter ago.
func (s *soak) checkFreshness(address string, fresh bool, revision uint64, now time.Time) {
	if !fresh {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.acceptedPublications {
		if a.revision > revision && now.Sub(a.at) > staleAfter {
			s.t.Fatalf("%s is fresh with revision %d, %s after revision %d was accepted",
				address, revision, now.Sub(a.at), a.revision)
		}
	}
}

// checkConverged asserts that all processes are fresh and have the head's
// revision.
func (s *soak) checkConverged() {
	state, err := s.fleet.process(s.routers[0]).manager.Repository().Head(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	for _, address := range s.allAddresses() {
		manager := s.fleet.process(address).manager
		if manager.Revision() != state.Revision() || !manager.IsFresh() {
			s.t.Errorf("%s has revision %d, head has revision %d, fresh %t", address, manager.Revision(), state.Revision(), manager.IsFresh())
		}
	}
}
