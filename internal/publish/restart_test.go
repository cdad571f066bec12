package publish

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// If all routers restart while the store is unreachable, they must load the newest
// revision from the agents, not an older one, and become fresh within a second.
func TestRestartOfAllRoutersWithStoreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		f.process(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
		time.Sleep(time.Second)
		f.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Minute)
		f.stop(routers...)
		time.Sleep(time.Second)
		f.startAll(routers...)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for _, router := range routers {
			manager := f.process(router).manager
			if err := manager.Loaded(ctx); err != nil {
				t.Fatalf("%s has not loaded a configuration: %v", router, err)
			}
			if manager.Revision() != 2 || manager.Current().KeyFor("demo-pilot-key").State != object.KeyWithdrawn {
				t.Fatalf("%s has revision %d after the restart, want 2 with the key withdrawn", router, manager.Revision())
			}
		}
		time.Sleep(time.Second)
		if fresh := f.freshCount(routers); fresh != len(routers) {
			t.Fatalf("%d routers are fresh a second after they loaded a configuration, want all", fresh)
		}
	})
}

// If all routers restart at once while their peers run, they must read only the
// head from the store and load the records from peers, so that the restart puts
// little load on the store.
func TestRestartOfAllRoutersReadsFewStoreObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		f.stop(routers...)
		before := f.store.Counts()
		f.startAll(routers...)
		time.Sleep(time.Second)
		if fresh := f.freshCount(routers); fresh != len(routers) {
			t.Fatalf("%d routers are fresh a second after the restart, want all", fresh)
		}
		// Each router reads the head once to load the configuration; the router that
		// watches the store for its zone reads it two more times.
		if reads := f.store.Counts().Reads - before.Reads; reads > int64(4*len(routers)) {
			t.Fatalf("store received %d reads from %d routers, want at most 4 from each", reads, len(routers))
		}
	})
}

// A router must not be fresh with an older revision, and all processes must reach
// the newest one, after the router has restarted while the store is unreachable. It
// may then load the older revision from a peer that was isolated during the
// publication of the newest one.
func TestStalePeerDoesNotRevertRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		staleAgent := demoAgents[5]
		f.setPartition(1, staleAgent)
		f.process(staleAgent).store.setUnreachable(true)
		f.process(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
		f.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(time.Minute)
		if revision := f.process(staleAgent).manager.Revision(); revision != 1 {
			t.Fatalf("isolated agent has revision %d, want 1", revision)
		}
		f.stop(routers[1])
		f.setPartition(0, staleAgent)
		restarted := f.start(routers[1])
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if restarted.manager.Revision() < 2 && restarted.manager.IsFresh() {
				t.Fatal("restarted router is fresh with an older revision")
			}
		}
		for address, p := range f.processes {
			if p.manager.Revision() != 2 {
				t.Errorf("%s: revision %d", address, p.manager.Revision())
			}
		}
	})
}

// A publisher that pauses between its announcement and the write of the head
// keeps the witnesses from stating that the old revision is the newest. The other
// processes must publish an empty revision on top, so that the paused write can
// no longer take effect; the paused publisher must then start again.
func TestPausedPublisherIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		paused := f.process(routers[0])
		resume := make(chan struct{})
		paused.store.beforePut = func(key string) {
			if key == paused.manager.Repository().HeadKey() {
				<-resume
			}
		}
		done := make(chan Result, 1)
		go func() {
			done <- paused.publisher.publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
		}()
		time.Sleep(time.Second)
		f.setPartition(1, routers[0])
		for _, address := range append(routers[1:], demoAgents...) {
			f.process(address).store.setUnreachable(true)
		}
		time.Sleep(2 * staleAfter)
		if fresh := f.freshCount(routers[1:]); fresh != 0 {
			t.Fatalf("%d routers are fresh while an announced publication is unresolved, want none", fresh)
		}
		for _, address := range append(routers[1:], demoAgents...) {
			f.process(address).store.setUnreachable(false)
		}
		time.Sleep(time.Minute)
		if revision := f.process(routers[1]).manager.Revision(); revision != 2 {
			t.Fatalf("router has revision %d, want an empty revision 2", revision)
		}
		f.setPartition(0, routers[0])
		paused.store.setBeforePut(nil)
		close(resume)
		if result := <-done; result.Outcome != OutcomeAccepted || result.Revision != 3 {
			t.Fatalf("paused publisher did not start again and publish revision 3: %+v", result)
		}
	})
}

// Witnesses that confirmed an announcement and lost it in a restart must not
// state that the old revision is the newest: the announced revision may be
// committed where neither they nor the other routers learn of it.
func TestRestartedWitnessesMakeNoStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		writer := f.process(routers[0])
		resume := make(chan struct{})
		writer.store.beforePut = func(key string) {
			if key == writer.manager.Repository().HeadKey() {
				<-resume
			}
		}
		done := make(chan Result, 1)
		go func() {
			done <- writer.publisher.publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
		}()
		time.Sleep(time.Second)
		f.stop(demoAgents...)
		f.startAll(demoAgents...)
		time.Sleep(time.Second)
		f.setPartition(1, routers[0])
		for _, address := range append(routers[1:], demoAgents...) {
			f.process(address).store.setUnreachable(true)
		}
		writer.store.setBeforePut(nil)
		close(resume)
		if result := <-done; result.Outcome != OutcomeAccepted {
			t.Fatalf("%+v", result)
		}
		time.Sleep(staleAfter)
		for range 120 {
			time.Sleep(time.Second)
			if fresh := f.freshCount(routers[1:]); fresh != 0 {
				t.Fatalf("%d routers that cannot have received revision 2 are fresh, want none", fresh)
			}
		}
	})
}
