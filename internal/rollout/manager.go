package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

// tickInterval is the pause between two looks at orders, upstreams and evidence.
const tickInterval = 100 * time.Millisecond

// Store is the platform store that holds the orders and the records.
type Store interface {
	store.Store
	store.StatusWriter
}

// Lease is the orders lease.
type Lease interface {
	// FencingToken returns the lease's token, and whether this gateway holds the lease. The
	// token never falls.
	FencingToken() (token int64, held bool)
}

// Options configures a Manager. All fields but Now are required.
type Options struct {
	// Name is the name of this gateway.
	Name string
	// Bounds are the limits of rollouts. With an ExposureShare of 0 there are none: all
	// upstreams may get requests, and nothing is counted.
	Bounds  Bounds
	Catalog *catalog.Catalog
	Store   Store
	// OrderPrefix is the prefix of the keys of the orders.
	OrderPrefix string
	// EncodeStatus returns the status of an order's object.
	EncodeStatus func(state catalog.RolloutState, target string) ([]byte, error)
	Lease        Lease
	// Balancer counts the running requests of this gateway.
	Balancer *balancer.Balancer
	Log      zerolog.Logger
	// Now reads the clock; nil means bootclock.Now.
	Now func() bootclock.Instant
}

// Manager is a gateway's part in the rollouts of software versions. Each gateway assigns its
// requests to versions and reports what it observes; the holder of the orders lease decides. A
// Manager is safe for concurrent use.
type Manager struct {
	options Options
	// incarnation identifies this life of the gateway in its reports.
	incarnation int64
	// background counts the calls to the store that are under way.
	background sync.WaitGroup

	mu    sync.Mutex
	pools map[string]*poolState
	// controllers hold the decisions on the orders while this gateway holds the lease.
	controllers map[OrderID]*controller
	// verification is under way if it is not nil. No other begins before nextListAt.
	verification *verification
	nextListAt   bootclock.Instant
	// onUpdate is called after each new step; see OnUpdate.
	onUpdate func()
}

// New returns a Manager.
func New(options Options) *Manager {
	if options.Now == nil {
		options.Now = bootclock.Now
	}
	return &Manager{
		options: options, incarnation: rand.Int64(),
		pools: make(map[string]*poolState), controllers: make(map[OrderID]*controller),
		onUpdate: func() {},
	}
}

// OnUpdate sets the function that is called when this gateway has made a decision, so that it
// can be sent to the others. The function must not block. OnUpdate must be called before Run.
func (m *Manager) OnUpdate(call func()) { m.onUpdate = call }

// isEnabled reports whether there may be rollouts.
func (m *Manager) isEnabled() bool { return m.options.Bounds.ExposureShare > 0 }

// Run follows the orders, and decides on them while this gateway holds the orders lease, until
// ctx ends.
func (m *Manager) Run(ctx context.Context) {
	if !m.isEnabled() {
		return
	}
	defer m.background.Wait()
	for pause.For(ctx, tickInterval) == nil {
		m.tick(ctx)
	}
}

func (m *Manager) tick(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Now()
	if !m.syncCatalog(now) {
		return
	}
	m.verify(ctx, now)
	m.control(ctx, now)
	m.refreshFilters(now)
}

// syncCatalog takes over orders and upstreams from the catalog, and reports whether both are
// known. m.mu must be held.
func (m *Manager) syncCatalog(now bootclock.Instant) bool {
	orders, upstreams := m.options.Catalog.Rollouts(), m.options.Catalog.Upstreams()
	if orders == nil || upstreams == nil {
		return false
	}
	for pool, listed := range upstreams.ByPool {
		state := m.pools[pool]
		isFirst := state == nil
		if isFirst {
			state = &poolState{}
			m.pools[pool] = state
		}
		state.observe(listed)
		state.setOrder(orders[pool], isFirst, now)
	}
	return true
}

// refreshFilters computes the filters of all pools. m.mu must be held.
func (m *Manager) refreshFilters(now bootclock.Instant) {
	upstreams := m.options.Catalog.Upstreams()
	for pool, state := range m.pools {
		state.refresh(upstreams.ByPool[pool], now)
	}
}

// poolFilters returns the filters of a pool, or false if nothing is known of the pool yet. m.mu
// must be held.
func (m *Manager) poolFilters(pool string) (filters, bool) {
	state := m.pools[pool]
	if state == nil {
		now := m.options.Now()
		if !m.syncCatalog(now) {
			return filters{}, false
		}
		m.refreshFilters(now)
		state = m.pools[pool]
	}
	if state == nil || state.filters.pinned == nil {
		return filters{}, false
	}
	return state.filters, true
}

// Filter returns the upstreams that may get a request, or nil if all may. pinned is true if
// the request continues a stream, which stays at the version where it began.
func (m *Manager) Filter(pool, streamID string, pinned bool) *balancer.VersionFilter {
	if !m.isEnabled() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	found, ok := m.poolFilters(pool)
	switch {
	case !ok:
		return nil
	case pinned:
		return found.pinned
	case ToTarget(streamID, found.share):
		return found.target
	default:
		return found.others
	}
}

// FilterWithoutTarget is Filter for a request that is not to go to the target version.
func (m *Manager) FilterWithoutTarget(pool string) *balancer.VersionFilter {
	if !m.isEnabled() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	found, ok := m.poolFilters(pool)
	if !ok {
		return nil
	}
	return found.others
}

// RecordSend records that a request was sent to an upstream.
func (m *Manager) RecordSend(route string, upstream *catalog.Upstream) {
	m.count(upstream, func(c *collector) { c.recordSend(route, upstream) })
}

// RecordResponse records that an upstream began to respond to a request that was sent delay
// ago.
func (m *Manager) RecordResponse(route string, upstream *catalog.Upstream, delay time.Duration) {
	m.count(upstream, func(c *collector) { c.recordResponse(route, upstream, delay) })
}

// RecordFailure records that an upstream failed a request. responded is true if RecordResponse
// was called for the request before.
func (m *Manager) RecordFailure(route string, upstream *catalog.Upstream, responded bool) {
	m.count(upstream, func(c *collector) { c.recordFailure(route, upstream, responded) })
}

// count calls record with the collector of the upstream's pool if an order is being carried out
// there.
func (m *Manager) count(upstream *catalog.Upstream, record func(*collector)) {
	if !m.isEnabled() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.pools[upstream.Pool]
	if state == nil || state.order == nil || state.order.State.IsFinal() {
		return
	}
	record(state.collector)
}

// Reports returns what this gateway has observed, for the gateway that decides.
func (m *Manager) Reports() []Report {
	if !m.isEnabled() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var reports []Report
	for _, state := range m.pools {
		if state.order != nil && !state.order.State.IsFinal() {
			reports = append(reports, m.report(state))
		}
	}
	return reports
}

// report returns what this gateway has observed of a pool's order. m.mu must be held.
func (m *Manager) report(state *poolState) Report {
	report := Report{Order: idOf(state.order), Incarnation: m.incarnation, Elapsed: state.elapsed(m.options.Now())}
	report.Others, report.Targets = state.collector.report()
	for _, upstream := range m.options.Catalog.Upstreams().ByPool[state.order.Pool] {
		if upstream.Software != state.order.Target {
			report.RunningAtOthers += int64(m.options.Balancer.RunningRequests(upstream.ID))
		}
	}
	return report
}

// ApplyReport takes over what another gateway has observed. It is ignored unless this gateway
// decides on the order.
func (m *Manager) ApplyReport(gateway string, report *Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.controllers[report.Order]; c != nil {
		now := m.options.Now()
		c.addReport(gateway, report, now)
		if state := m.pools[report.Order.Pool]; state != nil && state.order != nil && idOf(state.order) == report.Order {
			state.raiseElapsed(report.Elapsed, now)
		}
	}
}

// Updates returns the decisions of this gateway on orders, for the other gateways.
func (m *Manager) Updates() []Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	var updates []Update
	for id, c := range m.controllers {
		if state := m.pools[id.Pool]; c.isReady() && state != nil && state.update.Order == id {
			updates = append(updates, state.update)
		}
	}
	return updates
}

// ApplyUpdate takes over a decision of another gateway. It is ignored if the order is not known
// here or a later decision is; the gateway sends it again.
func (m *Manager) ApplyUpdate(update *Update) {
	if !m.isEnabled() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.pools[update.Order.Pool]
	if state == nil || state.order == nil || idOf(state.order) != update.Order {
		return
	}
	now := m.options.Now()
	if state.apply(update, now) {
		m.logStep(update, "gateway")
	}
	m.refreshFilters(now)
}

// logStep logs a new step. by tells who decided: this holder or another gateway.
func (m *Manager) logStep(update *Update, by string) {
	m.options.Log.Info().Str("pool", update.Order.Pool).Str("target", update.Order.Target).Int64("created", update.Order.Created).
		Str("by", by).Int64("token", update.Token).Int64("number", update.Number).Stringer("stage", update.Step.Stage).
		Float64("share", update.Step.Share).Int("canaries", update.Canaries).Dur("elapsed_ms", update.Elapsed).
		Str("reason", update.Reason).Msg("rollout: new step; this share of the pool's requests goes to the target version")
}
