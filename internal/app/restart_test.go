package app

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/slotlink"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/lease"
	"go.uber.org/fx"
)

// awaitSlotWitness waits until an agent knows the holders of at least the given number
// of slots.
func (f *testFleet) awaitSlotWitness(agent string, slots int) {
	pool := wire.NewPool(&wirepb.Hello{Process: "test"}, wire.NewDialer(""))
	defer pool.Close()
	client := slotlink.NewClient(pool, nil)
	for f.t.Context().Err() == nil {
		reply, err := client.Query(f.t.Context(), agent, lease.WitnessRequest{})
		if err == nil && reply.Informed && len(reply.Records) >= slots {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Routers need the holders of entry slots before they serve. When all routers restart
// at once and the store is unreachable, only agents still know the holders. The test
// fails if the routers can't recover them from an agent.
func TestAllRoutersRestartWhileTheStoreIsDown(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	addresses := []string{f.seed, testhost.Free(t)}
	var routers []*fx.App
	var settings []*RouterSettings
	for i, address := range addresses {
		app, s := f.startRouter([]string{"router-1", "router-2"}[i], address)
		routers, settings = append(routers, app), append(settings, s)
	}
	agent := f.startEngine("engine-1")
	f.extendStaleAfter(maxTestOutage)
	f.publish(settings[0], settings[1])
	requirePrompt(t, f, settings[0])
	f.awaitSlotWitness(f.addresses["engine-1"], len(routers))
	f.setStoreDown(true)
	for _, app := range routers {
		stop(t, app)
	}
	for i := range routers {
		routers[i] = f.start(Router(settings[i]))
	}
	for _, s := range settings {
		f.awaitReady(s)
		requirePrompt(t, f, s)
	}
	for _, app := range append(routers, agent) {
		stop(t, app)
	}
}
