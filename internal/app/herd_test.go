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

// awaitWitness waits until an agent can speak for some slots.
func (f *testFleet) awaitWitness(agent string, slots int) {
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

func TestAllRoutersRestartWhileTheStoreIsDown(t *testing.T) {
	f := newTestFleet(t, tlsconf.Files{})
	addresses := []string{f.seed, testhost.Free(t)}
	var routers []*fx.App
	var settings []*RouterSettings
	for i, address := range addresses {
		app, s := f.router([]string{"router-1", "router-2"}[i], address)
		routers, settings = append(routers, app), append(settings, s)
	}
	agent := f.engine("engine-1")
	f.outlive(testOutage)
	f.publish(settings[0], settings[1])
	requirePrompt(t, f, settings[0])
	f.awaitWitness(f.addresses["engine-1"], len(routers))
	f.storeDown(true)
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
