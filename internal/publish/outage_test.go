package publish

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
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

func TestHerdRestartWithStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		f.at(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
		time.Sleep(time.Second)
		f.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Minute)
		f.stop(routers...)
		time.Sleep(time.Second)
		f.start(routers...)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for _, router := range routers {
			manager := f.at(router).manager
			if err := manager.Loaded(ctx); err != nil {
				t.Fatalf("%s has no set: %v", router, err)
			}
			if manager.Revision() != 2 || manager.Current().KeyFor("demo-pilot-key").State != object.KeyWithdrawn {
				t.Fatalf("%s reverted to revision %d", router, manager.Revision())
			}
		}
		time.Sleep(time.Second)
		if fresh := f.freshness(routers); fresh != len(routers) {
			t.Fatalf("%d routers fresh a second after they had a set", fresh)
		}
	})
}

// A herd with live peers reads heads, not the buckets of the whole set.
func TestHerdRestartSparesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		f.stop(routers...)
		before := f.store.Counts()
		f.start(routers...)
		time.Sleep(time.Second)
		if fresh := f.freshness(routers); fresh != len(routers) {
			t.Fatalf("%d routers fresh after a second", fresh)
		}
		// Each reads one head to load; the one that watches for its zone reads two more.
		if reads := f.store.Counts().Reads - before.Reads; reads > int64(4*len(routers)) {
			t.Fatalf("%d reads of the store by %d routers", reads, len(routers))
		}
	})
}

func TestStalePeerDoesNotRevert(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		old := demoAgents[5]
		f.setSide(1, old)
		f.at(old).gate.setCut(true)
		f.at(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
		f.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Minute)
		if revision := f.at(old).manager.Revision(); revision != 1 {
			t.Fatalf("the cut-off agent has revision %d", revision)
		}
		f.stop(routers[1])
		f.setSide(0, old)
		p := f.startOne(routers[1])
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if p.manager.Revision() < 2 && p.manager.Fresh() {
				t.Fatal("fresh with the older revision")
			}
		}
		for address, p := range f.processes {
			if p.manager.Revision() != 2 {
				t.Errorf("%s: revision %d", address, p.manager.Revision())
			}
		}
	})
}

func TestPausedPublisherIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		paused := f.at(routers[0])
		resume := make(chan struct{})
		paused.gate.beforePut = func(key string) {
			if key == paused.manager.Repository().HeadKey() {
				<-resume
			}
		}
		done := make(chan Result, 1)
		go func() {
			done <- paused.publisher.publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
		}()
		time.Sleep(time.Second)
		f.setSide(1, routers[0])
		for _, address := range append(routers[1:], demoAgents...) {
			f.at(address).gate.setCut(true)
		}
		time.Sleep(2 * staleAfter)
		if fresh := f.freshness(routers[1:]); fresh != 0 {
			t.Fatalf("%d routers fresh while an announced publication is open", fresh)
		}
		for _, address := range append(routers[1:], demoAgents...) {
			f.at(address).gate.setCut(false)
		}
		time.Sleep(time.Minute)
		if revision := f.at(routers[1]).manager.Revision(); revision != 2 {
			t.Fatalf("revision %d, want an empty one on top", revision)
		}
		f.setSide(0, routers[0])
		paused.gate.setBeforePut(nil)
		close(resume)
		if result := <-done; result.Outcome != OutcomeAccepted || result.Revision != 3 {
			t.Fatalf("the paused writer must start again: %+v", result)
		}
	})
}

// Witnesses that confirmed an announcement and then lost their memory must not
// state that the old revision is the newest.
func TestRestartedWitnessesAbstain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		writer := f.at(routers[0])
		resume := make(chan struct{})
		writer.gate.beforePut = func(key string) {
			if key == writer.manager.Repository().HeadKey() {
				<-resume
			}
		}
		done := make(chan Result, 1)
		go func() {
			done <- writer.publisher.publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
		}()
		time.Sleep(time.Second)
		f.stop(demoAgents...)
		f.start(demoAgents...)
		time.Sleep(time.Second)
		f.setSide(1, routers[0])
		for _, address := range append(routers[1:], demoAgents...) {
			f.at(address).gate.setCut(true)
		}
		writer.gate.setBeforePut(nil)
		close(resume)
		if result := <-done; result.Outcome != OutcomeAccepted {
			t.Fatalf("%+v", result)
		}
		time.Sleep(staleAfter)
		for range 120 {
			time.Sleep(time.Second)
			if fresh := f.freshness(routers[1:]); fresh != 0 {
				t.Fatalf("%d routers fresh that cannot know of revision 2", fresh)
			}
		}
	})
}
