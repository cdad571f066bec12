package poison

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/permit"
)

const (
	// maxRuns is the number of upstreams that one request may be sent to.
	maxRuns = 2
	// hotKey is a sound request that many callers send.
	hotKey = Key("hot")
	// trialPause is the pause between two trials of one content.
	trialPause = 1500 * time.Millisecond
	// maxHeldTrials bounds the time for which the copies of a sound request are held back,
	// in pauses between trials: its first trial may be lost with one of the poison.
	maxHeldTrials = 2
	// retriesFrom is the time after the third crash from which on the poison may reach
	// upstreams in maxRetries retries.
	retriesFrom = 3 * time.Second
	maxRetries  = 3
)

// serviceReplay plays a small plain service, whose requests have no parts: the poison is a
// whole request, of which copies reach all gateways.
type serviceReplay struct {
	*replay
	permits  *permit.Manager
	attempts map[*flight]int
	arrivals []time.Duration // of the poison at upstreams
	// hotHeld and hotSent count the copies of the hot request that were held back, and all.
	hotHeld, hotSent int
}

func newServiceReplay(p pattern, seed uint64) *serviceReplay {
	s := &serviceReplay{replay: newReplay(p, seed), attempts: make(map[*flight]int)}
	s.permits = permit.New(permit.Options{Name: "owner", Silences: func() map[string]time.Duration { return nil }, Now: s.now})
	s.resend = func(f *flight) {
		if s.trackers[f.gateway].OnTrial(f.keys) != "" {
			s.announce(f.gateway)
		}
		if attempt := s.attempts[f]; attempt < maxRuns {
			s.sendOnce(f.gateway, f.keys, attempt+1)
		}
	}
	return s
}

// announce sends a gateway's report to all peers at once.
func (s *serviceReplay) announce(gateway int) {
	report := s.trackers[gateway].Report()
	for peer, tracker := range s.trackers {
		if peer != gateway && s.random.Float64() >= lossRatio {
			s.after(s.uniform(time.Millisecond, 30*time.Millisecond), func() { tracker.Apply(report) })
		}
	}
}

// sendOnce sends a request unless no upstream is there or its gateway holds it back.
func (s *serviceReplay) sendOnce(gateway int, keys []Key, attempt int) {
	if !slices.ContainsFunc(s.engines, func(e *replayEngine) bool { return !e.down }) {
		return
	}
	isPoison, tracker := slices.Contains(keys, poisonKey), s.trackers[gateway]
	if keys[0] == hotKey {
		s.hotSent++
	}
	if key, _ := tracker.Convicted(keys); key != "" {
		return
	}
	key := tracker.OnTrial(keys)
	if key != "" {
		decision, err := s.permits.Acquire(context.Background(), permit.Request{Resource: string(key), Interval: trialPause})
		if err != nil || !decision.Granted {
			if keys[0] == hotKey {
				s.hotHeld++
			}
			return
		}
	}
	f := &flight{gateway: gateway, keys: keys}
	engine := s.place(f)
	if engine == nil {
		return
	}
	s.attempts[f] = attempt
	if isPoison {
		s.arrivals = append(s.arrivals, s.time)
		s.after(s.uniform(20*time.Millisecond, 120*time.Millisecond), func() {
			if !f.lost {
				s.crashes = append(s.crashes, s.time)
				s.crash(slices.Index(s.engines, engine))
			}
		})
		return
	}
	s.after(s.uniform(10*time.Millisecond, 30*time.Millisecond), func() {
		if f.lost {
			return
		}
		engine.flights = slices.DeleteFunc(engine.flights, func(other *flight) bool { return other == f })
		tracker.RecordCompletion(keys, f.sentAt)
		if key != "" {
			s.announce(gateway)
		}
	})
}

func (s *serviceReplay) sendNew() {
	key := hotKey
	if s.random.Float64() >= s.pattern.hotRatio {
		s.requests++
		key = Key(fmt.Sprintf("whole%d", s.requests))
	}
	s.sendOnce(s.random.IntN(s.pattern.gateways), []Key{key}, 1)
}

func (s *serviceReplay) runService() {
	s.every(s.pattern.soundInterval, s.sendNew)
	s.after(poisonFrom, func() {
		s.every(s.pattern.poisonInterval, func() { s.sendOnce(s.random.IntN(s.pattern.gateways), []Key{poisonKey}, 1) })
	})
	for gateway := range s.trackers {
		s.after(s.uniform(0, s.pattern.exchangeInterval), func() { s.exchange(gateway) })
	}
	s.observe()
	s.playUntilEnd()
}

// retries returns how often the poison reached upstreams later than the bound.
func (s *serviceReplay) retries() int {
	if len(s.crashes) < 3 {
		return 0
	}
	count := 0
	for _, at := range s.arrivals {
		if at-s.crashes[2] > retriesFrom {
			count++
		}
	}
	return count
}

// A request that crashes all upstreams of a service must hardly be retried, at every size of
// the fleet and however many copies come, although nothing is completed while all are away.
// A sound request that many callers send is neither convicted nor held back for long.
func TestReplayRetriesRequestThatCrashesServiceAtMostThreeTimes(t *testing.T) {
	for _, gateways := range []int{1, 5, 26, 103} {
		for _, copies := range []time.Duration{time.Second, 100 * time.Millisecond, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d_gateways,_a_copy_each_%v", gateways, copies), func(t *testing.T) {
				t.Parallel()
				p := pattern{
					fleetSize: fleetSize{gateways, 3, time.Second / 75, copies, 250 * time.Millisecond},
					stream:    7, hotRatio: 0.2, duration: 20 * time.Second,
				}
				if gateways > 8 {
					p.exchangeInterval = 900 * time.Millisecond
				}
				most, crashes := 0, 0
				for seed := range uint64(max(2, *replaySeeds/4)) {
					s := newServiceReplay(p, seed)
					s.runService()
					if s.retries() > maxRetries {
						t.Errorf("seed %d: the poison reached upstreams %d times later than %v after the third crash, want at most %d; crashes at %v", seed, s.retries(), retriesFrom, maxRetries, s.crashes)
					}
					if len(s.soundFound) > 0 {
						t.Errorf("seed %d: sound requests convicted: %v", seed, s.soundFound)
					}
					if limit := int(maxHeldTrials * trialPause.Seconds() * p.hotRatio / p.soundInterval.Seconds()); s.hotHeld > limit {
						t.Errorf("seed %d: %d of %d copies of a sound request were held back, want at most %d", seed, s.hotHeld, s.hotSent, limit)
					}
					most, crashes = max(most, s.retries()), max(crashes, len(s.crashes))
				}
				t.Logf("at most %d retries after the bound, %d crashes", most, crashes)
			})
		}
	}
}
