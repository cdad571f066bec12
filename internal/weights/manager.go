package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/lease"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	// leaseKey is the key of the lease in the platform store.
	leaseKey = "gateway-leases/orders"
	// leaseTerm is how long the lease lasts unless it is renewed.
	leaseTerm = 1500 * time.Millisecond
	// renewInterval is the interval between renewals by the holder, and between
	// checks by the other gateways.
	renewInterval = 500 * time.Millisecond
	// leaseCallTimeout bounds one call to acquire, renew or release the lease.
	leaseCallTimeout = 700 * time.Millisecond
	// minLeaseForOrder is the part of the lease term that must remain when an order is
	// sent, so that the order usually reaches the engine within the term. An order may
	// take up to orderTimeout; the engine refuses a later one by its fencing token once
	// it has received a newer token.
	minLeaseForOrder = 300 * time.Millisecond
	// planInterval is the interval between checks whether to start rollouts.
	planInterval = 50 * time.Millisecond
	// idleWaitTimeout bounds how long an order waits until the engine is idle.
	idleWaitTimeout = 500 * time.Millisecond
	// idlePollInterval is the interval between queries of an engine that is to become
	// idle.
	idlePollInterval = 150 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 800 * time.Millisecond
	// reportTimeout bounds one query of an engine's state.
	reportTimeout = 500 * time.Millisecond
	// firstReportDelay is the time from an order to the first query of the loading
	// engine, reportInterval the interval between the following queries.
	firstReportDelay = 900 * time.Millisecond
	reportInterval   = 250 * time.Millisecond
	// loadTimeout is how long the manager waits for an engine to load. After it, the
	// planner may order the engine again.
	loadTimeout = 8 * time.Second
	// reportFailureBackoff is how long an engine is skipped after it failed to report.
	reportFailureBackoff = 400 * time.Millisecond
	// rejectionBackoff is how long an engine is skipped after it refused an order.
	rejectionBackoff = time.Second
)

// Fleet holds what is known of engines. It must be safe for concurrent use and
// must not call the Manager.
type Fleet interface {
	// Version returns the last known version of a model's weights at an engine.
	Version(id, model string) int64
	// RecordVersion records a version that an engine reported.
	RecordVersion(id, model string, version int64)
	// HoldUntil excludes an engine from new requests until an instant; 0 ends the hold.
	HoldUntil(id string, until bootclock.Instant)
	// IsUnreachable reports whether an engine could not be reached.
	IsUnreachable(id string) bool
	// IsReplaced reports whether another incarnation answers at an engine's address.
	IsReplaced(id string) bool
	// MarkReplaced records that another incarnation has replaced the one that
	// started at startedMillis.
	MarkReplaced(id string, startedMillis int64)
	// MayCall reports whether an engine may be sent anything: it has not stated that it is
	// leaving or wants no requests for a time.
	MayCall(id string) bool
	// RunningRequests returns the number of requests that this process has at an engine.
	RunningRequests(id string) int
}

// Options configures a Manager. All fields are required.
type Options struct {
	// Name is the unique name of this gateway.
	Name    string
	Lease   *lease.Lease
	Catalog *catalog.Catalog
	Engines Engines
	Fleet   Fleet
	// StalenessLimit is how long older weights may be used after a newer version became
	// known. It is the StalenessLimit of a PoolState.
	StalenessLimit time.Duration
	// Schedule specifies when the second half of a pool loads.
	Schedule Schedule
	Log      zerolog.Logger
}

// RolloutUpdate is the state of the rollout at one engine. The holder sends it to the
// other gateways.
type RolloutUpdate struct {
	ID    string
	Model string
	// Version is the version that the engine has; 0 if Held is true or if it is unknown.
	Version int64
	// Held is true while the engine is excluded from new requests until it has the
	// version TargetVersion. TargetVersion is 0 unless Held is true.
	Held          bool
	TargetVersion int64
	// ExpiresAt is when this RolloutUpdate expires.
	ExpiresAt bootclock.Instant
}

// Manager competes for the orders lease and rolls out target versions while it
// holds it. It is safe for concurrent use.
type Manager struct {
	options Options

	mu           sync.Mutex
	fencingToken int64
	// leaseExpires is the end of the lease by this process's clock.
	leaseExpires bootclock.Instant
	// inRollout holds the IDs of the engines at which a rollout is in progress.
	inRollout map[string]bool
	// rolloutUpdates holds the newest RolloutUpdate by engine ID.
	rolloutUpdates map[string]RolloutUpdate
	// loadCount is the number of loading engines by pool, loadLimit its bound.
	loadCount   map[string]int
	loadLimit   map[string]int
	steppedDown bool
	// rollouts counts the goroutines that run rollOut for an engine, orders the orders that are
	// under way.
	rollouts, orders sync.WaitGroup
	// otherHolder is the gateway that last reported that it holds the lease, and
	// otherHolderSeen when it did.
	otherHolder     string
	otherHolderSeen bootclock.Instant
	// onUpdate is called when there is something new to send to the other gateways; see
	// OnUpdate.
	onUpdate func()
}

// NewLease returns the lease that permits its holder to give orders. takeoverDelay is how far
// apart the orders of two holders are at least. The lease's record carries what its holder knows of
// versions, and what is read of it is merged into them.
func NewLease(s store.Store, name string, takeoverDelay time.Duration, versions *catalog.Catalog, log zerolog.Logger) *lease.Lease {
	reader := &noteReader{versions: versions, log: log}
	return lease.NewLease(lease.LeaseOptions{
		Store: s, Key: leaseKey, Holder: name, Term: leaseTerm, HandoverDelay: takeoverDelay, Now: bootTime,
		Note:   func() []byte { return encodeNote(versions.TargetVersions(), bootclock.Now()) },
		OnNote: reader.read,
	})
}

// bootTime returns the boot clock's reading as the time.Time that a Lease takes.
func bootTime() time.Time { return time.Unix(0, int64(bootclock.Now())) }

// New returns a manager that does not hold the lease.
func New(options Options) *Manager {
	return &Manager{
		options: options, inRollout: make(map[string]bool), rolloutUpdates: make(map[string]RolloutUpdate),
		loadCount: make(map[string]int), loadLimit: make(map[string]int),
	}
}

// OnUpdate sets the function that is called when the RolloutUpdate of an engine has
// changed or the lease was given up, so that this can be sent to other gateways. It must
// be called before Run.
func (m *Manager) OnUpdate(call func()) { m.onUpdate = call }

// Run competes for the lease and rolls out target versions until ctx ends. It
// returns after the rollouts at all engines have stopped.
func (m *Manager) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.maintainLease(ctx) })
	loops.Go(func() { m.runPlanner(ctx) })
	loops.Wait()
	m.rollouts.Wait()
}

// RolloutUpdates returns each RolloutUpdate that has not expired, to send them to the
// other gateways.
func (m *Manager) RolloutUpdates() []RolloutUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	updates := make([]RolloutUpdate, 0, len(m.rolloutUpdates))
	for id, update := range m.rolloutUpdates {
		if !now.Before(update.ExpiresAt) {
			delete(m.rolloutUpdates, id)
			continue
		}
		updates = append(updates, update)
	}
	return updates
}

// runPlanner starts rollouts for engines with older weights than the target
// version, while this process may give orders.
func (m *Manager) runPlanner(ctx context.Context) {
	for pause.For(ctx, planInterval) == nil {
		if _, ok := m.orderFencingToken(); !ok {
			continue
		}
		config, upstreams := m.options.Catalog.Config(), m.options.Catalog.Upstreams()
		if config == nil || upstreams == nil {
			continue
		}
		for model, target := range m.options.Catalog.TargetVersions() {
			for _, pool := range config.Pools {
				if pool.Engine == nil || !slices.Contains(pool.Engine.Models, model) {
					continue
				}
				for _, engines := range m.splitBySoftware(upstreams.ByPool[pool.Name]) {
					m.startRollouts(ctx, engines, model, target)
				}
			}
		}
	}
}

// splitBySoftware returns the engines of a pool, apart for each software version while one is
// being rolled out there: engines that get no or few requests must not be the half of the pool
// that loads new weights first.
func (m *Manager) splitBySoftware(engines []*catalog.Upstream) [][]*catalog.Upstream {
	if len(engines) == 0 {
		return nil
	}
	order := m.options.Catalog.Rollouts()[engines[0].Pool]
	if order == nil || order.State.IsFinal() {
		return [][]*catalog.Upstream{engines}
	}
	var others, targets []*catalog.Upstream
	for _, engine := range engines {
		if engine.Software == order.Target {
			targets = append(targets, engine)
		} else {
			others = append(others, engine)
		}
	}
	return [][]*catalog.Upstream{others, targets}
}

// startRollouts starts a goroutine for each engine of a pool whose rollout is to start
// now.
func (m *Manager) startRollouts(ctx context.Context, engines []*catalog.Upstream, model string, target catalog.TargetVersion) {
	engines = slices.DeleteFunc(slices.Clone(engines), func(engine *catalog.Upstream) bool {
		return m.options.Fleet.IsReplaced(engine.ID)
	})
	if len(engines) == 0 {
		return
	}
	newWeightsByZone := make(map[string]int)
	state := PoolState{Engines: len(engines), TargetAge: target.Age(bootclock.Now()), StalenessLimit: m.options.StalenessLimit, Schedule: m.options.Schedule}
	var candidates []Candidate
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadLimit[engines[0].Pool] = MaxConcurrentLoads(len(engines))
	for _, engine := range engines {
		version := m.options.Fleet.Version(engine.ID, model)
		switch {
		case m.inRollout[engine.ID]:
			newWeightsByZone[engine.Zone]++
			state.Updating++
		case version >= target.Version:
			newWeightsByZone[engine.Zone]++
			state.Ready++
			state.Running += m.options.Fleet.RunningRequests(engine.ID)
			state.RequestSlots += engine.Capacity
		case !engine.Draining && m.options.Fleet.MayCall(engine.ID) && !m.options.Fleet.IsUnreachable(engine.ID):
			candidates = append(candidates, Candidate{Upstream: engine, Running: m.options.Fleet.RunningRequests(engine.ID), Version: version})
		}
	}
	for _, next := range SelectBatch(candidates, newWeightsByZone, state.LoadsToStart()) {
		m.inRollout[next.Upstream.ID] = true
		m.rollouts.Add(1)
		go func() {
			defer m.rollouts.Done()
			defer m.endRollout(next.Upstream.ID)
			defer contain.Panics(m.options.Log, "weights", next.Upstream.ID)
			m.rollOut(ctx, next.Upstream, model, target.Version)
		}()
	}
}

func (m *Manager) endRollout(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inRollout, id)
}
