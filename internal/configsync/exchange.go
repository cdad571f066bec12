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
	// startPeers is the number of peers asked at once at the start.
	startPeers    = 4
	startInterval = 100 * time.Millisecond
	// pushLimitBytes is the largest delta that is pushed; of a larger one the
	// neighbours are told, and each fetches it once.
	pushLimitBytes = 16 << 10
)

var errHash = errors.New("result does not match its hash")

// HandleExchange handles one exchange from the peer at address. It does not block on
// the network.
func (m *Manager) HandleExchange(address string, request *wirepb.ConfigExchange) *wirepb.ConfigReply {
	if request.Delta != nil {
		if err := m.applyDelta(request.Delta, address); err != nil {
			m.log.Warn().Err(err).Msg("config: pushed delta refused")
		}
	}
	m.evidence.state(m.options.View.Self().Address)
	if request.Revision > m.Revision() && address != "" {
		m.fetch(address)
	}
	reply := new(wirepb.ConfigReply)
	if request.Prepare != "" {
		reply.Prepared = m.answerPrepare(request)
	}
	current := m.current.Load()
	reply.Revision = current.snapshot.Revision()
	reply.Hash = current.hash[:]
	reply.Evidence = m.evidence.message(reply.Revision)
	if request.Revision < reply.Revision {
		m.addChanges(reply, request, current.snapshot)
	}
	return reply
}

// fetch pulls from a peer that told of a higher revision, unless a fetch is
// under way; should that one fail, the next comparison repairs it.
func (m *Manager) fetch(address string) {
	if !m.fetching.CompareAndSwap(false, true) {
		return
	}
	m.run(func(ctx context.Context) {
		defer m.fetching.Store(false)
		if err := m.pull(ctx, address); err != nil {
			m.log.Debug().Err(err).Msg("config: fetch failed")
		}
	})
}

// answerPrepare notes or forgets an announced publication.
func (m *Manager) answerPrepare(request *wirepb.ConfigExchange) bool {
	if request.Abandon {
		m.evidence.abandon(request.Prepare)
		return true
	}
	return m.evidence.prepare(request.Revision, request.Prepare)
}

// addChanges adds what the asker lacks: the buckets that differ when it sent
// hashes, else the deltas since its revision when they are kept.
func (m *Manager) addChanges(reply *wirepb.ConfigReply, request *wirepb.ConfigExchange, s *snapshot.Snapshot) {
	if len(request.BucketHashes) == snapshot.BucketCount {
		reply.Buckets = encodeBuckets(s, request.BucketHashes)
		return
	}
	for _, change := range m.chain(request.Revision) {
		if change.to <= s.Revision() {
			reply.Deltas = append(reply.Deltas, encodeDelta(change))
		}
	}
}

// pull compares revisions with the peer and applies what it has newer.
func (m *Manager) pull(ctx context.Context, address string) error {
	current := m.current.Load()
	request := &wirepb.ConfigExchange{Revision: current.snapshot.Revision(), Hash: current.hash[:]}
	if request.Revision == 0 {
		request.BucketHashes = bucketHashes(current.snapshot)
	}
	reply, asked, err := m.exchange(ctx, address, request)
	if err != nil {
		return err
	}
	if err := m.learn(reply, asked, address); err == nil {
		return nil
	}
	base := m.current.Load()
	whole := &wirepb.ConfigExchange{
		Revision: base.snapshot.Revision(), Hash: base.hash[:], BucketHashes: bucketHashes(base.snapshot),
	}
	if reply, asked, err = m.exchange(ctx, address, whole); err != nil {
		return err
	}
	return m.learn(reply, asked, address)
}

// exchange sends a request and returns the reply with the moment of asking.
func (m *Manager) exchange(ctx context.Context, address string, request *wirepb.ConfigExchange) (*wirepb.ConfigReply, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := m.evidence.now()
	reply, err := m.transport.Exchange(ctx, address, request)
	if err != nil {
		metrics.Counter("config.exchange_errors").Inc(1)
		return nil, 0, fault.Wrap(err, "exchange configuration", address)
	}
	return reply, asked, nil
}

// learn applies the changes of a reply and then takes over its evidence. It
// returns an error when the peer's revision is higher than the one in force afterwards.
func (m *Manager) learn(reply *wirepb.ConfigReply, asked time.Duration, address string) error {
	var failure error
	for _, change := range reply.Deltas {
		if failure = m.applyDelta(change, address); failure != nil {
			break
		}
	}
	if len(reply.Buckets) > 0 {
		failure = m.applyBuckets(reply, address)
	}
	current := m.current.Load().snapshot.Revision()
	if reply.Revision > current {
		return errors.Join(fault.New("peer has a higher revision", "apply configuration", address), failure)
	}
	m.evidence.merge(reply.Evidence, asked, reply.Revision)
	return nil
}

// applyDelta puts a delta in force when it starts from the present revision.
// One that leads to no higher revision is ignored.
func (m *Manager) applyDelta(message *wirepb.ConfigDelta, address string) error {
	current := m.Snapshot()
	if message.To <= current.Revision() {
		return nil
	}
	if message.From != current.Revision() {
		return fault.New("delta starts from another revision", "apply delta", address)
	}
	next := current.Apply(message.To, decodeChanges(message))
	return m.verify(next, message.ToHash, address)
}

// applyBuckets puts the snapshot in force that results from replacing buckets.
// The peer chose the buckets by the hashes that were sent, so the result's hash
// tells whether the base still is the same.
func (m *Manager) applyBuckets(reply *wirepb.ConfigReply, address string) error {
	next, err := m.Snapshot().Replace(reply.Revision, decodeBuckets(reply.Buckets))
	if err != nil {
		return fault.Wrap(err, "apply buckets", address)
	}
	return m.verify(next, reply.Hash, address)
}

// verify puts next in force if it has the hash.
func (m *Manager) verify(next *snapshot.Snapshot, want []byte, address string) error {
	hash := next.Hash()
	if string(hash[:]) != string(want) {
		return fault.Wrap(errHash, "apply configuration", address)
	}
	return fault.Wrap(m.Apply(next, address), "apply configuration", address)
}

// push sends a change to the neighbours, except to the one it came from.
func (m *Manager) push(ctx context.Context, change delta, source string) {
	request := &wirepb.ConfigExchange{
		Revision: change.to, Hash: change.toHash[:], Delta: encodeDelta(change),
	}
	if proto.Size(request) > pushLimitBytes {
		request.Delta = nil
	}
	var peers sync.WaitGroup
	for _, peer := range m.neighbours() {
		if peer == source {
			continue
		}
		peers.Go(func() {
			if _, _, err := m.exchange(ctx, peer, request); err != nil {
				m.log.Debug().Err(err).Msg("config: push failed")
			}
		})
	}
	peers.Wait()
}

// compareLoop compares revisions at intervals with a random neighbour and with
// the peer from which evidence comes, and with all neighbours when that grows old.
func (m *Manager) compareLoop(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		m.evidence.state(m.options.View.Self().Address)
		peers := m.neighbours()
		if !m.evidence.old() {
			peers = m.pick(peers)
		}
		m.compare(ctx, union(peers, m.parent()))
		metrics.Gauge("config.evidence_age_ms").Update(m.evidence.age().Milliseconds())
	}
}

// compare pulls from the peers at once and waits for all.
func (m *Manager) compare(ctx context.Context, peers []string) {
	var all sync.WaitGroup
	for _, peer := range peers {
		all.Go(func() {
			if err := m.pull(ctx, peer); err != nil {
				m.log.Debug().Err(err).Msg("config: comparison failed")
			}
		})
	}
	all.Wait()
}

// union returns the addresses of both lists, each once.
func union(a, b []string) []string {
	all := append([]string(nil), a...)
	for _, address := range b {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// loadFromPeers asks several peers at once until a set is in force that is
// known to be the newest. It pauses longer after each attempt.
func (m *Manager) loadFromPeers(ctx context.Context) {
	interval := startInterval
	for !m.Fresh() && ctx.Err() == nil {
		peers := m.startAddresses()
		m.compare(ctx, peers)
		if len(peers) > 0 {
			m.askedOnce.Do(func() { close(m.asked) })
		}
		_ = pause.For(ctx, m.jitter(interval))
		interval = min(2*interval, compareInterval)
	}
}
