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
	supersedeCheckInterval = 2 * time.Second
	// supersedeAuthor and supersedeNote are stored in the history entry of the empty
	// revision.
	supersedeAuthor = "greengagegate"
	supersedeNote   = "supersedes a publication that was announced and neither made nor abandoned"
)

// supersedeLoop supersedes publications that were announced longer than
// supersedeAfter ago and not resolved. It commits an empty revision on top of the
// current one. The writer's update of the head is conditional on the current
// revision, so it then fails, however late it arrives at the store.
func (m *Manager) supersedeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_ = pause.For(ctx, m.jitter(supersedeCheckInterval))
		age, found := m.evidence.oldestAnnouncementAge()
		if !found || age < supersedeAfter {
			continue
		}
		if err := m.supersedePending(ctx); err != nil {
			m.log.Debug().Err(err).Msg("config: could not supersede an announced publication; retrying")
		}
	}
}

// supersedePending commits and applies an empty revision. If the store already has
// another revision, that one resolves the publication and is applied instead.
func (m *Manager) supersedePending(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	requestedAt := m.evidence.now()
	state, err := m.repository.Head(ctx)
	if err != nil {
		return err
	}
	base := m.Snapshot()
	if state.Revision() != base.Revision() {
		return m.applyHead(ctx, state, requestedAt)
	}
	next := base.Apply(base.Revision()+1, nil)
	entry := snapshot.Entry{Nonce: snapshot.NewNonce(), Author: supersedeAuthor, Note: supersedeNote, At: time.Now().UTC()}
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
