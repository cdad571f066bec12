package configsync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/snapshot"
	"google.golang.org/protobuf/proto"
)

const (
	// startPeerCount is the number of peers that are asked at once during the start.
	startPeerCount = 4
	// minStartInterval is the first interval between attempts to load from peers. It
	// doubles up to compareInterval.
	minStartInterval = 100 * time.Millisecond
	// maxPushBytes is the size of the largest request that carries a delta. For a
	// larger delta, only the revision is sent, and each neighbour pulls the delta once.
	maxPushBytes = 16 << 10
)

var errHashMismatch = errors.New("result does not match its hash")

// HandleExchange handles a request from the peer at address, which is empty if this
// process itself made the request. It applies a delta in the request, records or discards an
// announcement, and returns the revision, evidence and changes that the peer lacks.
// It does not block on the network.
func (m *Manager) HandleExchange(address string, request *wirepb.ConfigExchange) *wirepb.ConfigReply {
	if request.Delta != nil {
		if err := m.applyDelta(request.Delta, address); err != nil {
			m.log.Warn().Err(err).Msg("config: could not apply a pushed delta; a pull from a peer will repair it")
		}
	}
	m.evidence.recordOwnStatement(m.options.View.Self().Address)
	if request.Revision > m.Revision() && address != "" {
		m.startPull(address)
	}
	reply := new(wirepb.ConfigReply)
	if request.Prepare != "" {
		reply.Prepared = m.recordAnnouncement(request)
	}
	current := m.current.Load()
	reply.Revision = current.snapshot.Revision()
	reply.Hash = current.hash[:]
	reply.Evidence = m.evidence.encode(reply.Revision)
	if request.Revision < reply.Revision {
		m.addChanges(reply, request, current.snapshot)
	}
	return reply
}

// startPull starts a pull from a peer that has reported a higher revision, unless
// such a pull is already running. If it fails, the next comparison retries.
func (m *Manager) startPull(address string) {
	if !m.isPulling.CompareAndSwap(false, true) {
		return
	}
	m.run(func(ctx context.Context) {
		defer m.isPulling.Store(false)
		if err := m.pull(ctx, address); err != nil {
			m.log.Debug().Err(err).Msg("config: pull from a peer failed; the next comparison retries")
		}
	})
}

// recordAnnouncement records an announced publication, or discards it when the
// request abandons it. It reports whether the request was carried out.
func (m *Manager) recordAnnouncement(request *wirepb.ConfigExchange) bool {
	if request.Abandon {
		m.evidence.removeAnnouncement(request.Prepare)
		return true
	}
	return m.evidence.addAnnouncement(request.Revision, request.Prepare)
}

// addChanges adds to the reply what the requester lacks: the buckets that differ if
// the request has bucket hashes, otherwise the deltas since its revision if they are
// still kept.
func (m *Manager) addChanges(reply *wirepb.ConfigReply, request *wirepb.ConfigExchange, s *snapshot.Snapshot) {
	if len(request.BucketHashes) == snapshot.BucketCount {
		reply.Buckets = encodeBuckets(s, request.BucketHashes)
		return
	}
	for _, kept := range m.deltasSince(request.Revision) {
		if kept.to <= s.Revision() {
			reply.Deltas = append(reply.Deltas, encodeDelta(kept))
		}
	}
}

// pull compares revisions with the peer and applies changes that the peer has and
// this process lacks. It asks for deltas first, and for the differing buckets if this
// process has no configuration yet or the deltas do not lead to the peer's revision.
func (m *Manager) pull(ctx context.Context, address string) error {
	current := m.current.Load()
	request := &wirepb.ConfigExchange{Revision: current.snapshot.Revision(), Hash: current.hash[:]}
	if request.Revision == 0 {
		request.BucketHashes = bucketHashes(current.snapshot)
	}
	reply, requestedAt, err := m.exchange(ctx, address, request)
	if err != nil {
		return err
	}
	if err := m.applyReply(reply, requestedAt, address); err == nil {
		return nil
	}
	base := m.current.Load()
	fullRequest := &wirepb.ConfigExchange{
		Revision: base.snapshot.Revision(), Hash: base.hash[:], BucketHashes: bucketHashes(base.snapshot),
	}
	if reply, requestedAt, err = m.exchange(ctx, address, fullRequest); err != nil {
		return err
	}
	return m.applyReply(reply, requestedAt, address)
}

// exchange sends a request and returns the reply and the time at which the request
// was sent.
func (m *Manager) exchange(ctx context.Context, address string, request *wirepb.ConfigExchange) (*wirepb.ConfigReply, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	requestedAt := m.evidence.now()
	reply, err := m.transport.Exchange(ctx, address, request)
	if err != nil {
		metrics.Counter("config.exchange_errors").Inc(1)
		return nil, 0, fault.Wrap(err, "exchange configuration", address)
	}
	return reply, requestedAt, nil
}

// applyReply applies the changes in a reply and then merges its evidence. It returns
// an error when the peer's revision still is higher than the current one afterwards.
func (m *Manager) applyReply(reply *wirepb.ConfigReply, requestedAt time.Duration, address string) error {
	var applyErr error
	for _, message := range reply.Deltas {
		if applyErr = m.applyDelta(message, address); applyErr != nil {
			break
		}
	}
	if len(reply.Buckets) > 0 {
		applyErr = m.applyBuckets(reply, address)
	}
	currentRevision := m.current.Load().snapshot.Revision()
	if reply.Revision > currentRevision {
		return errors.Join(fault.New("peer has a higher revision", "apply configuration", address), applyErr)
	}
	m.evidence.merge(reply.Evidence, requestedAt, reply.Revision)
	return nil
}

// applyDelta applies a delta that starts from the current revision, and returns an
// error for one that starts from another. It ignores a delta that does not lead to a
// higher revision.
func (m *Manager) applyDelta(message *wirepb.ConfigDelta, address string) error {
	current := m.Snapshot()
	if message.To <= current.Revision() {
		return nil
	}
	if message.From != current.Revision() {
		return fault.New("delta starts from another revision", "apply delta", address)
	}
	next := current.Apply(message.To, decodeChanges(message))
	return m.applyVerified(next, message.ToHash, address)
}

// applyBuckets replaces the buckets in the reply and applies the resulting snapshot.
// The peer selected the buckets by the hashes in the request, so the hash of the
// result does not match if the local snapshot has changed since.
func (m *Manager) applyBuckets(reply *wirepb.ConfigReply, address string) error {
	next, err := m.Snapshot().Replace(reply.Revision, decodeBuckets(reply.Buckets))
	if err != nil {
		return fault.Wrap(err, "apply buckets", address)
	}
	return m.applyVerified(next, reply.Hash, address)
}

// applyVerified applies next if it has the given hash, and returns an error otherwise.
func (m *Manager) applyVerified(next *snapshot.Snapshot, wantHash []byte, address string) error {
	hash := next.Hash()
	if string(hash[:]) != string(wantHash) {
		return fault.Wrap(errHashMismatch, "apply configuration", address)
	}
	return fault.Wrap(m.Apply(next, address), "apply configuration", address)
}

// push sends a delta to all neighbours except the source it came from, and waits for
// their replies.
func (m *Manager) push(ctx context.Context, applied delta, source string) {
	request := &wirepb.ConfigExchange{
		Revision: applied.to, Hash: applied.toHash[:], Delta: encodeDelta(applied),
	}
	if proto.Size(request) > maxPushBytes {
		request.Delta = nil
	}
	var pushes sync.WaitGroup
	for _, peer := range m.neighbours() {
		if peer == source {
			continue
		}
		pushes.Go(func() {
			if _, _, err := m.exchange(ctx, peer, request); err != nil {
				m.log.Debug().Err(err).Msg("config: push to a neighbour failed; a later comparison repairs it")
			}
		})
	}
	pushes.Wait()
}

// compareLoop compares revisions once per compareInterval with a random neighbour and
// with the parent in the evidence tree. It asks all neighbours when the evidence
// needs a refresh.
func (m *Manager) compareLoop(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		m.evidence.recordOwnStatement(m.options.View.Self().Address)
		peers := m.neighbours()
		if !m.evidence.needsRefresh() {
			peers = m.pickOne(peers)
		}
		m.pullAll(ctx, union(peers, m.parent()))
		metrics.Gauge("config.evidence_age_ms").Update(m.evidence.age().Milliseconds())
	}
}

// pullAll pulls from the peers concurrently and waits for all pulls to end.
func (m *Manager) pullAll(ctx context.Context, peers []string) {
	var pulls sync.WaitGroup
	for _, peer := range peers {
		pulls.Go(func() {
			if err := m.pull(ctx, peer); err != nil {
				m.log.Debug().Err(err).Msg("config: comparison with a peer failed; a later comparison retries")
			}
		})
	}
	pulls.Wait()
}

// union returns the addresses of both lists without duplicates.
func union(a, b []string) []string {
	merged := append([]string(nil), a...)
	for _, address := range b {
		if !slices.Contains(merged, address) {
			merged = append(merged, address)
		}
	}
	return merged
}

// loadFromPeers pulls from several peers at once until the configuration is fresh.
// The interval between attempts doubles from minStartInterval to compareInterval.
func (m *Manager) loadFromPeers(ctx context.Context) {
	interval := minStartInterval
	for !m.IsFresh() && ctx.Err() == nil {
		peers := m.selectStartPeers()
		m.pullAll(ctx, peers)
		if len(peers) > 0 {
			m.peersAskedOnce.Do(func() { close(m.peersAsked) })
		}
		_ = pause.For(ctx, m.jitter(interval))
		interval = min(2*interval, compareInterval)
	}
}
