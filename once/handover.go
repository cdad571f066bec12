package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/pause"
)

const (
	closeRetryInterval = 50 * time.Millisecond
	rebalanceTimeout   = 3 * time.Second
	// rebalanceBackoff is how long after a failed write a shard is not rebalanced.
	rebalanceBackoff = 30 * time.Second
)

// rebalance hands at most one shard over to its preferred owner, if that is another
// live peer. It blocks for at most rebalanceTimeout.
func (m *Manager) rebalance() {
	m.mu.Lock()
	shards := m.shards
	m.mu.Unlock()
	for _, s := range shards {
		preferred, ok := m.preferredOwner(s.number)
		if !ok || preferred.Process == m.options.Self.Process || !s.mayRebalance() {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, rebalanceTimeout)
		err := s.handOver(ctx, preferred, false)
		cancel()
		if err != nil {
			m.log.Debug().Err(err).Int("shard", s.number).Msg("once: handing the shard over to its preferred owner failed; it stays here unless its closed head was written")
		}
		return
	}
}

// handOverAll hands over all owned shards concurrently and returns their joined errors.
func (m *Manager) handOverAll(ctx context.Context, shards []*shard) error {
	var group sync.WaitGroup
	failures := make([]error, len(shards))
	for i, s := range shards {
		if s.isOwned() {
			group.Go(func() { failures[i] = m.handOverToAny(ctx, s) })
		}
	}
	group.Wait()
	return errors.Join(failures...)
}

// handOverToAny hands the shard over to the first peer in rendezvous order that accepts
// it. If none does, it closes the head, so that any peer may take the shard later.
func (m *Manager) handOverToAny(ctx context.Context, s *shard) error {
	for _, peer := range rankPeers(m.options.Peers(), m.options.Pool, s.number) {
		if peer.Process == m.options.Self.Process {
			continue
		}
		err := s.handOver(ctx, peer, true)
		if err == nil || ctx.Err() != nil || !s.isOwned() {
			return err
		}
	}
	return s.closeShard(ctx, true)
}

// mayRebalance reports whether the shard is owned and no write of its head failed within
// rebalanceBackoff.
func (s *shard) mayRebalance() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned && (s.journal.lastFailureAt.IsZero() || time.Since(s.journal.lastFailureAt) > rebalanceBackoff)
}

// handOver hands the shard over to a peer that accepts it. If retry is true, it repeats
// a failed write of the closed head until ctx ends. It returns an error when the peer
// declined, when the shard was not closed, or when the peer did not answer after that.
func (s *shard) handOver(ctx context.Context, peer Peer, retry bool) error {
	accepted, err := s.m.options.Transport.Offer(ctx, peer, s.number, false)
	if err != nil {
		return fault.Wrap(err, "offer shard", peer.Address)
	}
	if !accepted {
		return fault.New("declined", "offer shard", peer.Address)
	}
	if err := s.closeShard(ctx, retry); err != nil {
		return err
	}
	_, err = s.m.options.Transport.Offer(ctx, peer, s.number, true)
	s.m.log.Info().Int("shard", s.number).Str("to", peer.Process).Msg("once: shard closed and offered to its next owner")
	return fault.Wrap(err, "pass shard", peer.Address)
}

// closeShard refuses new claims, waits for the active claims to end and writes a closed
// head. After an error other than errNotOwned this process still owns the shard.
// errNotOwned also means that the shard is being closed already.
func (s *shard) closeShard(ctx context.Context, retry bool) error {
	s.mu.Lock()
	if !s.owned || s.closing {
		s.mu.Unlock()
		return errNotOwned
	}
	s.closing = true
	s.mu.Unlock()
	err := s.writeClosedHead(ctx, retry)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned {
		s.closing = false
	}
	return err
}

// writeClosedHead waits until no claim is active and commits the closed head. If retry
// is true, it repeats a failed commit until ctx ends.
func (s *shard) writeClosedHead(ctx context.Context, retry bool) error {
	for s.activeClaimCount() > 0 {
		if err := pause.For(ctx, closeRetryInterval); err != nil {
			return fault.Wrap(err, "finish calls", "")
		}
	}
	for {
		err := s.commit(ctx, true)
		if err == nil || errors.Is(err, errNotOwned) || !retry {
			return err
		}
		if ctxErr := pause.For(ctx, closeRetryInterval); ctxErr != nil {
			return err
		}
	}
}

func (s *shard) activeClaimCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeClaims
}
