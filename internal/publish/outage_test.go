package publish

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/store/memstore"
)

// staleAfter is Fleet.stale_after of the demo's set.
const staleAfter = 10 * time.Second

// freshness counts the processes at the addresses that are fresh.
func (f *fleet) freshness(addresses []string) int {
	fresh := 0
	for _, address := range addresses {
		if f.at(address).manager.Fresh() {
			fresh++
		}
	}
	return fresh
}

func TestStoreDownDuringPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		f.store.SetFaults(memstore.Faults{Down: true})
		request := Request{Author: "ana", Changes: []Change{withdraw("pilot-1")}}
		result := f.at(routers[0]).publisher.Publish(t.Context(), request)
		if result.Outcome != OutcomeNotRun {
			t.Fatalf("before the head is read: %+v", result)
		}
		f.store.SetFaults(memstore.Faults{})
		f.at(routers[1]).gate.beforePut = func(string) { f.store.SetFaults(memstore.Faults{Down: true}) }
		if result = f.at(routers[1]).publisher.Publish(t.Context(), request); result.Outcome != OutcomeNotRun {
			t.Fatalf("before the buckets are written: %+v", result)
		}
		f.store.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Second)
		for address, p := range f.processes {
			if p.manager.Revision() != 1 {
				t.Errorf("%s: revision %d after refused publications", address, p.manager.Revision())
			}
		}
	})
}

func TestLostAnswerIsSettledByTheHead(t *testing.T) {
	// The demo's change of one key writes one bucket and then the head.
	for lost := 1; lost <= 3; lost++ {
		t.Run(fmt.Sprintf("%d answers lost", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, routers := demoFleet(t)
				defer f.stopAll()
				f.store.SetFaults(memstore.Faults{LoseAnswers: lost})
				result := f.at(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
				if result.Outcome != OutcomeAccepted || result.Revision != 2 {
					t.Fatalf("%+v", result)
				}
				state, err := f.at(routers[0]).manager.Repository().Head(t.Context())
				if err != nil || state.Revision() != 2 {
					t.Fatalf("revision %d, %v", state.Revision(), err)
				}
			})
		})
	}
}

func TestOutageAfterCommitIsUnknownNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		router := f.at(routers[0])
		f.store.SetFaults(memstore.Faults{LoseAnswers: 100})
		router.gate.beforePut = func(key string) {
			if key == router.manager.Repository().HeadKey() {
				go router.gate.setCutAfter(time.Millisecond)
			}
		}
		f.store.SetFaults(memstore.Faults{LoseAnswers: 2, Latency: 2 * time.Millisecond})
		result := router.publisher.Publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
		if result.Outcome != OutcomeUnknown || result.Nonce == "" {
			t.Fatalf("%+v", result)
		}
		time.Sleep(5 * time.Second)
		state, err := f.at(routers[1]).manager.Repository().Head(t.Context())
		if err != nil || state.Find(result.Nonce) == nil {
			t.Fatalf("the history must tell: %v", err)
		}
		if revision := router.manager.Revision(); revision != 2 {
			t.Fatalf("the writer itself has revision %d", revision)
		}
	})
}

func (g *gate) setCutAfter(d time.Duration) {
	time.Sleep(d)
	g.setCut(true)
}

func TestCutOffFromTheStoreAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		f.at(routers[2]).gate.setCut(true)
		time.Sleep(time.Minute)
		if !f.at(routers[2]).manager.Fresh() {
			t.Fatal("peers have evidence from the store")
		}
		f.at(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
		time.Sleep(time.Second)
		if revision := f.at(routers[2]).manager.Revision(); revision != 2 {
			t.Fatalf("revision %d", revision)
		}
	})
}

func TestStoreDownForAllIsNotStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		f.store.SetFaults(memstore.Faults{Down: true})
		f.stop(demoAgents[0], demoAgents[1])
		for second := range 120 {
			time.Sleep(time.Second)
			if fresh := f.freshness(routers); fresh != len(routers) {
				t.Fatalf("%d of %d routers fresh after %d s", fresh, len(routers), second+1)
			}
		}
	})
}

// Routers that only the witnesses have kept fresh stay so through a new revision.
func TestPublicationAfterAnOutageKeepsRoutersFresh(t *testing.T) {
	tests := []struct {
		name string
		// after are the store's faults once the publication is accepted.
		after memstore.Faults
	}{
		{"the store is back", memstore.Faults{}},
		{"the store is back for the publication alone", memstore.Faults{Down: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, routers := demoFleet(t)
				defer f.stopAll()
				f.store.SetFaults(memstore.Faults{Down: true})
				time.Sleep(time.Minute)
				f.store.SetFaults(memstore.Faults{})
				result := f.at(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
				if result.Outcome != OutcomeAccepted {
					t.Fatalf("%+v", result)
				}
				f.store.SetFaults(test.after)
				accepted := time.Now()
				for time.Since(accepted) < time.Minute {
					if fresh := f.freshness(routers); fresh != len(routers) {
						t.Fatalf("%d of %d routers fresh %s after the publication", fresh, len(routers), time.Since(accepted))
					}
					time.Sleep(linkDelay)
				}
				if revision := f.at(routers[2]).manager.Revision(); revision != 2 {
					t.Fatalf("revision %d", revision)
				}
			})
		})
	}
}

func TestCutOffGroupsFailClosed(t *testing.T) {
	tests := []struct {
		name    string
		routers int
		agents  int
		// want is the outcome of a publication on the other side, "" where either may be.
		want Outcome
	}{
		{"one router alone", 1, 0, OutcomeAccepted},
		{"two routers that hear each other", 2, 0, OutcomeAccepted},
		{"a router and two agents", 1, 2, OutcomeAccepted},
		{"a router and half of the agents", 1, 3, ""},
		{"a router and most agents", 1, 4, OutcomeNotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, routers := demoFleet(t)
				defer f.stopAll()
				cut := append(append([]string(nil), routers[:test.routers]...), demoAgents[:test.agents]...)
				f.setSide(1, cut...)
				for _, address := range cut {
					f.at(address).gate.setCut(true)
				}
				request := Request{Changes: []Change{withdraw("pilot-1")}}
				result := f.at(routers[2]).publisher.Publish(t.Context(), request)
				accepted := time.Now()
				time.Sleep(staleAfter)
				mayServe := f.freshness(routers[:test.routers]) > 0
				if result.Outcome == OutcomeAccepted && mayServe {
					t.Fatalf("a router that cannot know of revision 2 is fresh %s after it was accepted", time.Since(accepted))
				}
				if test.want != "" && result.Outcome != test.want {
					t.Fatalf("%+v", result)
				}
				f.setSide(0, cut...)
				time.Sleep(5 * time.Second)
				if fresh := f.freshness(routers); fresh != len(routers) {
					t.Fatalf("%d routers fresh after the cut healed", fresh)
				}
			})
		})
	}
}
