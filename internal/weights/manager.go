package weights

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/lease"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	// leaseKey is where the lease lies in the store.
	leaseKey = "gateway-leases/orders"
	// term is how long the lease is held without being renewed.
	term = 1500 * time.Millisecond
	// renewEvery is the pause between renewals, and between the looks of the others.
	renewEvery = 500 * time.Millisecond
	// leaseCallTimeout bounds a renewal.
	leaseCallTimeout = 700 * time.Millisecond
	// orderMargin is the part of the term that must be left when an order is
	// sent, so that it reaches the engine within the term.
	orderMargin = 300 * time.Millisecond
	// planEvery is the pause between two looks at the engines.
	planEvery = 50 * time.Millisecond
	// drainLimit is how long an engine's requests may take to end before an order.
	drainLimit = 500 * time.Millisecond
	// drainStep is the pause between two questions whether they have ended.
	drainStep = 150 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 800 * time.Millisecond
	// reportTimeout bounds one question for an engine's state.
	reportTimeout = 500 * time.Millisecond
	// firstReport is when a loading engine is asked first, reportEvery the pause after that.
	firstReport = 900 * time.Millisecond
	reportEvery = 250 * time.Millisecond
	// orderPatience is when an engine that does not get ready is ordered anew.
	orderPatience = 8 * time.Second
	// lostPause is how long an engine that did not report is left alone.
	lostPause = 400 * time.Millisecond
	// rejectedPause is how long an engine that rejected an order is left alone.
	rejectedPause = time.Second
)

// Fleet is what the manager needs to know and to tell of engines.
type Fleet interface {
	// Version returns the version that an engine is believed to have.
	Version(id, model string) int64
	// RecordVersion takes a version that an engine told.
	RecordVersion(id, model string, version int64)
	// HoldUntil keeps new requests away from an engine.
	HoldUntil(id string, until bootclock.Instant)
	// IsUnreachable reports whether an engine could not be reached.
	IsUnreachable(id string) bool
	// IsReplaced reports whether another life answers at an engine's address.
	IsReplaced(id string) bool
	// MarkReplaced notes that the life of an engine that was born at a time has ended.
	MarkReplaced(id string, born int64)
	// RunningRequests returns the requests that this process has at an engine.
	RunningRequests(id string) int
}

// Options configures a Manager. All fields are required.
type Options struct {
	Name    string
	Lease   *lease.Lease
	Catalog *catalog.Catalog
	Engines Engines
	Fleet   Fleet
	// TakeOver is how long a new holder waits before its first order, so that
	// orders of two holders never come close together.
	TakeOver time.Duration
	// WeightsLimit is how long older weights may be used after newer ones were named.
	WeightsLimit time.Duration
	Log          zerolog.Logger
}

// RolloutUpdate is what the holder knows of an engine that is under an order.
type RolloutUpdate struct {
	ID    string
	Model string
	// Version is what the engine has; 0 when that is not known.
	Version int64
	// Held says that new requests are kept away until the engine has Target.
	Held   bool
	Target int64
	// Until is when the note is out of date.
	Until bootclock.Instant
}

// Manager competes for the lease and gives orders while it holds it.
type Manager struct {
	options Options

	mu    sync.Mutex
	fence int64
	// until is the end of the lease as this process counts it.
	until bootclock.Instant
	// ordersFrom is when this tenure's first order may be given.
	ordersFrom     bootclock.Instant
	busy           map[string]bool
	rolloutUpdates map[string]RolloutUpdate
	// loading is the number of engines of each pool that load, loadsAtOnce its bound.
	loading     map[string]int
	loadsAtOnce map[string]int
	retired     bool
	done        sync.WaitGroup
	// other is the gateway that last told that it holds the lease, and otherHeard when.
	other      string
	otherHeard bootclock.Instant
	// onUpdate is called when there are news of engines for other gateways.
	onUpdate func()
}

// NewLease returns the lease on the right to give orders.
func NewLease(s store.Store, name string) *lease.Lease {
	return lease.New(s, leaseKey, name, term, bootTime)
}

// bootTime presents the boot clock as the time that a Lease counts on.
func bootTime() time.Time { return time.Unix(0, int64(bootclock.Now())) }

// New returns a manager that holds nothing.
func New(options Options) *Manager {
	return &Manager{
		options: options, busy: make(map[string]bool), rolloutUpdates: make(map[string]RolloutUpdate),
		loading: make(map[string]int), loadsAtOnce: make(map[string]int),
	}
}

// OnUpdate sets what is called when there are news of engines for other gateways.
// It is called before Run.
func (m *Manager) OnUpdate(call func()) { m.onUpdate = call }

// Run competes for the lease and gives orders until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { m.compete(ctx) })
	both.Go(func() { m.plan(ctx) })
	both.Wait()
	m.done.Wait()
}

// RolloutUpdates returns what other gateways should know of engines under an order.
func (m *Manager) RolloutUpdates() []RolloutUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	updates := make([]RolloutUpdate, 0, len(m.rolloutUpdates))
	for id, update := range m.rolloutUpdates {
		if !now.Before(update.Until) {
			delete(m.rolloutUpdates, id)
			continue
		}
		updates = append(updates, update)
	}
	return updates
}

// plan looks for engines that lack the wanted weights.
func (m *Manager) plan(ctx context.Context) {
	for pause.For(ctx, planEvery) == nil {
		if _, ok := m.mayOrder(); !ok {
			continue
		}
		config, upstreams := m.options.Catalog.Config(), m.options.Catalog.Upstreams()
		if config == nil || upstreams == nil {
			continue
		}
		for model, target := range m.options.Catalog.TargetVersions() {
			for _, pool := range config.Pools {
				if pool.Engine != nil && slices.Contains(pool.Engine.Models, model) {
					m.planPool(ctx, upstreams.ByPool[pool.Name], model, target)
				}
			}
		}
	}
}

// planPool starts orders for the next engines of a pool.
func (m *Manager) planPool(ctx context.Context, engines []*catalog.Upstream, model string, target catalog.TargetVersion) {
	engines = slices.DeleteFunc(slices.Clone(engines), func(engine *catalog.Upstream) bool {
		return m.options.Fleet.IsReplaced(engine.ID)
	})
	if len(engines) == 0 {
		return
	}
	perZone := make(map[string]int)
	state := PoolState{Engines: len(engines), Age: bootclock.Since(target.KnownSince), Limit: m.options.WeightsLimit}
	var candidates []Candidate
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadsAtOnce[engines[0].Pool] = MaxConcurrentLoads(len(engines))
	for _, engine := range engines {
		version := m.options.Fleet.Version(engine.ID, model)
		switch {
		case m.busy[engine.ID]:
			perZone[engine.Zone]++
			state.Loading++
		case version >= target.Version:
			perZone[engine.Zone]++
			state.Ready++
			state.Running += m.options.Fleet.RunningRequests(engine.ID)
			state.Slots += engine.Capacity
		case !engine.Draining && !m.options.Fleet.IsUnreachable(engine.ID):
			candidates = append(candidates, Candidate{Upstream: engine, Running: m.options.Fleet.RunningRequests(engine.ID), Version: version})
		}
	}
	for _, next := range SelectBatch(candidates, perZone, state.LoadsToStart()) {
		m.busy[next.Upstream.ID] = true
		m.done.Add(1)
		go func() {
			defer m.done.Done()
			m.bring(ctx, next.Upstream, model, target.Version)
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.busy, next.Upstream.ID)
		}()
	}
}

// bring takes one engine to a version: its requests get some time to end, then
// comes the order, then questions until it is there.
func (m *Manager) bring(ctx context.Context, engine *catalog.Upstream, model string, version int64) {
	m.hold(engine.ID, model, version)
	report, err := m.drain(ctx, engine, model)
	if err != nil {
		m.release(engine.ID, model)
		_ = pause.For(ctx, lostPause)
		return
	}
	if report.Versions[model] >= version {
		m.arrived(engine.ID, model, version)
		return
	}
	if !m.startLoad(ctx, engine.Pool) {
		return
	}
	defer m.endLoad(engine.Pool)
	result, err := m.order(ctx, engine, model, version, report.Orders)
	switch {
	case err == nil && result == AlreadyLoaded:
		m.arrived(engine.ID, model, version)
	case err == nil && result != Accepted && result != Busy:
		m.release(engine.ID, model)
		_ = pause.For(ctx, rejectedPause)
	default:
		m.await(ctx, engine, model, version)
	}
}

// drain waits until an engine has no requests, but not for long. What still runs
// then goes on under the new weights.
func (m *Manager) drain(ctx context.Context, engine *catalog.Upstream, model string) (Report, error) {
	started := bootclock.Now()
	for {
		report, err := m.report(ctx, engine, model)
		if err != nil || report.Running == 0 && !report.Busy {
			return report, err
		}
		left := drainLimit - bootclock.Since(started)
		if left <= 0 {
			return report, nil
		}
		if err := pause.For(ctx, min(left, drainStep)); err != nil {
			return report, err
		}
	}
}

// startLoad waits until another engine of the pool may load. It returns false
// when ctx ends first.
func (m *Manager) startLoad(ctx context.Context, pool string) bool {
	for {
		m.mu.Lock()
		if m.loading[pool] < m.loadsAtOnce[pool] {
			m.loading[pool]++
			m.mu.Unlock()
			return true
		}
		m.mu.Unlock()
		if pause.For(ctx, planEvery) != nil {
			return false
		}
	}
}

func (m *Manager) endLoad(pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loading[pool]--
}

// await asks an engine until it has the version, or is not busy any more.
func (m *Manager) await(ctx context.Context, engine *catalog.Upstream, model string, version int64) {
	ordered := bootclock.Now()
	wait := firstReport
	for pause.For(ctx, wait) == nil && bootclock.Since(ordered) < orderPatience {
		wait = reportEvery
		if m.options.Fleet.Version(engine.ID, model) >= version {
			m.arrived(engine.ID, model, version)
			return
		}
		report, err := m.report(ctx, engine, model)
		if errors.Is(err, ErrIncarnationChanged) {
			break
		}
		if err != nil {
			continue
		}
		if report.Versions[model] >= version {
			m.arrived(engine.ID, model, version)
			return
		}
		if !report.Busy && bootclock.Since(ordered) > 2*firstReport {
			break
		}
	}
	m.release(engine.ID, model)
}

func (m *Manager) order(ctx context.Context, engine *catalog.Upstream, model string, version, expected int64) (Result, error) {
	fence, ok := m.mayOrder()
	if !ok {
		return Rejected, ErrNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	asked := bootclock.Now()
	result, err := m.options.Engines.Order(ctx, &Order{
		Upstream: engine, Model: model, Version: version, Mode: ModeContinue,
		Holder: m.options.Name, Fence: fence, Expected: expected,
	})
	outcome := result.String()
	if err != nil {
		outcome = "no-answer"
	}
	metrics.Counter("weights.orders", "result", outcome).Inc(1)
	m.options.Log.Info().Err(err).Str("upstream", engine.ID).Str("model", model).Int64("version", version).
		Int64("fence", fence).Int64("expected_orders", expected).Str("result", outcome).
		Dur("took_ms", bootclock.Since(asked)).Msg("weights: order sent")
	return result, err
}

func (m *Manager) report(ctx context.Context, engine *catalog.Upstream, model string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := m.options.Engines.Report(ctx, engine)
	if errors.Is(err, ErrIncarnationChanged) {
		m.options.Fleet.MarkReplaced(engine.ID, engine.StartedMillis)
	}
	if err != nil {
		m.options.Log.Warn().Err(err).Str("upstream", engine.ID).Msg("weights: engine did not report")
		return report, err
	}
	if version := report.Versions[model]; version > 0 {
		m.options.Fleet.RecordVersion(engine.ID, model, version)
	}
	return report, nil
}

// hold keeps new requests away from an engine, here and at the other gateways.
func (m *Manager) hold(id, model string, target int64) {
	until := holdUntil()
	m.options.Fleet.HoldUntil(id, until)
	m.tell(RolloutUpdate{ID: id, Model: model, Held: true, Target: target, Until: until})
}

// release lets new requests go to an engine again.
func (m *Manager) release(id, model string) {
	m.options.Fleet.HoldUntil(id, 0)
	m.tell(RolloutUpdate{ID: id, Model: model, Version: m.options.Fleet.Version(id, model), Until: holdUntil()})
}

// arrived notes that an engine has its new weights.
func (m *Manager) arrived(id, model string, version int64) {
	m.options.Fleet.RecordVersion(id, model, version)
	m.options.Fleet.HoldUntil(id, 0)
	m.tell(RolloutUpdate{ID: id, Model: model, Version: version, Until: holdUntil()})
	m.options.Log.Info().Str("upstream", id).Str("model", model).Int64("version", version).Msg("weights: engine has its version")
}

func (m *Manager) tell(update RolloutUpdate) {
	m.mu.Lock()
	m.rolloutUpdates[update.ID] = update
	m.mu.Unlock()
	if m.onUpdate != nil {
		m.onUpdate()
	}
}
