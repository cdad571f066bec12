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
	maxResolveAttempts = 3
	maxWitnesses       = 4
)

// rankPeers orders the peers by preference for a shard.
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

func (m *Manager) preferredOwner(shard int) (Peer, bool) {
	for _, peer := range rankPeers(m.options.Peers(), m.options.Pool, shard) {
		if peer.Process != m.options.Self.Process || m.isHealthy() {
			return peer, true
		}
	}
	return Peer{}, false
}

// ownershipLoop takes the shards that prefer this process and may be taken, and
// hands over those that prefer a live peer. It asks the store only while a
// preferred shard is missing.
func (m *Manager) ownershipLoop() {
	look := ownershipInterval
	for pause.For(m.ctx, look/4) == nil {
		if err := m.loadShardTable(m.ctx); err == nil {
			break
		}
	}
	for {
		m.refreshWitnesses()
		missing := m.missingShards()
		if len(missing) == 0 {
			look = ownershipInterval
			m.rebalance()
		} else if m.takeMissing(missing) > 0 {
			look = ownershipInterval
		} else {
			look = min(2*look, maxOwnershipInterval)
		}
		if pause.For(m.ctx, look) != nil {
			return
		}
	}
}

// missingShards returns the shards that prefer this process and are not owned by it.
func (m *Manager) missingShards() []*shard {
	m.mu.Lock()
	shards, stopping := m.shards, m.stopping
	m.mu.Unlock()
	if stopping {
		return nil
	}
	var found []*shard
	for _, s := range shards {
		preferred, ok := m.preferredOwner(s.number)
		if ok && preferred.Process == m.options.Self.Process && !s.isOwned() {
			found = append(found, s)
		}
	}
	return found
}

// takeMissing reads all heads with one call, takes what may be taken, and returns the
// number of shards taken.
func (m *Manager) takeMissing(missing []*shard) int {
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	objects, _, err := m.options.Store.List(ctx, headPrefix(m.options.Pool))
	if err != nil {
		m.log.Debug().Err(err).Msg("once: shards not read")
		return 0
	}
	records := make(map[int]storedHead)
	for _, object := range objects {
		number, ok := shardFromKey(m.options.Pool, object.Key)
		if !ok {
			continue
		}
		if found, err := decodeHead(object); err == nil {
			records[number] = found
		}
	}
	m.updateAbsences(missing, records)
	taken := 0
	for _, s := range missing {
		if s.tryTake(m.ctx, records[s.number]) == nil && s.isOwned() {
			taken++
		}
	}
	return taken
}

// updateAbsences asks for the platform's list when a missing shard's owner is not
// among the live peers.
func (m *Manager) updateAbsences(missing []*shard, records map[int]storedHead) {
	if m.options.Hosts == nil {
		return
	}
	live := m.options.Peers()
	var absent []string
	for _, s := range missing {
		found := records[s.number]
		if found.head == nil || found.head.Closed {
			continue
		}
		owner := peerFromWire(found.head.Owner)
		alive := slices.ContainsFunc(live, func(p Peer) bool { return p.Process == owner.Process })
		if !alive {
			absent = append(absent, owner.Address)
		}
	}
	if len(absent) == 0 {
		m.absences.observe(nil, nil, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	hosts, err := m.options.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	m.absences.observe(absent, hosts, time.Now())
}

// tryTake takes the shard given its record, if it may be taken. An error
// means that the attempt failed.
func (s *shard) tryTake(ctx context.Context, found storedHead) error {
	if err := s.takeoverLock.acquire(ctx); err != nil {
		return err
	}
	defer s.takeoverLock.release()
	return s.tryTakeLocked(ctx, found)
}

func (s *shard) tryTakeLocked(ctx context.Context, found storedHead) error {
	if found.head != nil {
		s.cacheHead(found)
	}
	if s.isOwned() || s.m.isStopping() || !s.m.mayTakeOver(found) {
		return nil
	}
	err := s.takeOver(ctx, found)
	if err != nil {
		s.m.log.Debug().Err(err).Int("shard", s.number).Msg("once: shard not taken")
	}
	return err
}

func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// readAndTryTake reads the shard's record and takes the shard if it may be taken.
func (m *Manager) readAndTryTake(ctx context.Context, s *shard) error {
	if err := s.takeoverLock.acquire(ctx); err != nil {
		return err
	}
	defer s.takeoverLock.release()
	return s.readHeadLocked(ctx, true)
}

// readHeadLocked reads the record, and with mayTake set takes the shard if it may be
// taken; s.lookLock is held.
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
	found, err := decodeHead(object)
	if err != nil {
		return err
	}
	return s.handleHeadLocked(ctx, !mayTake, found)
}

func (s *shard) handleHeadLocked(ctx context.Context, readOnly bool, found storedHead) error {
	if !readOnly {
		return s.tryTakeLocked(ctx, found)
	}
	if found.head != nil {
		s.cacheHead(found)
	}
	return nil
}

// resolveOwner names the process to ask for a shard that is not served here; it may
// take the shard. ok is false when no process can be named.
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
	return preferred, preferred.Process != m.options.Self.Process
}

// awaitHandover waits for a hand-over under way.
func (s *shard) awaitHandover(ctx context.Context) bool {
	s.mu.Lock()
	closing, released := s.closing, s.released
	s.mu.Unlock()
	if !closing {
		return true
	}
	select {
	case <-released:
		return true
	case <-ctx.Done():
		return false
	}
}

// cachedOwner returns the owner that was last seen, if that was recent; any age
// will do when freshFor is 0.
func (s *shard) cachedOwner(freshFor time.Duration) (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned {
		return s.m.options.Self, true
	}
	head := s.cachedHead.head
	if head == nil || head.Closed || (freshFor > 0 && time.Since(s.cachedAt) > freshFor) {
		return Peer{}, false
	}
	owner := peerFromWire(head.Owner)
	return owner, owner.Process != s.m.options.Self.Process
}

// isCachedHeadClosed reports whether the record was recently seen without an owner.
func (s *shard) isCachedHeadClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	head := s.cachedHead.head
	return head != nil && head.Closed && time.Since(s.cachedAt) <= cachedHeadTTL
}
