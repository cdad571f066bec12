package weights

import (
	"context"
	"errors"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
)

// rollOut brings one engine to a version: it excludes the engine from new requests, waits
// until the engine is idle, orders it to load the version, and polls it until it has the
// version or the rollout has failed. The planner retries a failed rollout.
func (m *Manager) rollOut(ctx context.Context, engine *catalog.Upstream, model string, version int64) {
	m.startHold(engine.ID, model, version)
	report, err := m.waitUntilIdle(ctx, engine, model)
	if err != nil {
		m.endHold(engine.ID, model)
		_ = pause.For(ctx, reportFailureBackoff)
		return
	}
	if report.Versions[model] >= version {
		m.recordLoaded(engine.ID, model, version)
		return
	}
	if !m.acquireLoadSlot(ctx, engine.Pool) {
		// ctx has ended; the hold expires after holdDuration.
		return
	}
	defer m.releaseLoadSlot(engine.Pool)
	result, err := m.sendOrder(ctx, engine, model, version, report.AcceptedOrders)
	switch {
	case err == nil && result == AlreadyLoaded:
		m.recordLoaded(engine.ID, model, version)
	case err == nil && result != Accepted && result != Busy:
		m.endHold(engine.ID, model)
		_ = pause.For(ctx, rejectionBackoff)
	default:
		// The engine is polled after Accepted, after Busy, since the order in progress
		// may load the version, and after an error, since the engine may have accepted
		// the order although no answer arrived. This includes ErrOrdersNotPermitted, with
		// which no order was sent.
		m.awaitVersion(ctx, engine, model, version)
	}
}

// waitUntilIdle waits until an engine has no requests and carries out no order, for about
// idleWaitTimeout at most, and returns its last report. Requests that are still running
// then continue with the new weights.
func (m *Manager) waitUntilIdle(ctx context.Context, engine *catalog.Upstream, model string) (Report, error) {
	startedAt := bootclock.Now()
	for {
		report, err := m.fetchReport(ctx, engine, model)
		if err != nil || report.RequestCount == 0 && !report.Busy {
			return report, err
		}
		remaining := idleWaitTimeout - bootclock.Since(startedAt)
		if remaining <= 0 {
			return report, nil
		}
		if err := pause.For(ctx, min(remaining, idlePollInterval)); err != nil {
			return report, err
		}
	}
}

// acquireLoadSlot waits until fewer engines of the pool are loading than the pool's
// limit, and counts one more. It returns false when ctx ends first.
func (m *Manager) acquireLoadSlot(ctx context.Context, pool string) bool {
	for {
		m.mu.Lock()
		if m.loadCount[pool] < m.loadLimit[pool] {
			m.loadCount[pool]++
			m.mu.Unlock()
			return true
		}
		m.mu.Unlock()
		if pause.For(ctx, planInterval) != nil {
			return false
		}
	}
}

func (m *Manager) releaseLoadSlot(pool string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadCount[pool]--
}

// awaitVersion polls an engine until it has the version. It gives up after loadTimeout,
// when ctx ends, when the engine was replaced, or when the engine, more than
// 2*firstReportDelay after the order, is not busy and still has another version.
func (m *Manager) awaitVersion(ctx context.Context, engine *catalog.Upstream, model string, version int64) {
	orderedAt := bootclock.Now()
	wait := firstReportDelay
	for pause.For(ctx, wait) == nil && bootclock.Since(orderedAt) < loadTimeout {
		wait = reportInterval
		if m.options.Fleet.Version(engine.ID, model) >= version {
			m.recordLoaded(engine.ID, model, version)
			return
		}
		report, err := m.fetchReport(ctx, engine, model)
		if errors.Is(err, ErrIncarnationChanged) {
			break
		}
		if err != nil {
			continue
		}
		if report.Versions[model] >= version {
			m.recordLoaded(engine.ID, model, version)
			return
		}
		if !report.Busy && bootclock.Since(orderedAt) > 2*firstReportDelay {
			break
		}
	}
	m.endHold(engine.ID, model)
}

// sendOrder orders an engine to load a version. Without sending the order, it returns
// ErrOrdersNotPermitted when this process may not give orders now, and ErrEngineDeclines
// when the engine wants none.
func (m *Manager) sendOrder(ctx context.Context, engine *catalog.Upstream, model string, version, expected int64) (Result, error) {
	if !m.options.Fleet.MayCall(engine.ID) {
		return Rejected, ErrEngineDeclines
	}
	fencingToken, timeout, ok := m.beginOrder()
	if !ok {
		return Rejected, ErrOrdersNotPermitted
	}
	defer m.orders.Done()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := bootclock.Now()
	result, err := m.options.Engines.Order(ctx, &Order{
		Upstream: engine, Model: model, Version: version, Mode: ModeContinue,
		Holder: m.options.Name, FencingToken: fencingToken, ExpectedOrders: expected,
	})
	outcome := result.String()
	if err != nil {
		outcome = "no-answer"
	}
	switch {
	case err != nil:
	case result == Accepted:
		m.options.Catalog.ConfirmVersion(model, version)
	case result == Rejected:
		m.options.Catalog.RefuseVersion(model, version, sentAt)
	}
	metrics.Counter("weights.orders", "result", outcome).Inc(1)
	m.options.Log.Info().Err(err).Str("upstream", engine.ID).Str("model", model).Int64("version", version).
		Int64("fence", fencingToken).Int64("expected_orders", expected).Str("result", outcome).
		Dur("took_ms", bootclock.Since(sentAt)).Msg("weights: order to load a version sent to the engine; polling the engine if the result is accepted, busy or no-answer")
	return result, err
}

// fetchReport queries an engine's state and records in the Fleet the version of the model
// and whether the engine was replaced.
// It returns ErrEngineDeclines, without a query, while the engine wants none.
func (m *Manager) fetchReport(ctx context.Context, engine *catalog.Upstream, model string) (Report, error) {
	if !m.options.Fleet.MayCall(engine.ID) {
		return Report{}, ErrEngineDeclines
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := m.options.Engines.Report(ctx, engine)
	if errors.Is(err, ErrIncarnationChanged) {
		m.options.Fleet.MarkReplaced(engine.ID, engine.StartedMillis)
	}
	if err != nil {
		m.options.Log.Warn().Err(err).Str("upstream", engine.ID).Msg("weights: query of the engine failed; trying again later unless another incarnation has replaced it")
		return report, err
	}
	if version := report.Versions[model]; version > 0 {
		m.options.Fleet.RecordVersion(engine.ID, model, version)
	}
	return report, nil
}

// startHold excludes an engine from new requests, at this gateway and at the others.
func (m *Manager) startHold(id, model string, target int64) {
	until := updateExpiry()
	m.options.Fleet.HoldUntil(id, until)
	m.publish(RolloutUpdate{ID: id, Model: model, Held: true, TargetVersion: target, ExpiresAt: until})
}

// endHold ends the hold of an engine whose rollout failed.
func (m *Manager) endHold(id, model string) {
	m.options.Fleet.HoldUntil(id, 0)
	m.publish(RolloutUpdate{ID: id, Model: model, Version: m.options.Fleet.Version(id, model), ExpiresAt: updateExpiry()})
}

// recordLoaded records that an engine has its target version, and ends its hold.
func (m *Manager) recordLoaded(id, model string, version int64) {
	m.options.Fleet.RecordVersion(id, model, version)
	m.options.Fleet.HoldUntil(id, 0)
	m.publish(RolloutUpdate{ID: id, Model: model, Version: version, ExpiresAt: updateExpiry()})
	m.options.Log.Info().Str("upstream", id).Str("model", model).Int64("version", version).Msg("weights: engine has the target version")
}

// publish stores a RolloutUpdate for the other gateways and calls onUpdate. The caller
// must not hold m.mu.
func (m *Manager) publish(update RolloutUpdate) {
	m.mu.Lock()
	m.rolloutUpdates[update.ID] = update
	m.mu.Unlock()
	if m.onUpdate != nil {
		m.onUpdate()
	}
}
