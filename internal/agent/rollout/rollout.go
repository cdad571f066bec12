// Package rollout brings the engine beside the agent to the weights that the
// configuration asks for, with a bounded number of loads at once in the fleet.
//
// The agents agree on a coordinator by rendezvous hashing over the agents that
// are alive. It only hands out places for loads: without it, or with two of
// them, loads are slower but not wrong.
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
	checkInterval = 250 * time.Millisecond
	orderTimeout  = 5 * time.Second
	askTimeout    = time.Second
	// loadAlone is how long an agent that finds no coordinator waits before it loads all the same.
	loadAlone = 10 * time.Second
	// loadRetry is when an accepted load that never showed up is ordered again.
	loadRetry = 30 * time.Second
	// unloadRetry is the same for an unload.
	unloadRetry = 5 * time.Second
)

var (
	loadsOrdered   = metrics.Counter("agent.loads_ordered")
	unloadsOrdered = metrics.Counter("agent.unloads_ordered")
)

// Options are a Manager's parts.
type Options struct {
	Driver engine.Driver
	Source object.Source
	Status prober.StatusSource
	View   membership.View
	Pool   *wire.Pool
	// Upstream is the name of the upstream beside the agent.
	Upstream string
	Log      zerolog.Logger
}

// Manager keeps one engine's weights. Handle serves other agents.
type Manager struct {
	options Options
	gate    *Gate
	slots   *slots

	// The rest belongs to the goroutine of Run.
	coordinator string
	load        change
	unload      change
	waitedSince time.Time
}

// change is a load or unload that was ordered.
type change struct {
	weights     string
	incarnation uint64
	since       time.Time
}

// New returns a Manager.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		gate:    NewGate(options.Driver, options.Source),
		slots:   newSlots(),
	}
}

// Run works until ctx ends.
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

// check compares what is loaded with what the configuration asks for and does
// the next step towards it.
func (m *Manager) check(ctx context.Context) {
	set := m.options.Source.Current()
	status := m.options.Status.Status()
	if set == nil || !status.Serving || !m.options.Source.Fresh() {
		return
	}
	own := set.Upstreams[m.options.Upstream]
	if own == nil || own.Kind != object.UpstreamEngine {
		return
	}
	m.finishLoad(ctx, status)
	target, wanted := targetOf(set, own.Pool, status.Weights)
	if target != nil {
		m.startLoad(ctx, set, target, status)
		return
	}
	m.unloadUnwanted(ctx, set, wanted, status)
}

// targetOf returns the newest version of a model in the pool that is not
// loaded, nil when all are, and the weights of all versions of the pool.
func targetOf(set *object.Set, pool string, loaded []string) (target *object.ModelVersion, wanted []string) {
	newest := make(map[string]*object.ModelVersion)
	for _, version := range set.ModelVersions {
		if version.Pool != pool {
			continue
		}
		wanted = append(wanted, version.Weights)
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
	return target, wanted
}

// finishLoad gives the place back once the weights are loaded, and forgets a
// load that the engine lost by a restart or never did.
func (m *Manager) finishLoad(ctx context.Context, status prober.Status) {
	if m.load.weights == "" {
		return
	}
	loaded := slices.Contains(status.Weights, m.load.weights)
	lost := status.Incarnation != m.load.incarnation || time.Since(m.load.since) > loadRetry
	if !loaded && !lost {
		return
	}
	if loaded {
		m.options.Log.Info().Str("weights", m.load.weights).Dur("took", time.Since(m.load.since)).Msg("rollout: weights loaded")
	}
	m.load = change{}
	m.giveBack(ctx)
}

func (m *Manager) startLoad(ctx context.Context, set *object.Set, version *object.ModelVersion, status prober.Status) {
	if m.load.weights == version.Weights || !m.mayLoad(ctx, set, version) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := m.gate.Send(ctx, engine.Order{
		Kind:     engine.OrderLoad,
		Fence:    set.Revision,
		Weights:  version.Weights,
		Adapters: version.Adapters,
	})
	if err != nil {
		m.options.Log.Warn().Err(err).Str("weights", version.Weights).Msg("rollout: load not ordered")
		m.giveBack(ctx)
		return
	}
	loadsOrdered.Inc(1)
	m.waitedSince = time.Time{}
	m.load = change{weights: version.Weights, incarnation: status.Incarnation, since: time.Now()}
}

// unloadUnwanted drops weights that no version of the pool names any more.
func (m *Manager) unloadUnwanted(ctx context.Context, set *object.Set, wanted []string, status prober.Status) {
	if len(wanted) == 0 {
		return
	}
	for _, weights := range status.Weights {
		if slices.Contains(wanted, weights) || m.unload.pending(weights, status.Incarnation, unloadRetry) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := m.gate.Send(ctx, engine.Order{Kind: engine.OrderUnload, Fence: set.Revision, Weights: weights})
		cancel()
		if err != nil {
			m.options.Log.Warn().Err(err).Str("weights", weights).Msg("rollout: unload not ordered")
			continue
		}
		unloadsOrdered.Inc(1)
		m.unload = change{weights: weights, incarnation: status.Incarnation, since: time.Now()}
	}
}

// pending reports whether the change was ordered from this engine process not long ago.
func (c change) pending(weights string, incarnation uint64, within time.Duration) bool {
	return c.weights == weights && c.incarnation == incarnation && time.Since(c.since) < within
}
