package configsync

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/snapshot"
)

const (
	fenceCheckInterval = 2 * time.Second
	fenceAuthor        = "greengagegate"
	fenceNote          = "supersedes a publication that was announced and neither made nor abandoned"
)

// fenceLoop resolves publications that were announced long ago. An empty
// revision on top of the one in force makes the conditional update of their
// writer fail for ever, wherever it has been held up.
func (m *Manager) fenceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_ = pause.For(ctx, m.jitter(fenceCheckInterval))
		age, pending := m.evidence.oldestPending()
		if !pending || age < fenceAfter {
			continue
		}
		if err := m.fence(ctx); err != nil {
			m.log.Debug().Err(err).Msg("config: announced publication not superseded")
		}
	}
}

func (m *Manager) fence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := m.evidence.now()
	state, err := m.repository.Head(ctx)
	if err != nil {
		return err
	}
	base := m.Snapshot()
	if state.Revision() != base.Revision() {
		return m.adoptHead(ctx, state, asked)
	}
	next := base.Apply(base.Revision()+1, nil)
	entry := snapshot.Entry{Nonce: snapshot.NewNonce(), Author: fenceAuthor, Note: fenceNote, At: time.Now().UTC()}
	_, err = m.repository.Commit(ctx, state, base, next, entry, nil)
	if errors.Is(err, snapshot.ErrHeadChanged) {
		return m.readStore(ctx)
	}
	if err != nil {
		return err
	}
	metrics.Counter("config.fences").Inc(1)
	return m.Apply(next, "")
}
