package publish

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
)

// The withdrawal of a key must reach every process within a second after a
// router other than the publishing one applies it.
func TestWithdrawalReachesEveryProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := startDemoFleet(t)
		defer f.stopAll()
		for address, p := range f.processes {
			if p.manager.Revision() != 1 || !p.manager.IsFresh() {
				t.Fatalf("%s: revision %d, fresh %t", address, p.manager.Revision(), p.manager.IsFresh())
			}
			if key := p.manager.Current().KeyFor("demo-pilot-key"); key == nil || key.State != object.KeyActive {
				t.Fatalf("%s: key is missing or not active before the withdrawal", address)
			}
		}
		changed := f.process(routers[2]).manager.Changed()
		result := f.process(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdrawKey("pilot-1")}})
		if result.Outcome != OutcomeAccepted {
			t.Fatalf("%+v", result)
		}
		<-changed
		time.Sleep(time.Second)
		for address, p := range f.processes {
			if key := p.manager.Current().KeyFor("demo-pilot-key"); key.State != object.KeyWithdrawn {
				t.Errorf("%s: key is still %s after the withdrawal", address, key.State)
			}
		}
	})
}
