package publish

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

// staleAfter is the setting stale_after of the demo's Fleet object.
const staleAfter = 10 * time.Second

// freshCount returns the number of processes at the addresses that are fresh.
func (f *fleet) freshCount(addresses []string) int {
	fresh := 0
	for _, address := range addresses {
		if f.process(address).manager.IsFresh() {
			fresh++
		}
	}
	return fresh
}

// A publication must be reported as not run, and no process may apply it, if the
// store becomes unreachable before the head is read or before the buckets are written.
func TestStoreUnreachableDuringPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		f.store.SetFaults(memstore.Faults{Down: true})
		request := Request{Author: "ana", Changes: []Change{withdrawKey("pilot-1")}}
		result := f.process(routers[0]).publisher.Publish(t.Context(), request)
		if result.Outcome != OutcomeNotRun {
			t.Fatalf("store unreachable before the read of the head: %+v", result)
		}
		f.store.SetFaults(memstore.Faults{})
		f.process(routers[1]).store.beforePut = func(string) { f.store.SetFaults(memstore.Faults{Down: true}) }
		if result = f.process(routers[1]).publisher.Publish(t.Context(), request); result.Outcome != OutcomeNotRun {
			t.Fatalf("store unreachable before the write of the buckets: %+v", result)
		}
		f.store.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Second)
		for address, p := range f.processes {
			if p.manager.Revision() != 1 {
				t.Errorf("%s has revision %d after publications that were not run, want 1", address, p.manager.Revision())
			}
		}
	})
}

// A publication must be accepted exactly once if the store's answers to its
// writes are lost: the writer finds its own nonce in the head.
func TestLostAnswerIsResolvedFromHead(t *testing.T) {
	// A change of one key of the demo writes one bucket and then the head. Only writes
	// that take effect lose their answers, so two answers are lost at most.
	for lost := 1; lost <= 3; lost++ {
		t.Run(fmt.Sprintf("%d answers lost", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, routers := startDemoFleet(t)
				defer f.stopAll()
				f.store.SetFaults(memstore.Faults{LoseAnswers: lost})
				result := f.process(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
				if result.Outcome != OutcomeAccepted || result.Revision != 2 {
					t.Fatalf("%+v", result)
				}
				state, err := f.process(routers[0]).manager.Repository().Head(t.Context())
				if err != nil || state.Revision() != 2 {
					t.Fatalf("head has revision %d, want 2, error %v", state.Revision(), err)
				}
			})
		})
	}
}

// A publication must be reported as unknown, not as not run, if the store becomes
// unreachable after the head was written and the answer to that write is lost.
// Other processes find the publication in the history, and the writer learns of
// its own revision from its peers.
func TestOutageAfterCommitGivesUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		router := f.process(routers[0])
		f.store.SetFaults(memstore.Faults{LoseAnswers: 100})
		router.store.beforePut = func(key string) {
			if key == router.manager.Repository().HeadKey() {
				go router.store.disconnectAfter(time.Millisecond)
			}
		}
		// The answers to the writes of the bucket and of the head are lost.
		f.store.SetFaults(memstore.Faults{LoseAnswers: 2, Latency: 2 * time.Millisecond})
		result := router.publisher.Publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
		if result.Outcome != OutcomeUnknown || result.Nonce == "" {
			t.Fatalf("%+v", result)
		}
		time.Sleep(5 * time.Second)
		state, err := f.process(routers[1]).manager.Repository().Head(t.Context())
		if err != nil || state.Find(result.Nonce) == nil {
			t.Fatalf("head does not have the nonce of the publication, error %v", err)
		}
		if revision := router.manager.Revision(); revision != 2 {
			t.Fatalf("writer has revision %d, want 2", revision)
		}
	})
}

// disconnectAfter blocks for d and then makes the store unreachable.
func (s *processStore) disconnectAfter(d time.Duration) {
	time.Sleep(d)
	s.setUnreachable(true)
}

// A process that cannot reach the store but can reach its peers must stay fresh
// and receive new revisions from them.
func TestProcessWithoutStoreLearnsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		f.process(routers[2]).store.setUnreachable(true)
		time.Sleep(time.Minute)
		if !f.process(routers[2]).manager.IsFresh() {
			t.Fatal("router without the store is stale although its peers reach the store")
		}
		f.process(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
		time.Sleep(time.Second)
		if revision := f.process(routers[2]).manager.Revision(); revision != 2 {
			t.Fatalf("router without the store has revision %d, want 2", revision)
		}
	})
}

// Routers must stay fresh on the statements of the witnesses while the store is
// unreachable for all processes, even if a minority of the witnesses is stopped. No
// revision can be published during that time.
func TestStoreOutageKeepsRoutersFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		f.store.SetFaults(memstore.Faults{Down: true})
		f.stop(demoAgents[0], demoAgents[1])
		for second := range 120 {
			time.Sleep(time.Second)
			if fresh := f.freshCount(routers); fresh != len(routers) {
				t.Fatalf("%d of %d routers are fresh %d s after the store became unreachable", fresh, len(routers), second+1)
			}
		}
	})
}

// Routers must not become stale when a new revision is published after an outage of
// the store. During the outage they stay fresh on the statements of the witnesses
// about the old revision; for the new one there are no statements yet.
func TestPublicationAfterAnOutageKeepsRoutersFresh(t *testing.T) {
	tests := []struct {
		name string
		// faultsAfterPublish are the store's faults after the publication is accepted.
		faultsAfterPublish memstore.Faults
	}{
		{"the store is back", memstore.Faults{}},
		{"the store is back only during the publication", memstore.Faults{Down: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, routers := startDemoFleet(t)
				defer f.stopAll()
				f.store.SetFaults(memstore.Faults{Down: true})
				time.Sleep(time.Minute)
				f.store.SetFaults(memstore.Faults{})
				result := f.process(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
				if result.Outcome != OutcomeAccepted {
					t.Fatalf("%+v", result)
				}
				f.store.SetFaults(test.faultsAfterPublish)
				accepted := time.Now()
				for time.Since(accepted) < time.Minute {
					if fresh := f.freshCount(routers); fresh != len(routers) {
						t.Fatalf("%d of %d routers are fresh %s after the publication", fresh, len(routers), time.Since(accepted))
					}
					time.Sleep(linkDelay)
				}
				if revision := f.process(routers[2]).manager.Revision(); revision != 2 {
					t.Fatalf("router has revision %d, want 2", revision)
				}
			})
		})
	}
}

// A group of processes that reaches neither the store nor the other processes
// cannot learn of a new revision. If the publication is accepted outside, the
// routers of the group must be stale when staleAfter has passed. If the group
// has most of the witnesses and may stay fresh, the publication must not run.
func TestIsolatedGroupsFailClosed(t *testing.T) {
	tests := []struct {
		name    string
		routers int
		agents  int
		// wantOutcome is the outcome of a publication outside the group, "" if it
		// is not checked, because either half of the agents may have the majority of
		// the witnesses.
		wantOutcome Outcome
	}{
		{"one router alone", 1, 0, OutcomeAccepted},
		{"two routers that reach each other", 2, 0, OutcomeAccepted},
		{"a router and two agents", 1, 2, OutcomeAccepted},
		{"a router and half of the agents", 1, 3, ""},
		{"a router and most agents", 1, 4, OutcomeNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, routers := startDemoFleet(t)
				defer f.stopAll()
				isolated := append(append([]string(nil), routers[:test.routers]...), demoAgents[:test.agents]...)
				f.setPartition(1, isolated...)
				for _, address := range isolated {
					f.process(address).store.setUnreachable(true)
				}
				request := Request{Changes: []Change{withdrawKey("pilot-1")}}
				result := f.process(routers[2]).publisher.Publish(t.Context(), request)
				accepted := time.Now()
				time.Sleep(staleAfter)
				anyFresh := f.freshCount(routers[:test.routers]) > 0
				if result.Outcome == OutcomeAccepted && anyFresh {
					t.Fatalf("a router that cannot have received revision 2 is fresh %s after its publication", time.Since(accepted))
				}
				if test.wantOutcome != "" && result.Outcome != test.wantOutcome {
					t.Fatalf("%+v", result)
				}
				f.setPartition(0, isolated...)
				time.Sleep(5 * time.Second)
				if fresh := f.freshCount(routers); fresh != len(routers) {
					t.Fatalf("%d routers are fresh after the partition was removed, want all", fresh)
				}
			})
		})
	}
}
