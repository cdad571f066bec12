package once

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
)

const (
	// maxResolveAttempts bounds how often Do looks for the owner for one request.
	maxResolveAttempts = 3
	// maxWitnesses bounds the witnesses of a head.
	maxWitnesses = 4
)

// rankPeers returns the peers in rendezvous order for a shard, the preferred owner
// first.
func rankPeers(peers []Peer, pool string, shard int) []Peer {
	weight := func(p Peer) uint64 {
		return xxhash.Sum64String(pool + "/" + strconv.Itoa(shard) + "/" + p.Process)
	}
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Process, b.Process))
	})
	return ranked
}

// preferredOwner returns the first live peer in rendezvous order. It passes over
// this process while that is unhealthy. It returns false when no peer is left.
func (m *Manager) preferredOwner(shard int) (Peer, bool) {
	for _, peer := range rankPeers(m.options.Peers(), m.options.Pool, shard) {
		if peer.Process != m.options.Self.Process || m.isHealthy() {
			return peer, true
		}
	}
	return Peer{}, false
}

// ownershipLoop takes the shards whose preferred owner is this process, as soon as
// they may be taken, and hands over shards whose preferred owner is another peer.
// It reads the store only while it lacks shards whose preferred owner it is. While
// it can take none of them, the pause doubles up to maxOwnershipInterval.
func (m *Manager) ownershipLoop() {
	interval := ownershipInterval
	for pause.For(m.ctx, interval/4) == nil {
		if err := m.loadShardTable(m.ctx); err == nil {
			break
		}
	}
	for {
		m.refreshWitnesses()
		unowned := m.unownedPreferredShards()
		if len(unowned) == 0 {
			interval = ownershipInterval
			m.rebalance()
		} else if m.takeUnowned(unowned) > 0 {
			interval = ownershipInterval
		} else {
			interval = min(2*interval, maxOwnershipInterval)
		}
		if pause.For(m.ctx, interval) != nil {
			return
		}
	}
}

// unownedPreferredShards returns the shards whose preferred owner is this process and
// that it does not own. It returns none while the manager stops.
func (m *Manager) unownedPreferredShards() []*shard {
	m.mu.Lock()
	shards, stopping := m.shards, m.stopping
	m.mu.Unlock()
	if stopping {
		return nil
	}
	var unowned []*shard
	for _, s := range shards {
		preferred, ok := m.preferredOwner(s.number)
		if ok && preferred.Process == m.options.Self.Process && !s.isOwned() {
			unowned = append(unowned, s)
		}
	}
	return unowned
}

// takeUnowned reads the heads of all shards with one call to the store, takes those
// of the unowned shards that may be taken, and returns how many it took.
func (m *Manager) takeUnowned(unowned []*shard) int {
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	objects, _, err := m.options.Store.List(ctx, headPrefix(m.options.Pool))
	if err != nil {
		m.log.Debug().Err(err).Msg("once: listing the shard heads failed; no shard is taken now")
		return 0
	}
	heads := make(map[int]storedHead)
	for _, object := range objects {
		number, ok := shardFromKey(m.options.Pool, object.Key)
		if !ok {
			continue
		}
		if stored, err := decodeHead(object); err == nil {
			heads[number] = stored
		}
	}
	m.updateAbsences(unowned, heads)
	taken := 0
	for _, s := range unowned {
		if s.tryTake(m.ctx, heads[s.number]) == nil && s.isOwned() {
			taken++
		}
	}
	return taken
}

// updateAbsences records which owners of the unowned shards are absent from the
// platform's list of hosts. It reads the list only when one of these owners is not
// among the live peers.
func (m *Manager) updateAbsences(unowned []*shard, heads map[int]storedHead) {
	if m.options.Hosts == nil {
		return
	}
	live := m.options.Peers()
	var notLive []string
	for _, s := range unowned {
		stored := heads[s.number]
		if stored.head == nil || stored.head.Closed {
			continue
		}
		owner := peerFromWire(stored.head.Owner)
		alive := slices.ContainsFunc(live, func(p Peer) bool { return p.Process == owner.Process })
		if !alive {
			notLive = append(notLive, owner.Address)
		}
	}
	if len(notLive) == 0 {
		m.absences.observe(nil, nil, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	hosts, err := m.options.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	m.absences.observe(notLive, hosts, time.Now())
}

// tryTake takes the shard if its stored head allows that. It returns nil without
// taking the shard when the head does not allow it, and an error when taking the
// shard failed.
func (s *shard) tryTake(ctx context.Context, stored storedHead) error {
	if err := s.takeoverLock.acquire(ctx); err != nil {
		return err
	}
	defer s.takeoverLock.release()
	return s.tryTakeLocked(ctx, stored)
}

// tryTakeLocked is tryTake with s.takeoverLock held.
func (s *shard) tryTakeLocked(ctx context.Context, stored storedHead) error {
	if stored.head != nil {
		s.cacheHead(stored)
	}
	if s.isOwned() || s.m.isStopping() || !s.m.mayTakeOver(stored) {
		return nil
	}
	err := s.takeOver(ctx, stored)
	if err != nil {
		s.m.log.Debug().Err(err).Int("shard", s.number).Msg("once: taking over the shard failed")
	}
	return err
}

func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// readAndTryTake reads the shard's head and takes the shard if the head allows that.
func (m *Manager) readAndTryTake(ctx context.Context, s *shard) error {
	if err := s.takeoverLock.acquire(ctx); err != nil {
		return err
	}
	defer s.takeoverLock.release()
	return s.readHeadLocked(ctx, true)
}

// readHeadLocked reads and caches the shard's head. If mayTake is true, it also
// takes the shard when the head allows that. s.takeoverLock must be held.
func (s *shard) readHeadLocked(ctx context.Context, mayTake bool) error {
	key := headKey(s.m.options.Pool, s.number)
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.m.options.Store.Get(readCtx, key)
	if errors.Is(err, store.ErrNotFound) {
		return s.handleHeadLocked(ctx, !mayTake, storedHead{})
	}
	if err != nil {
		return fault.Wrap(err, "read shard", key)
	}
	stored, err := decodeHead(object)
	if err != nil {
		return err
	}
	return s.handleHeadLocked(ctx, !mayTake, stored)
}

// handleHeadLocked caches a head that was read. Unless readOnly is true, it also takes
// the shard when the head allows that. s.takeoverLock must be held.
func (s *shard) handleHeadLocked(ctx context.Context, readOnly bool, stored storedHead) error {
	if !readOnly {
		return s.tryTakeLocked(ctx, stored)
	}
	if stored.head != nil {
		s.cacheHead(stored)
	}
	return nil
}

// resolveOwner returns the process to ask about a shard that this process does not
// serve. It may take the shard and then returns this process. It waits for a
// handover in progress and may read the store. ok is false when the owner can't be
// determined.
func (m *Manager) resolveOwner(ctx context.Context, s *shard) (owner Peer, ok bool) {
	if !s.awaitHandover(ctx) {
		return Peer{}, false
	}
	preferred, ok := m.preferredOwner(s.number)
	if !ok {
		return Peer{}, false
	}
	if s.takeoverLock.acquire(ctx) != nil {
		return Peer{}, false
	}
	defer s.takeoverLock.release()
	if owner, ok := s.cachedOwner(cachedHeadTTL); ok {
		return owner, true
	}
	if preferred.Process != m.options.Self.Process && s.isCachedHeadClosed() {
		return preferred, true
	}
	err := s.readHeadLocked(ctx, preferred.Process == m.options.Self.Process)
	if owner, ok := s.cachedOwner(0); ok {
		return owner, true
	}
	if err != nil {
		return Peer{}, false
	}
	// The store holds no head, a closed one, or one of an earlier incarnation of this
	// process. The preferred owner is asked, and takes the shard if the head allows that.
	return preferred, preferred.Process != m.options.Self.Process
}

// awaitHandover waits until a handover in progress has ended ownership. It returns
// true at once when there is none, and false when ctx ends first.
func (s *shard) awaitHandover(ctx context.Context) bool {
	s.mu.Lock()
	closing, ownershipEnded := s.closing, s.ownershipEnded
	s.mu.Unlock()
	if !closing {
		return true
	}
	select {
	case <-ownershipEnded:
		return true
	case <-ctx.Done():
		return false
	}
}

// cachedOwner returns this process if it owns the shard, else the owner in the
// cached head. In the second case it returns false when there is no cached head, or
// when that is older than maxAge, is closed, or names this process as owner. A maxAge
// of 0 accepts any age.
func (s *shard) cachedOwner(maxAge time.Duration) (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned {
		return s.m.options.Self, true
	}
	head := s.cachedHead.head
	if head == nil || head.Closed || (maxAge > 0 && time.Since(s.cachedAt) > maxAge) {
		return Peer{}, false
	}
	owner := peerFromWire(head.Owner)
	return owner, owner.Process != s.m.options.Self.Process
}

// isCachedHeadClosed reports whether the cached head is closed and at most
// cachedHeadTTL old.
func (s *shard) isCachedHeadClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := s.cachedHead.head
	return head != nil && head.Closed && time.Since(s.cachedAt) <= cachedHeadTTL
}
