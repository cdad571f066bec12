package publish

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/store/memstore"
)

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
