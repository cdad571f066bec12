package app

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/admin"
	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/calls"
	"github.com/greengagegate/greengagegate/internal/agent/enginestate"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/agent/prober"
	"github.com/greengagegate/greengagegate/internal/agent/rollout"
	"github.com/greengagegate/greengagegate/internal/agent/runner"
	"github.com/greengagegate/greengagegate/internal/agent/transfer"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/engine/httpengine"
	"github.com/greengagegate/greengagegate/internal/node"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/quarantine"
	"github.com/greengagegate/greengagegate/internal/service"
	"github.com/greengagegate/greengagegate/internal/slotlink"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/lease"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
)

// initialBatchLimit is the batch limit, in requests, by which the queue is sized
// until the engine reports its own.
const initialBatchLimit = 8

// Agent returns the application of an agent, which runs beside one upstream and
// passes requests to it. s.Upstream.Kind selects the parts for an engine or for a
// plain service.
func Agent(s *AgentSettings) fx.Option {
	upstreamOptions := engineOptions()
	if s.Upstream.Kind == "service" {
		upstreamOptions = serviceOptions()
	}
	return fx.Options(common(&s.Common, membership.RoleAgent), fx.Supply(s), upstreamOptions, fx.Invoke(registerSlotWitness))
}

// registerSlotWitness registers a handler that remembers the holders of entry
// slots, so that routers can restart while the store is unreachable.
func registerSlotWitness(n *node.Node) {
	n.Server.Handle(wirepb.Kind_KIND_SLOTS, slotlink.Handler(lease.NewWitness()))
}

// engineOptions returns the parts of an agent that runs beside an engine.
func engineOptions() fx.Option {
	return fx.Options(
		fx.Provide(
			func(s *AgentSettings) engine.Driver { return httpengine.New(s.Upstream.URL) },
			cacheindex.New,
			func() *fairqueue.Queue { return fairqueue.New(fairqueue.DefaultOptions(initialBatchLimit)) },
			newEngineState,
			newTransfers,
			newQuarantine,
			newRunner,
			newRollout,
			newProber,
		),
		fx.Invoke(registerEngine, drainEngineAgent),
	)
}

func newEngineState(
	lifecycle fx.Lifecycle,
	driver engine.Driver,
	index *cacheindex.Index,
	queue *fairqueue.Queue,
	source object.Source,
	log zerolog.Logger,
) *enginestate.Poller {
	poller := enginestate.New(enginestate.Options{Driver: driver, Index: index, Queue: queue, Source: source, Log: log})
	appendHook(lifecycle, poller.Start, poller.Stop)
	return poller
}

func newTransfers(lifecycle fx.Lifecycle, driver engine.Driver, state *enginestate.Poller, log zerolog.Logger) *transfer.Manager {
	blockTokens := func() int64 { return state.Status().BlockTokens }
	manager := transfer.New(transfer.Options{Driver: driver, BlockTokens: blockTokens, Log: log})
	appendBackground(lifecycle, log, "transfers", manager.Run)
	return manager
}

func newRunner(
	s *AgentSettings,
	driver engine.Driver,
	index *cacheindex.Index,
	queue *fairqueue.Queue,
	transfers *transfer.Manager,
	state *enginestate.Poller,
	suspects *quarantine.Manager,
	log zerolog.Logger,
) *runner.Runner {
	return runner.New(runner.Options{
		Driver:        driver,
		Queue:         queue,
		Index:         index,
		Transfers:     transfers,
		Suspects:      suspects,
		OnUnreachable: state.MarkUnreachable,
		Upstream:      s.Upstream.Name,
		Log:           log,
	})
}

func newRollout(
	lifecycle fx.Lifecycle,
	s *AgentSettings,
	driver engine.Driver,
	state *enginestate.Poller,
	source object.Source,
	view membership.View,
	n *node.Node,
	log zerolog.Logger,
) *rollout.Manager {
	manager := rollout.New(rollout.Options{
		Driver:   driver,
		Source:   source,
		Status:   state,
		View:     view,
		Pool:     n.Pool,
		Upstream: s.Upstream.Name,
		Log:      log,
	})
	appendBackground(lifecycle, log, "rollout", manager.Run)
	return manager
}

func newProber(
	state *enginestate.Poller,
	index *cacheindex.Index,
	queue *fairqueue.Queue,
	transfers *transfer.Manager,
) *prober.Prober {
	return prober.New(prober.Options{Index: index, Queue: queue, Status: state, Transfers: transfers})
}

// registerEngine registers the handlers for orders, probes and prompts.
func registerEngine(n *node.Node, r *runner.Runner, probes *prober.Prober, rollouts *rollout.Manager) {
	n.Server.Handle(wirepb.Kind_KIND_ORDER, rollouts.Handle)
	n.Server.Handle(wirepb.Kind_KIND_PROBE, probes.Handle)
	n.Server.Handle(wirepb.Kind_KIND_RUN, r.Handle)
}

// drainEngineAgent makes the stop of an engine's agent graceful: the agent
// announces that it leaves and still accepts requests for the drain delay. It then
// rejects new ones and waits until the streams in flight have finished.
func drainEngineAgent(
	lifecycle fx.Lifecycle,
	s *AgentSettings,
	n *node.Node,
	members *membership.Manager,
	state *enginestate.Poller,
	probes *prober.Prober,
	r *runner.Runner,
	ready *admin.Readiness,
) {
	start := func(context.Context) error {
		ready.Set(true)
		return nil
	}
	stop := func(ctx context.Context) error {
		ready.Set(false)
		members.Leave()
		state.Drain()
		_ = pause.For(ctx, s.Stop.DrainDelay)
		r.Drain()
		probes.Drain()
		return n.Server.Shutdown(ctx)
	}
	appendHook(lifecycle, start, stop)
}

// serviceOptions returns the parts of an agent that runs beside a plain service.
func serviceOptions() fx.Option {
	return fx.Options(
		fx.Provide(
			func(s *AgentSettings) service.Driver { return service.NewHTTP(s.Upstream.URL) },
			newCalls,
		),
		fx.Invoke(registerService, drainServiceAgent),
	)
}

func newCalls(
	s *AgentSettings,
	driver service.Driver,
	st store.Store,
	hosts store.HostLister,
	n *node.Node,
	view membership.View,
	source object.Source,
	log zerolog.Logger,
) *calls.Manager {
	return calls.New(calls.Options{
		Driver:   driver,
		Store:    st,
		Hosts:    hosts,
		Pool:     n.Pool,
		View:     view,
		Source:   source,
		Upstream: s.Upstream.Name,
		Address:  n.Address,
		Log:      log,
	})
}

// registerService registers the handlers for service calls and for messages of
// other agents about shards.
func registerService(n *node.Node, manager *calls.Manager) {
	n.Server.Handle(wirepb.Kind_KIND_CALL, manager.Handle)
	n.Server.Handle(wirepb.Kind_KIND_ONCE, manager.HandleOnce)
}

// drainServiceAgent makes the stop of a service's agent graceful: the agent hands
// its shards over, then waits until the calls in flight have finished.
func drainServiceAgent(
	lifecycle fx.Lifecycle,
	s *AgentSettings,
	n *node.Node,
	members *membership.Manager,
	manager *calls.Manager,
	ready *admin.Readiness,
) {
	start := func(ctx context.Context) error {
		if err := manager.Start(ctx); err != nil {
			return err
		}
		ready.Set(true)
		return nil
	}
	stop := func(ctx context.Context) error {
		ready.Set(false)
		members.Leave()
		if err := manager.Stop(ctx); err != nil {
			return err
		}
		_ = pause.For(ctx, s.Stop.DrainDelay)
		return n.Server.Shutdown(ctx)
	}
	appendHook(lifecycle, start, stop)
}
