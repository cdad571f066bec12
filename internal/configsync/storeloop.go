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
	storeRetryInterval = time.Second
	storeRetryLimit    = 5 * time.Second
	loadTimeout        = 10 * time.Second
	peersWait          = time.Second
	// watcherReadPercent and otherReadPercent are the parts of StaleAfter after
	// which a watcher and any other process read the head themselves.
	watcherReadPercent = 33
	otherReadPercent   = 90
	// fenceAfter is how long a publication under way is waited for.
	fenceAfter = 8 * time.Second
)

// loadFromStore reads the newest snapshot until a first set is in force. It
// reads the head at once, and the buckets only if the peers that are asked at
// the same time have not given them: restarted herds spare the store.
func (m *Manager) loadFromStore(ctx context.Context) {
	wait := storeRetryInterval
	for m.Current() == nil && ctx.Err() == nil {
		if err := m.loadOnce(ctx); err != nil {
			m.log.Debug().Err(err).Msg("config: store not read")
		}
		_ = pause.For(ctx, m.jitter(wait))
		wait = min(2*wait, storeRetryLimit)
	}
}

func (m *Manager) loadOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asked := m.evidence.now()
	state, err := m.repository.Head(ctx)
	if err != nil {
		return err
	}
	m.awaitPeers(ctx)
	return m.adoptHead(ctx, state, asked)
}

// awaitPeers waits a short while until peers have been asked once. They are
// not known at the very start.
func (m *Manager) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peersWait)
	defer cancel()
	select {
	case <-m.asked:
	case <-ctx.Done():
	}
}

// readStore reads the head and puts its snapshot in force. It is evidence that
// the revision in force is the newest.
func (m *Manager) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := m.evidence.now()
	state, err := m.repository.Head(ctx)
	if err != nil {
		return err
	}
	return m.adoptHead(ctx, state, asked)
}

// adoptHead puts the snapshot of a head in force, which was in the store at
// some moment after asked.
func (m *Manager) adoptHead(ctx context.Context, state snapshot.State, asked time.Duration) error {
	if state.Revision() > m.Revision() {
		next, err := m.repository.Load(ctx, state, m.Snapshot())
		if err != nil {
			return err
		}
		if err := m.Apply(next, ""); err != nil {
			m.log.Error().Err(err).Uint64("revision", state.Revision()).Msg("config: stored set refused")
			return err
		}
	}
	m.evidence.sawStore(asked)
	return nil
}

// storeLoop reads the head when evidence grows old: soon in the process that
// watches for its zone, late in the others, which hear of it from peers.
func (m *Manager) storeLoop(ctx context.Context) {
	var stopWatch context.CancelFunc
	wait := storeRetryInterval
	for ctx.Err() == nil {
		_ = pause.For(ctx, m.jitter(wait))
		wait = storeRetryInterval
		if m.Current() == nil {
			continue
		}
		watching := m.watches()
		if watching && stopWatch == nil {
			stopWatch = m.startWatch(ctx)
		}
		if !watching && stopWatch != nil {
			stopWatch()
			stopWatch = nil
		}
		if m.evidenceDue(watching) {
			if err := m.readStore(ctx); err != nil {
				m.log.Debug().Err(err).Msg("config: head not read")
				wait = storeRetryLimit
			}
		}
	}
	if stopWatch != nil {
		stopWatch()
	}
}

// evidenceDue reports whether this process reads the head now.
func (m *Manager) evidenceDue(watching bool) bool {
	staleAfter := time.Duration(m.evidence.staleAfter.Load())
	if watching {
		return m.evidence.storeAge() > staleAfter*watcherReadPercent/100
	}
	return m.evidence.age() > staleAfter*otherReadPercent/100
}

// startWatch follows the head until the returned function is called.
func (m *Manager) startWatch(ctx context.Context) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	m.run(func(context.Context) {
		metrics.Gauge("config.watching").Update(1)
		defer metrics.Gauge("config.watching").Update(0)
		wait := storeRetryInterval
		for ctx.Err() == nil {
			began := m.evidence.now()
			if err := m.watch(ctx); err != nil {
				m.log.Debug().Err(err).Msg("config: watch lost")
			}
			wait = min(2*wait, storeRetryLimit)
			if m.evidence.now()-began > storeRetryLimit {
				wait = storeRetryInterval
			}
			_ = pause.For(ctx, m.jitter(wait))
		}
	})
	return cancel
}

// watch follows the head until the watch is cut. What a watch delivers may be
// late, so it is no evidence of freshness.
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
	if err := m.adoptWatched(ctx, state); err != nil {
		return err
	}
	for object := range changes {
		state, err := snapshot.ParseHead(object)
		if err != nil {
			return err
		}
		if err := m.adoptWatched(ctx, state); err != nil {
			return err
		}
	}
	return store.ErrUnavailable
}

func (m *Manager) adoptWatched(ctx context.Context, state snapshot.State) error {
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

// jitter returns a random duration between half of d and d.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)))
}
