package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/greengagegate/greengagegate/internal/agent/prober"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// source is a configuration that tests replace.
type source struct {
	set   atomic.Pointer[object.Set]
	stale atomic.Bool
}

func (s *source) Current() *object.Set { return s.set.Load() }
func (s *source) Fresh() bool          { return !s.stale.Load() }

func (s *source) Changed() <-chan struct{} { return nil }

// publish puts a set with one engine and the given weights in force.
func (s *source) publish(revision uint64, weights ...string) {
	set := object.NewSet(revision)
	set.Fleet.MaxLoads = 2
	set.Upstreams["e"] = &object.Upstream{Name: "e", Kind: object.UpstreamEngine, Pool: "p"}
	for i, w := range weights {
		name := fmt.Sprintf("m-%d", i)
		set.ModelVersions[name] = &object.ModelVersion{Name: name, Model: "m", Weights: w, Pool: "p"}
	}
	set.Index()
	s.set.Store(set)
}

// deafEngine obeys every order, whatever its fence. It is its own status.
type deafEngine struct {
	engine.Driver
	status prober.Status
	orders []engine.Order
}

func (e *deafEngine) Status() prober.Status { return e.status }

func (e *deafEngine) Order(_ context.Context, order engine.Order) error {
	e.orders = append(e.orders, order)
	return nil
}

func newManager() (*Manager, *source, *deafEngine) {
	s := new(source)
	e := &deafEngine{status: prober.Status{Serving: true, Incarnation: 1, Weights: []string{"v1"}}}
	return New(Options{Driver: e, Source: s, Status: e, Upstream: "e", Log: zerolog.Nop()}), s, e
}

func TestNewWeightsAreLoadedBesideTheOldOnesWhichGoLast(t *testing.T) {
	m, s, e := newManager()
	s.publish(1, "v1")
	m.check(t.Context())
	if len(e.orders) != 0 {
		t.Fatalf("orders %v although all is loaded", e.orders)
	}
	s.publish(2, "v1", "v2")
	m.check(t.Context())
	m.check(t.Context())
	if len(e.orders) != 1 || e.orders[0].Kind != engine.OrderLoad || e.orders[0].Weights != "v2" || e.orders[0].Fence != 2 {
		t.Fatalf("orders %v, want one load of v2", e.orders)
	}
	e.status.Weights = []string{"v1", "v2"}
	m.check(t.Context())
	if len(e.orders) != 1 || len(m.slots.held) != 0 {
		t.Fatalf("orders %v, places held %v", e.orders, m.slots.held)
	}
	s.publish(3, "v2")
	m.check(t.Context())
	m.check(t.Context())
	if len(e.orders) != 2 || e.orders[1].Kind != engine.OrderUnload || e.orders[1].Weights != "v1" {
		t.Fatalf("orders %v, want v1 unloaded", e.orders)
	}
}

func TestLoadIsOrderedAgainAfterTheEngineRestarted(t *testing.T) {
	m, s, e := newManager()
	s.publish(1, "v1", "v2")
	m.check(t.Context())
	e.status.Incarnation = 2
	m.check(t.Context())
	if len(e.orders) != 2 {
		t.Fatalf("orders %v", e.orders)
	}
}

func TestGateRefusesOldOrdersForAnEngineThatIgnoresFences(t *testing.T) {
	m, s, e := newManager()
	s.publish(5, "v1")
	order := func(fence uint64) error {
		return m.gate.Send(t.Context(), engine.Order{Kind: engine.OrderLoad, Fence: fence})
	}
	if err := order(5); err != nil {
		t.Fatal(err)
	}
	s.publish(6, "v1")
	for _, fence := range []uint64{4, 5, 7} {
		if err := order(fence); !errors.Is(err, engine.ErrStaleFence) {
			t.Errorf("fence %d: %v", fence, err)
		}
	}
	// A configuration that went back must not take the engine back.
	if err := order(6); err != nil {
		t.Fatal(err)
	}
	s.publish(5, "v0")
	if err := order(5); !errors.Is(err, engine.ErrStaleFence) {
		t.Errorf("reverted: %v", err)
	}
	s.publish(7, "v1")
	s.stale.Store(true)
	if err := order(7); !errors.Is(err, engine.ErrStaleFence) {
		t.Errorf("after a pause: %v", err)
	}
	if got := len(e.orders); got != 2 {
		t.Fatalf("%d orders reached the engine", got)
	}
}

func TestCoordinatorBoundsLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s, _ := newManager()
		s.publish(3, "v1")
		var granted []string
		ask := func(name string, revision uint64) {
			if m.answer(&wirepb.LoadRequest{Upstream: name, Revision: revision}).Granted {
				granted = append(granted, name)
			}
		}
		for _, name := range []string{"a", "b", "c", "a"} {
			ask(name, 3)
		}
		if !slices.Equal(granted, []string{"a", "b", "a"}) {
			t.Fatalf("granted %v", granted)
		}
		m.answer(&wirepb.LoadRequest{Upstream: "a", Done: true})
		ask("d", 2)
		ask("c", 3)
		if !slices.Equal(granted[3:], []string{"c"}) {
			t.Fatalf("granted %v after one place was given back", granted)
		}
	})
}
