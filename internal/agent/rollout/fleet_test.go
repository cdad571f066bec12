package rollout

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/agent/prober"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/engine/httpengine"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/standin/enginesim"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// liveStatus asks the engine for its status on each call.
type liveStatus struct{ driver engine.Driver }

func (r liveStatus) Status() prober.Status {
	load, err := r.driver.Load(context.Background())
	return prober.Status{Serving: err == nil, Weights: load.Weights, Incarnation: load.Incarnation}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// startAgents starts engines that ignore fencing tokens, each with an agent.
func startAgents(t *testing.T, count int, s *source, weights *enginesim.WeightStore) (*object.Set, []*httpengine.Driver) {
	t.Helper()
	set := object.NewSet(1)
	set.Fleet.MaxLoads = weights.FullSpeedLoads
	var drivers []*httpengine.Driver
	for i := range count {
		engineListener := listen(t)
		_ = engineListener.Close()
		e := enginesim.New(enginesim.Options{
			Address: engineListener.Addr().String(), Weights: "v1", BatchLimit: 1, CacheBlocks: 1, BlockTokens: 1,
			IdleEviction: time.Minute, Restart: 20 * time.Millisecond, WeightStore: weights,
		})
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		driver := httpengine.New("http://" + engineListener.Addr().String())
		drivers = append(drivers, driver)
		name, orderListener := fmt.Sprintf("e%d", i), listen(t)
		set.Upstreams[name] = &object.Upstream{Name: name, Address: orderListener.Addr().String(), Kind: object.UpstreamEngine, Pool: "p"}
		pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
		m := New(Options{Driver: driver, Source: s, Status: liveStatus{driver}, Pool: pool, Upstream: name, Log: zerolog.Nop()})
		server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
		server.Handle(wirepb.Kind_KIND_ORDER, m.Handle)
		go func() { _ = server.Serve(orderListener) }()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
			pool.Close()
			_ = server.Shutdown(ctx)
			driver.Close()
			e.Stop()
		})
	}
	return set, drivers
}

// publish puts a new revision with the given weights in force.
func publish(s *source, base *object.Set, revision uint64, weights ...string) {
	set := object.NewSet(revision)
	set.Fleet = base.Fleet
	set.Upstreams = base.Upstreams
	for _, w := range weights {
		set.ModelVersions["m-"+w] = &object.ModelVersion{Name: "m-" + w, Model: "m", Weights: w, Pool: "p"}
	}
	set.Index()
	s.set.Store(set)
}

// awaitWeights waits until all engines report the wanted weights. Meanwhile each
// engine must always have at least one of usableWeights, if any are given.
func awaitWeights(t *testing.T, drivers []*httpengine.Driver, usableWeights []string, want ...string) {
	t.Helper()
	for matching := 0; matching < len(drivers); {
		matching = 0
		for i, driver := range drivers {
			load, err := driver.Load(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if len(usableWeights) > 0 && !slices.ContainsFunc(load.Weights, func(w string) bool { return slices.Contains(usableWeights, w) }) {
				t.Fatalf("engine %d has weights %v, none of which serve requests", i, load.Weights)
			}
			if slices.Equal(load.Weights, want) {
				matching++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestFleetRolloutBoundsConcurrentLoads guards against an overloaded weight store and
// against engines without usable weights while a whole fleet changes its weights.
func TestFleetRolloutBoundsConcurrentLoads(t *testing.T) {
	weights := &enginesim.WeightStore{LoadTime: 50 * time.Millisecond, FullSpeedLoads: 2}
	s := new(source)
	base, drivers := startAgents(t, 6, s, weights)
	awaitWeights(t, drivers, nil, "v1")
	before := weights.Peak()
	publish(s, base, 2, "v1", "v2")
	awaitWeights(t, drivers, []string{"v1"}, "v1", "v2")
	publish(s, base, 3, "v2")
	awaitWeights(t, drivers, []string{"v2"}, "v2")
	if peak := max(before, weights.Peak()); peak > weights.FullSpeedLoads {
		t.Fatalf("%d loads at once, at most %d allowed", peak, weights.FullSpeedLoads)
	}
}
