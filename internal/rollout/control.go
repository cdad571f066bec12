package rollout

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

const (
	// storeTimeout bounds one call for a record or a status.
	storeTimeout = 700 * time.Millisecond
	// statusRetryDelay is the pause between two writes of a status, within which the catalog
	// usually shows the first one. recordRetryDelay is the pause between two writes of a record.
	statusRetryDelay = 600 * time.Millisecond
	recordRetryDelay = 300 * time.Millisecond
	// maxRecordWait is how long a new holder tries to read the record of its predecessor. It
	// continues from the predecessor's last update then.
	maxRecordWait = time.Second
	// maxReportAge is the age above which the report of a gateway no longer tells what runs there.
	maxReportAge = 1200 * time.Millisecond
	// minCanaries is the least number of canaries, if the target has as many upstreams: the
	// comparison leaves out the worse half.
	minCanaries = 4
	// requestsPerJudged is the number of target requests of which the comparison judges one.
	requestsPerJudged = 2
)

// controller decides on one order while this gateway holds the orders lease.
type controller struct {
	id        OrderID
	startedAt bootclock.Instant
	// loading is true while the record is read, loaded once the controller may decide.
	loading, loaded bool
	recordVersion   int64
	recorded        Step
	// storing is true while a status or a record is written. The next ones are not written
	// before nextStatusAt and nextRecordAt.
	storing                    bool
	nextStatusAt, nextRecordAt bootclock.Instant

	comparison *comparison
	judge      *Judge
	rate       rateMeter
	// running holds the newest report on running requests by gateway.
	running map[string]runningReport
}

// runningReport is the number of requests that run at the other versions.
type runningReport struct {
	count int64
	at    bootclock.Instant
}

func newController(id OrderID, now bootclock.Instant) *controller {
	return &controller{id: id, startedAt: now, comparison: newComparison(), judge: NewJudge(), running: make(map[string]runningReport)}
}

// isReady reports whether the controller has taken over and decides.
func (c *controller) isReady() bool { return c.loaded }

func (c *controller) addReport(gateway string, report *Report, now bootclock.Instant) {
	c.comparison.add(gateway, report)
	c.running[gateway] = runningReport{count: report.RunningAtOthers, at: now}
}

// runningAtOthers returns the number of requests of all gateways that run at the other
// versions, or -1 if a gateway has not reported lately.
func (c *controller) runningAtOthers(gateways int, now bootclock.Instant) int64 {
	recent, total := 0, int64(0)
	for _, report := range c.running {
		if now.Sub(report.at) <= maxReportAge {
			recent++
			total += report.count
		}
	}
	if recent < gateways {
		return -1
	}
	return total
}

// control decides on all orders if this gateway holds the lease. m.mu must be held.
func (m *Manager) control(ctx context.Context, now bootclock.Instant) {
	token, held := m.options.Lease.FencingToken()
	if !held {
		clear(m.controllers)
		return
	}
	active := make(map[OrderID]bool)
	for _, state := range m.pools {
		if state.order == nil || state.order.Stored.IsFinal() {
			continue
		}
		id := idOf(state.order)
		active[id] = true
		if m.controllers[id] == nil {
			m.controllers[id] = newController(id, now)
		}
		m.decide(ctx, m.controllers[id], state, token, now)
	}
	for id := range m.controllers {
		if !active[id] {
			delete(m.controllers, id)
		}
	}
}

// decide makes the next decision on an order and stores it. m.mu must be held.
func (m *Manager) decide(ctx context.Context, c *controller, state *poolState, token int64, now bootclock.Instant) {
	if !c.loaded {
		m.load(ctx, c, state, now)
		return
	}
	if !state.order.State.IsFinal() {
		own := m.report(state)
		c.addReport(m.options.Name, &own, now)
		m.step(c, state, token, now)
	}
	m.store(ctx, c, state, now)
}

// step computes the next step of an order and publishes it if it is new. m.mu must be held.
func (m *Manager) step(c *controller, state *poolState, token int64, now bootclock.Instant) {
	others, targets := m.countUpstreams(state.order)
	progress := m.progress(c, state, others, targets, now)
	if progress.Previous.Stage == StageObserve && progress.RequestsPerSecond == 0 && now.Sub(c.startedAt) < maxObserveTime {
		// A holder that took over late does not know the rate yet, from which the canary's share
		// is chosen for good.
		return
	}
	update := Update{Order: c.id, Token: token, Number: state.update.Number, Step: m.options.Bounds.Share(progress), Elapsed: progress.Elapsed}
	update.Canaries = max(CanaryCount(update.Step.Share, others, targets), min(minCanaries, targets))
	if update.Step.Stage == state.update.Step.Stage {
		// The target's upstreams are listed one after the other, and the first ones must not take
		// the whole share for good.
		update.Canaries = max(update.Canaries, state.update.Canaries)
	}
	if update.Step.Stage == StageRolledBack {
		update.Reason = c.judge.Reason().String()
	}
	if update.Step == state.update.Step && update.Canaries == state.update.Canaries {
		state.apply(&update, now)
		return
	}
	update.Number++
	state.apply(&update, now)
	metrics.Counter("rollout.steps", "stage", update.Step.Stage.String()).Inc(1)
	m.logStep(&update, "holder")
	m.options.Log.Info().Str("pool", c.id.Pool).Str("target", c.id.Target).Str("reason", update.Reason).
		Int64("target_requests", progress.TargetRequests).Int64("all_requests", progress.AllRequests).Float64("per_second", progress.RequestsPerSecond).
		Int64("running_at_others", progress.RunningAtOthers).Bool("enough", progress.Enough).Msg("rollout: evidence of the new step")
	m.onUpdate()
}

// progress judges the evidence that was added since the last call, and returns what the next step
// of an order depends on. others and targets are the results of countUpstreams. m.mu must be held.
func (m *Manager) progress(c *controller, state *poolState, others, targets int, now bootclock.Instant) Progress {
	isBad := c.judge.Update(c.comparison.evidence()) == VerdictBad
	targetRequests, allRequests := c.comparison.sent()
	running := c.runningAtOthers(m.options.Balancer.GatewayCount(), now)
	if running >= 0 {
		// Before all gateways have reported, the count grows faster or slower than the requests.
		c.rate.add(allRequests, now)
	}
	return Progress{
		Previous: state.update.Step, Elapsed: state.elapsed(now), Duration: state.order.Duration,
		TargetRequests: targetRequests, AllRequests: allRequests, RequestsPerSecond: c.rate.perSecond(),
		TargetListed: targets > 0, Bad: isBad, Enough: c.judge.EnoughForCompletion(),
		Needed:          requestsPerJudged * c.judge.TargetRequestsNeeded(),
		Others:          others,
		RunningAtOthers: running,
	}
}

// countUpstreams returns the number of listed upstreams that are not draining, of other
// versions than the target and of the target. m.mu must be held.
func (m *Manager) countUpstreams(order *catalog.Rollout) (others, targets int) {
	for _, upstream := range m.options.Catalog.Upstreams().ByPool[order.Pool] {
		switch {
		case upstream.Draining:
		case upstream.Software == order.Target:
			targets++
		default:
			others++
		}
	}
	return others, targets
}

// load reads the record of an order in the background and continues from it. m.mu must be held.
func (m *Manager) load(ctx context.Context, c *controller, state *poolState, now bootclock.Instant) {
	if now.Sub(c.startedAt) > maxRecordWait {
		c.loaded = true
		m.options.Log.Warn().Str("pool", c.id.Pool).Str("target", c.id.Target).Stringer("stage", state.update.Step.Stage).
			Msg("rollout: record could not be read; continuing from the last update of the previous holder")
		return
	}
	if c.loading {
		return
	}
	c.loading = true
	m.background.Go(func() {
		defer contain.Panics(m.options.Log, "rollout", "record")
		callContext, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		found, version, err := readRecord(callContext, m.options.Store, c.id)
		m.mu.Lock()
		defer m.mu.Unlock()
		c.loading = false
		if err != nil || c.loaded {
			return
		}
		c.loaded, c.recordVersion, c.recorded = true, version, found.Step
		m.resume(&found, c.id)
	})
}

// resume continues an order from its record, unless a later update is known. m.mu must be held.
func (m *Manager) resume(found *record, id OrderID) {
	state := m.pools[id.Pool]
	if state == nil || state.order == nil || idOf(state.order) != id {
		return
	}
	now := m.options.Now()
	if found.Step.Stage > state.update.Step.Stage {
		state.update.Step, state.update.Canaries, state.update.Reason = found.Step, found.Canaries, found.Reason
	}
	state.update.Elapsed = max(found.Elapsed, state.elapsed(now))
	state.updatedAt = now
	m.options.Log.Info().Str("pool", id.Pool).Str("target", id.Target).Stringer("stage", state.update.Step.Stage).
		Float64("share", state.update.Step.Share).Dur("elapsed_ms", state.update.Elapsed).Msg("rollout: this gateway decides on the order")
}

// desiredState returns the state that the order's status should have.
func desiredState(state *poolState) catalog.RolloutState {
	switch {
	case state.order.State.IsFinal():
		return state.order.State
	case state.isRolledBack():
		return catalog.RolloutRolledBack
	case state.update.Step.Stage == StageDone:
		return catalog.RolloutCompleted
	default:
		return catalog.RolloutRunning
	}
}

// store writes the status or the record of an order in the background if it is not up to date,
// the status first. m.mu must be held.
func (m *Manager) store(ctx context.Context, c *controller, state *poolState, now bootclock.Instant) {
	if c.storing {
		return
	}
	order, update := *state.order, state.update
	desired := desiredState(state)
	var write func(ctx context.Context) error
	switch {
	case order.Stored != desired && !now.Before(c.nextStatusAt):
		c.nextStatusAt = now.Add(statusRetryDelay)
		write = func(ctx context.Context) error { return m.writeStatus(ctx, &order, desired) }
	case update.Step != c.recorded && !now.Before(c.nextRecordAt):
		c.nextRecordAt = now.Add(recordRetryDelay)
		write = func(ctx context.Context) error { return m.writeRecord(ctx, c, &update) }
	default:
		return
	}
	c.storing = true
	m.background.Go(func() {
		defer contain.Panics(m.options.Log, "rollout", "store")
		callContext, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		err := write(callContext)
		m.mu.Lock()
		defer m.mu.Unlock()
		c.storing = false
		m.options.Log.Info().Err(err).Str("pool", order.Pool).Str("target", order.Target).Stringer("state", desired).
			Stringer("stage", update.Step.Stage).Msg("rollout: status or record was written; after an error it is tried again")
	})
}

// writeStatus writes a state to the status of an order. The write is conditional on the version
// that the catalog shows, so that the effect of a lost response or of another writer is seen
// there before the next try.
func (m *Manager) writeStatus(ctx context.Context, order *catalog.Rollout, desired catalog.RolloutState) error {
	status, err := m.options.EncodeStatus(desired, order.Target)
	if err != nil {
		return err
	}
	_, err = m.options.Store.PutStatus(ctx, order.Key, status, order.Version)
	return err
}

// writeRecord writes the record of an order. After an error it reads the record, since the write
// may have been carried out.
func (m *Manager) writeRecord(ctx context.Context, c *controller, update *Update) error {
	m.mu.Lock()
	expected := c.recordVersion
	m.mu.Unlock()
	step := update.Step
	version, err := writeRecord(ctx, m.options.Store, update, expected)
	if err != nil {
		found, foundVersion, readErr := readRecord(ctx, m.options.Store, c.id)
		if readErr != nil {
			return err
		}
		step, version = found.Step, foundVersion
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.recorded, c.recordVersion = step, version
	return err
}
