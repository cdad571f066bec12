package configsync

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/snapshot"
	"github.com/greengagegate/greengagegate/store"
)

const (
	// minStoreInterval and maxStoreInterval bound the interval between calls to the
	// store before jitter, which shortens it by up to half. The interval grows while
	// calls fail.
	minStoreInterval = time.Second
	maxStoreInterval = 5 * time.Second
	// loadTimeout is the timeout of loading the first configuration from the store.
	loadTimeout = 10 * time.Second
	// peersAskedTimeout bounds the wait for the first answers of peers before the
	// buckets are read from the store.
	peersAskedTimeout = time.Second
	// A zone watcher reads the head when its evidence from the store is older than
	// watcherReadPercent of StaleAfter. Another process does so when its evidence of
	// both kinds is older than nonWatcherReadPercent of StaleAfter.
	watcherReadPercent    = 33
	nonWatcherReadPercent = 90
	// supersedeAfter is how long an announced publication may remain unresolved
	// before it is superseded.
	supersedeAfter = 8 * time.Second
)

// loadFromStore loads the newest snapshot, with retries, until a configuration is
// current. It reads the head at once, but reads the buckets only if peers, which are
// asked at the same time, have not sent them. This limits the load on the store when
// many processes restart together.
func (m *Manager) loadFromStore(ctx context.Context) {
	wait := minStoreInterval
	for m.Current() == nil && ctx.Err() == nil {
		if err := m.loadOnce(ctx); err != nil {
			m.log.Debug().Err(err).Msg("config: could not load the configuration from the store; retrying")
		}
		_ = pause.For(ctx, m.jitter(wait))
		wait = min(2*wait, maxStoreInterval)
	}
}

// loadOnce reads the head, waits for the first answers of peers, and loads the
// snapshot from the store if peers have not sent it.
func (m *Manager) loadOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	requestedAt := m.evidence.now()
	state, err := m.repository.Head(ctx)
	if err != nil {
		return err
	}
	m.awaitPeers(ctx)
	return m.applyHead(ctx, state, requestedAt)
}

// awaitPeers waits up to peersAskedTimeout until peers have been asked once. The
// wait is needed because membership may not list any peer right after the start.
func (m *Manager) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peersAskedTimeout)
	defer cancel()
	select {
	case <-m.peersAsked:
	case <-ctx.Done():
	}
}

// readStore reads the head and applies its snapshot; see applyHead.
func (m *Manager) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	requestedAt := m.evidence.now()
	state, err := m.repository.Head(ctx)
	if err != nil {
		return err
	}
	return m.applyHead(ctx, state, requestedAt)
}

// applyHead applies the snapshot of a head that was in the store at some time after
// requestedAt. Afterwards it records the read as evidence that the current revision
// was the newest at requestedAt.
func (m *Manager) applyHead(ctx context.Context, state snapshot.State, requestedAt time.Duration) error {
	if state.Revision() > m.Revision() {
		next, err := m.repository.Load(ctx, state, m.Snapshot())
		if err != nil {
			return err
		}
		if err := m.Apply(next, ""); err != nil {
			m.log.Error().Err(err).Uint64("revision", state.Revision()).Msg("config: configuration in the store is invalid and was not applied; keeping the current revision and retrying")
			return err
		}
	}
	m.evidence.recordStoreTime(requestedAt)
	return nil
}

// storeLoop reads the head when the evidence gets old, and watches the head while
// this process is the zone watcher. A zone watcher reads early. Other processes read
// late, because they normally get evidence from peers in time.
func (m *Manager) storeLoop(ctx context.Context) {
	var stopWatch context.CancelFunc
	wait := minStoreInterval
	for ctx.Err() == nil {
		_ = pause.For(ctx, m.jitter(wait))
		wait = minStoreInterval
		if m.Current() == nil {
			continue
		}
		watching := m.isZoneWatcher()
		if watching && stopWatch == nil {
			stopWatch = m.startWatch(ctx)
		}
		if !watching && stopWatch != nil {
			stopWatch()
			stopWatch = nil
		}
		if m.shouldReadHead(watching) {
			if err := m.readStore(ctx); err != nil {
				m.log.Debug().Err(err).Msg("config: could not read the head from the store; retrying")
				wait = maxStoreInterval
			}
		}
	}
	if stopWatch != nil {
		stopWatch()
	}
}

// shouldReadHead reports whether the evidence is old enough for this process to read
// the head now.
func (m *Manager) shouldReadHead(watching bool) bool {
	staleAfter := time.Duration(m.evidence.staleAfter.Load())
	if watching {
		return m.evidence.storeAge() > staleAfter*watcherReadPercent/100
	}
	return m.evidence.age() > staleAfter*nonWatcherReadPercent/100
}

// startWatch watches the head in the background until the returned function is called.
func (m *Manager) startWatch(ctx context.Context) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	m.run(func(context.Context) {
		metrics.Gauge("config.watching").Update(1)
		defer metrics.Gauge("config.watching").Update(0)
		wait := minStoreInterval
		for ctx.Err() == nil {
			start := m.evidence.now()
			if err := m.watch(ctx); err != nil {
				m.log.Debug().Err(err).Msg("config: watch of the head ended; starting another")
			}
			wait = min(2*wait, maxStoreInterval)
			if m.evidence.now()-start > maxStoreInterval {
				wait = minStoreInterval
			}
			_ = pause.For(ctx, m.jitter(wait))
		}
	})
	return cancel
}

// watch applies changes of the head until the watch ends, and always returns an error.
// A watch may deliver changes late, so they are not recorded as evidence of freshness.
func (m *Manager) watch(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	state, err := m.repository.Head(readCtx)
	cancel()
	if err != nil {
		return err
	}
	changes, err := m.repository.Watch(ctx, state)
	if err != nil {
		return err
	}
	if err := m.applyWatchedHead(ctx, state); err != nil {
		return err
	}
	for object := range changes {
		state, err := snapshot.ParseHead(object)
		if err != nil {
			return err
		}
		if err := m.applyWatchedHead(ctx, state); err != nil {
			return err
		}
	}
	return store.ErrUnavailable
}

// applyWatchedHead applies the snapshot of a head if it is newer than the current one.
// Unlike applyHead it records no evidence.
func (m *Manager) applyWatchedHead(ctx context.Context, state snapshot.State) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if state.Revision() <= m.Revision() {
		return nil
	}
	next, err := m.repository.Load(ctx, state, m.Snapshot())
	if err != nil {
		return err
	}
	return m.Apply(next, "")
}

// jitter returns a random duration of at least d/2 and less than d.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)))
}
