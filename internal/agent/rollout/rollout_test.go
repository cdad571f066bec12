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

// source is a configuration source whose set tests replace.
type source struct {
	set   atomic.Pointer[object.Set]
	stale atomic.Bool
}

func (s *source) Current() *object.Set { return s.set.Load() }
func (s *source) IsFresh() bool        { return !s.stale.Load() }

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

// unfencedEngine accepts every order, whatever its fencing token. It also is the
// source of its status.
type unfencedEngine struct {
	engine.Driver
	status prober.Status
	orders []engine.Order
}

func (e *unfencedEngine) Status() prober.Status { return e.status }

func (e *unfencedEngine) Order(_ context.Context, order engine.Order) error {
	e.orders = append(e.orders, order)
	return nil
}

func newManager() (*Manager, *source, *unfencedEngine) {
	s := new(source)
	e := &unfencedEngine{status: prober.Status{Serving: true, Incarnation: 1, Weights: []string{"v1"}}}
	return New(Options{Driver: e, Source: s, Status: e, Upstream: "e", Log: zerolog.Nop()}), s, e
}

// TestNewWeightsAreLoadedBeforeOldOnesAreUnloaded guards against an engine left
// without weights in service: old weights may be unloaded only when no version
// uses them.
func TestNewWeightsAreLoadedBeforeOldOnesAreUnloaded(t *testing.T) {
	m, s, e := newManager()
	s.publish(1, "v1")
	m.check(t.Context())
	if len(e.orders) != 0 {
		t.Fatalf("orders %v although all weights are loaded", e.orders)
	}
	s.publish(2, "v1", "v2")
	m.check(t.Context())
	m.check(t.Context())
	if len(e.orders) != 1 || e.orders[0].Kind != engine.OrderLoad || e.orders[0].Weights != "v2" || e.orders[0].Fence != 2 {
		t.Fatalf("orders %v, want one load of v2", e.orders)
	}
	e.status.Weights = []string{"v1", "v2"}
	m.check(t.Context())
	if len(e.orders) != 1 || len(m.slots.acquired) != 0 {
		t.Fatalf("orders %v, slots acquired %v; want one order and no slot", e.orders, m.slots.acquired)
	}
	s.publish(3, "v2")
	m.check(t.Context())
	m.check(t.Context())
	if len(e.orders) != 2 || e.orders[1].Kind != engine.OrderUnload || e.orders[1].Weights != "v1" {
		t.Fatalf("orders %v, want v1 unloaded", e.orders)
	}
}

// TestLoadIsOrderedAgainAfterTheEngineRestarted guards against waiting for a load
// that the engine lost when it restarted.
func TestLoadIsOrderedAgainAfterTheEngineRestarted(t *testing.T) {
	m, s, e := newManager()
	s.publish(1, "v1", "v2")
	m.check(t.Context())
	e.status.Incarnation = 2
	m.check(t.Context())
	if len(e.orders) != 2 {
		t.Fatalf("orders %v, want two loads", e.orders)
	}
}

// TestOrderSenderRefusesStaleOrders guards against stale orders at an engine that
// ignores fencing tokens: of an old configuration, of one that was reverted, and of
// an agent that was paused until its configuration could not be relied on.
func TestOrderSenderRefusesStaleOrders(t *testing.T) {
	m, s, e := newManager()
	s.publish(5, "v1")
	sendOrder := func(token uint64) error {
		return m.orders.Send(t.Context(), engine.Order{Kind: engine.OrderLoad, Fence: token})
	}
	if err := sendOrder(5); err != nil {
		t.Fatal(err)
	}
	s.publish(6, "v1")
	for _, token := range []uint64{4, 5, 7} {
		if err := sendOrder(token); !errors.Is(err, engine.ErrStaleFence) {
			t.Errorf("fencing token %d: %v, want a stale fence", token, err)
		}
	}
	// A configuration reverted to an older revision must not revert the engine.
	if err := sendOrder(6); err != nil {
		t.Fatal(err)
	}
	s.publish(5, "v0")
	if err := sendOrder(5); !errors.Is(err, engine.ErrStaleFence) {
		t.Errorf("reverted configuration: %v, want a stale fence", err)
	}
	s.publish(7, "v1")
	s.stale.Store(true)
	if err := sendOrder(7); !errors.Is(err, engine.ErrStaleFence) {
		t.Errorf("configuration that is not fresh: %v, want a stale fence", err)
	}
	if got := len(e.orders); got != 2 {
		t.Fatalf("the engine received %d orders, want 2", got)
	}
}

// TestCoordinatorBoundsLoads checks that the coordinator grants at most MaxLoads slots,
// renews a slot for its holder, and grants none to an agent with an older configuration.
func TestCoordinatorBoundsLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s, _ := newManager()
		s.publish(3, "v1")
		var granted []string
		requestSlot := func(upstream string, revision uint64) {
			if m.handleLoadRequest(&wirepb.LoadRequest{Upstream: upstream, Revision: revision}).Granted {
				granted = append(granted, upstream)
			}
		}
		for _, name := range []string{"a", "b", "c", "a"} {
			requestSlot(name, 3)
		}
		if !slices.Equal(granted, []string{"a", "b", "a"}) {
			t.Fatalf("granted %v, want slots for a and b and a's renewed", granted)
		}
		m.handleLoadRequest(&wirepb.LoadRequest{Upstream: "a", Done: true})
		requestSlot("d", 2)
		requestSlot("c", 3)
		if !slices.Equal(granted[3:], []string{"c"}) {
			t.Fatalf("granted %v after a released its slot, want c alone in addition", granted)
		}
	})
}
