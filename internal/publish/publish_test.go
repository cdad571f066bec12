package publish

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/object"
)

func TestWithdrawalReachesEveryProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, routers := demoFleet(t)
		defer f.stopAll()
		for address, p := range f.processes {
			if p.manager.Revision() != 1 || !p.manager.Fresh() {
				t.Fatalf("%s: revision %d, fresh %t", address, p.manager.Revision(), p.manager.Fresh())
			}
			if key := p.manager.Current().KeyFor("demo-pilot-key"); key == nil || key.State != object.KeyActive {
				t.Fatalf("%s: the key is not active", address)
			}
		}
		changed := f.at(routers[2]).manager.Changed()
		result := f.at(routers[0]).publisher.Publish(t.Context(), Request{Changes: []Change{withdraw("pilot-1")}})
		if result.Outcome != OutcomeAccepted {
			t.Fatalf("%+v", result)
		}
		<-changed
		time.Sleep(time.Second)
		for address, p := range f.processes {
			if key := p.manager.Current().KeyFor("demo-pilot-key"); key.State != object.KeyWithdrawn {
				t.Errorf("%s: the key is still %s", address, key.State)
			}
		}
	})
}
