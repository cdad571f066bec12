package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/store/memstore"
)

// A good version that nobody completes by its deadline would leave both versions running.
func TestGoodVersionIsCompletedByItsDeadline(t *testing.T) {
	f := newTestFleet(t, 5)
	f.run(2*time.Second, 500)
	f.order("v2")
	f.run(testDuration, 500)
	if state := f.state(); state != catalog.RolloutCompleted {
		t.Fatalf("state is %v at the deadline, want completed", state)
	}
	sentToOld := f.sent["v1"]
	f.run(2*time.Second, 500)
	if f.sent["v1"] != sentToOld {
		t.Errorf("old upstreams got %d requests after they were stopped", f.sent["v1"]-sentToOld)
	}
}

// A bad version must not get more requests than the bounds allow, whenever it turns bad and
// whichever gateway dies meanwhile.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, badFrom := range []time.Duration{0, 5 * time.Second} {
		for _, holderDies := range []time.Duration{-1, 500 * time.Millisecond, 2 * time.Second, 5500 * time.Millisecond} {
			t.Run(fmt.Sprintf("bad from %v, holder dies at %v", badFrom, holderDies), func(t *testing.T) {
				f := newTestFleet(t, 5)
				f.failures = func(elapsed time.Duration) float64 {
					if elapsed < badFrom {
						return 0
					}
					return 0.3
				}
				f.run(2*time.Second, 500)
				clear(f.sent)
				f.order("v2")
				if holderDies >= 0 {
					f.run(holderDies, 500)
					f.gateways[0].isDown = true
					f.gateways[0].lease.held = false
					f.run(2*time.Second, 500)
					f.moveLease(0, 1)
				}
				f.run(testDuration-f.now.Sub(f.orderedAt), 500)
				if state := f.state(); state != catalog.RolloutRolledBack {
					t.Errorf("state is %v at the deadline, want rolled back", state)
				}
				f.checkExposure("v2")
			})
		}
	}
}

// The next holder must neither forget the stage of a rollout nor move back to an earlier one.
func TestRolloutContinuesAfterHolderDies(t *testing.T) {
	for _, diesAt := range []time.Duration{time.Second, 5 * time.Second, 9 * time.Second, 11 * time.Second, 12 * time.Second} {
		t.Run(diesAt.String(), func(t *testing.T) {
			f := newTestFleet(t, 5)
			f.run(2*time.Second, 500)
			f.order("v2")
			f.run(diesAt, 500)
			stage := f.gateways[0].pools[testPool].update.Step.Stage
			f.gateways[0].isDown, f.gateways[0].lease.held = true, false
			f.run(1500*time.Millisecond, 500)
			f.moveLease(0, 1)
			f.run(time.Second, 500)
			if next := f.gateways[1].pools[testPool].update.Step.Stage; next < stage {
				t.Errorf("stage is %v after the holder died in stage %v", next, stage)
			}
			f.run(testDuration-f.now.Sub(f.orderedAt), 500)
			if state := f.state(); state != catalog.RolloutCompleted {
				t.Errorf("state is %v at the deadline, want completed: %+v", state, f.gateways[1].Statuses())
			}
		})
	}
}

// A gateway that hears nothing of the rollout must not go on sending requests to a version
// that may have been rolled back.
func TestCutOffGatewayFallsBackToOldVersion(t *testing.T) {
	f := newTestFleet(t, 3)
	f.run(2*time.Second, 300)
	f.order("v2")
	f.run(4*time.Second, 300)
	cut := f.gateways[2]
	if share := cut.pools[testPool].filters.share; share <= 0 {
		t.Fatalf("share is %v in the canary stage, want above 0", share)
	}
	cut.isCut = true
	f.run(maxUpdateAge+2*tickInterval, 300)
	if share := cut.pools[testPool].filters.share; share != 0 {
		t.Errorf("share is %v after %v without an update, want 0", share, maxUpdateAge)
	}
	f.run(testDuration, 300)
	cut.isCut = false
	f.run(2*time.Second, 300)
	if share := cut.pools[testPool].filters.share; share != 1 {
		t.Errorf("share is %v after the gateway has learned that the rollout was completed, want 1", share)
	}
}

// An upstream of a new version can be listed before its order is known. It must get no request
// until the orders have been read.
func TestNewVersionGetsNoRequestsBeforeOrdersAreKnown(t *testing.T) {
	f := newTestFleet(t, 1)
	f.run(time.Second, 100)
	f.store.SetFaults(memstore.Faults{Down: true})
	f.gateways[0].catalog.SetUpstreams(append(upstreamsOf("v1", 20), upstreamsOf("v2", 20)...))
	f.run(time.Second, 100)
	if f.sent["v2"] > 0 {
		t.Errorf("new version got %d requests while the orders could not be read", f.sent["v2"])
	}
	f.store.SetFaults(memstore.Faults{})
	f.run(time.Second, 100)
	if f.sent["v2"] == 0 {
		t.Error("new version without an order got no requests after the orders were read")
	}
}

// The upstreams of the target are listed one after the other. If the first one took the whole
// share for good, it would be overloaded and a good version would look slow.
func TestCanariesGrowWithTheListedUpstreams(t *testing.T) {
	f := newTestFleet(t, 3)
	f.run(2*time.Second, 500)
	f.order("v2")
	for _, g := range f.gateways {
		g.catalog.SetUpstreams(append(upstreamsOf("v1", 20), upstreamsOf("v2", 1)...))
	}
	f.run(2*time.Second, 500)
	for _, g := range f.gateways {
		g.catalog.SetUpstreams(append(upstreamsOf("v1", 20), upstreamsOf("v2", 20)...))
	}
	f.run(time.Second, 500)
	for _, g := range f.gateways {
		if count := len(g.pools[testPool].filters.target.Canaries); count < minCanaries {
			t.Errorf("%s has %d canaries after all upstreams were listed, want at least %d", g.name, count, minCanaries)
		}
	}
}

// A canary whose host fails looks like a bad version if only the sum over all canaries counts.
func TestFaultOfOneCanaryIsNotHeldAgainstVersion(t *testing.T) {
	f := newTestFleet(t, 3)
	f.run(2*time.Second, 500)
	f.order("v2")
	f.run(3*time.Second, 500)
	holder := f.gateways[0]
	canary := holder.pools[testPool].filters.target.Canaries[0]
	upstream := &catalog.Upstream{ID: canary, Pool: testPool, Software: "v2"}
	for range 100 {
		holder.RecordSend("route", upstream)
		holder.RecordFailure("route", upstream, false)
		f.run(tickInterval, 500)
	}
	f.run(testDuration-f.now.Sub(f.orderedAt), 500)
	if state := f.state(); state != catalog.RolloutCompleted {
		t.Errorf("state is %v, want completed although one canary failed: %+v", state, holder.Statuses())
	}
}

// The response to a write of the status may be lost, or the store may be down for a time.
func TestStatusIsWrittenDespiteStoreFaults(t *testing.T) {
	f := newTestFleet(t, 3)
	f.failures = func(time.Duration) float64 { return 0.5 }
	f.run(2*time.Second, 500)
	f.order("v2")
	f.run(time.Second, 500)
	f.store.SetFaults(memstore.Faults{Down: true})
	f.run(4*time.Second, 500)
	for _, g := range f.gateways {
		if share := g.pools[testPool].filters.share; share != 0 {
			t.Errorf("%s sends a share of %v to a bad version while the store is down, want 0", g.name, share)
		}
	}
	f.store.SetFaults(memstore.Faults{})
	f.run(2*time.Second, 500)
	if state := f.state(); state != catalog.RolloutRolledBack {
		t.Errorf("state is %v after the store was back, want rolled back", state)
	}
}
