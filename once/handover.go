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
	rebalanceBackoff   = 30 * time.Second
)

// rebalance hands over one shard that prefers another live peer.
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
			m.log.Debug().Err(err).Int("shard", s.number).Msg("once: shard not handed over")
		}
		return
	}
}

// handOverAll gives up all shards, each to the best peer that takes it.
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

// mayRebalance reports whether the shard is owned and the store answered lately.
func (s *shard) mayRebalance() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned && (s.journal.lastFailureAt.IsZero() || time.Since(s.journal.lastFailureAt) > rebalanceBackoff)
}

// handOver gives the shard to a peer that agrees to take it. With persist set it
// writes until ctx ends, else once.
func (s *shard) handOver(ctx context.Context, to Peer, persist bool) error {
	accepted, err := s.m.options.Transport.Offer(ctx, to, s.number, false)
	if err != nil {
		return fault.Wrap(err, "offer shard", to.Address)
	}
	if !accepted {
		return fault.New("declined", "offer shard", to.Address)
	}
	if err := s.closeShard(ctx, persist); err != nil {
		return err
	}
	_, err = s.m.options.Transport.Offer(ctx, to, s.number, true)
	s.m.log.Info().Int("shard", s.number).Str("to", to.Process).Msg("once: shard handed over")
	return fault.Wrap(err, "pass shard", to.Address)
}

// closeShard waits for the claims in flight and writes the record without an owner.
// When it fails the shard stays owned.
func (s *shard) closeShard(ctx context.Context, persist bool) error {
	s.mu.Lock()
	if !s.owned || s.closing {
		s.mu.Unlock()
		return errOwnerChanged
	}
	s.closing = true
	s.mu.Unlock()
	err := s.writeClosedHead(ctx, persist)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned {
		s.closing = false
	}
	return err
}

func (s *shard) writeClosedHead(ctx context.Context, persist bool) error {
	for s.activeClaimCount() > 0 {
		if err := pause.For(ctx, closeRetryInterval); err != nil {
			return fault.Wrap(err, "finish calls", "")
		}
	}
	for {
		err := s.commit(ctx, true)
		if err == nil || errors.Is(err, errOwnerChanged) || !persist {
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
