// Package rollout brings the agent's engine to the target versions of its
// weights, while bounding the number of engines in the fleet that load weights at
// the same time.
//
// The agents choose a coordinator by rendezvous hashing over the agents that are
// alive. The coordinator only hands out load slots. With two coordinators, up to
// twice as many engines may load at the same time, so that each load takes longer.
// An agent that reaches no coordinator loads without a slot after
// uncoordinatedLoadDelay. In both cases the engines still reach the target versions.
package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/agent/prober"
	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/rs/zerolog"
)

const (
	checkInterval      = 250 * time.Millisecond
	orderTimeout       = 5 * time.Second
	coordinatorTimeout = time.Second
	// uncoordinatedLoadDelay is how long an agent that reaches no coordinator waits
	// before it loads without a slot.
	uncoordinatedLoadDelay = 10 * time.Second
	// loadRetryDelay is the time after which an accepted load that has not completed is
	// ordered again.
	loadRetryDelay = 30 * time.Second
	// unloadRetryDelay is the time after which an unload is ordered again if the weights
	// are still loaded.
	unloadRetryDelay = 5 * time.Second
)

var (
	loadsOrdered   = metrics.Counter("agent.loads_ordered")
	unloadsOrdered = metrics.Counter("agent.unloads_ordered")
)

// Options are the dependencies of a Manager.
type Options struct {
	Driver engine.Driver
	Source object.Source
	// Status is the status of the engine.
	Status prober.StatusSource
	// View shows which agents are alive; it may be nil.
	View membership.View
	// Pool holds the sessions to the other agents.
	Pool *wire.Pool
	// Upstream is the name of the agent's upstream.
	Upstream string
	Log      zerolog.Logger
}

// Manager orders loads and unloads of one engine's weights. Handle serves other
// agents when this one is the coordinator.
type Manager struct {
	options Options
	orders  *orderSender
	slots   *slots

	// The fields below are used only by the goroutine of Run.

	// coordinator is the name of the upstream whose agent granted the present slot, or
	// empty if this agent has no slot.
	coordinator string
	load        weightChange
	unload      weightChange
	// noCoordinatorSince is the time since which no candidate has answered. It is zero
	// after a candidate has answered, and after a load has been ordered, with or without
	// a slot.
	noCoordinatorSince time.Time
}

// weightChange is a load or unload that has been ordered.
type weightChange struct {
	weights     string
	incarnation uint64
	orderedAt   time.Time
}

// New returns a Manager.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		orders:  newOrderSender(options.Driver, options.Source),
		slots:   newSlots(),
	}
}

// Run checks the engine's weights periodically until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		m.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// check compares the loaded weights with the configuration and takes the next step
// towards the target versions: a load if a target version is not loaded, otherwise
// unloads.
func (m *Manager) check(ctx context.Context) {
	set := m.options.Source.Current()
	status := m.options.Status.Status()
	if set == nil || !status.Serving || !m.options.Source.IsFresh() {
		return
	}
	upstream := set.Upstreams[m.options.Upstream]
	if upstream == nil || upstream.Kind != object.UpstreamEngine {
		return
	}
	m.finishLoad(ctx, status)
	target, poolWeights := nextTarget(set, upstream.Pool, status.Weights)
	if target != nil {
		m.startLoad(ctx, set, target, status)
		return
	}
	m.unloadObsolete(ctx, set, poolWeights, status)
}

// nextTarget returns a target version of the pool that is not loaded, or nil when
// all are. Each model's target version is its newest one. poolWeights are the weights
// of all versions of the pool.
func nextTarget(set *object.Set, pool string, loaded []string) (target *object.ModelVersion, poolWeights []string) {
	newest := make(map[string]*object.ModelVersion)
	for _, version := range set.ModelVersions {
		if version.Pool != pool {
			continue
		}
		poolWeights = append(poolWeights, version.Weights)
		newest[version.Model] = set.ModelVersionFor(version.Model, pool)
	}
	for _, version := range newest {
		if slices.Contains(loaded, version.Weights) {
			continue
		}
		if target == nil || version.Name < target.Name {
			target = version
		}
	}
	return target, poolWeights
}

// finishLoad releases the slot and forgets the load once the weights are loaded, the
// engine has restarted, or the load has not completed within loadRetryDelay.
func (m *Manager) finishLoad(ctx context.Context, status prober.Status) {
	if m.load.weights == "" {
		return
	}
	loaded := slices.Contains(status.Weights, m.load.weights)
	failed := status.Incarnation != m.load.incarnation || time.Since(m.load.orderedAt) > loadRetryDelay
	if !loaded && !failed {
		return
	}
	if loaded {
		m.options.Log.Info().Str("weights", m.load.weights).Dur("took", time.Since(m.load.orderedAt)).Msg("rollout: weights loaded")
	}
	m.load = weightChange{}
	m.releaseSlot(ctx)
}

// startLoad orders the load of a version, unless it is already ordered or no slot is free.
func (m *Manager) startLoad(ctx context.Context, set *object.Set, version *object.ModelVersion, status prober.Status) {
	if m.load.weights == version.Weights || !m.acquireSlot(ctx, set, version) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := m.orders.Send(ctx, engine.Order{
		Kind:     engine.OrderLoad,
		Fence:    set.Revision,
		Weights:  version.Weights,
		Adapters: version.Adapters,
	})
	if err != nil {
		m.options.Log.Warn().Err(err).Str("weights", version.Weights).Msg("rollout: could not order the load; retrying at the next check")
		m.releaseSlot(ctx)
		return
	}
	loadsOrdered.Inc(1)
	m.noCoordinatorSince = time.Time{}
	m.load = weightChange{weights: version.Weights, incarnation: status.Incarnation, orderedAt: time.Now()}
}

// unloadObsolete orders unloads of the weights that no version of the pool uses any
// more. It does nothing for a pool without versions.
func (m *Manager) unloadObsolete(ctx context.Context, set *object.Set, poolWeights []string, status prober.Status) {
	if len(poolWeights) == 0 {
		return
	}
	for _, weights := range status.Weights {
		if slices.Contains(poolWeights, weights) || m.unload.isPending(weights, status.Incarnation, unloadRetryDelay) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := m.orders.Send(ctx, engine.Order{Kind: engine.OrderUnload, Fence: set.Revision, Weights: weights})
		cancel()
		if err != nil {
			m.options.Log.Warn().Err(err).Str("weights", weights).Msg("rollout: could not order the unload; retrying at the next check")
			continue
		}
		unloadsOrdered.Inc(1)
		m.unload = weightChange{weights: weights, incarnation: status.Incarnation, orderedAt: time.Now()}
	}
}

// isPending reports whether an order for this change of the weights was sent to this
// incarnation of the engine within the given time.
func (c weightChange) isPending(weights string, incarnation uint64, within time.Duration) bool {
	return c.weights == weights && c.incarnation == incarnation && time.Since(c.orderedAt) < within
}
