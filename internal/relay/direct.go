package relay

import (
	"context"
	"errors"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

const (
	// maxLag is how long another gateway may have read a newer change than this one before
	// this one asks it for its copy. It is above the pause between two polls.
	maxLag = 900 * time.Millisecond
	// lagCheckInterval is the pause between two checks while a read from the store is pending.
	lagCheckInterval = 100 * time.Millisecond
	// reportTimeout is how long a gateway's report of what it has read is relied on.
	reportTimeout = 3 * time.Second
)

// DirectSource reads from the store itself, as long as no other gateway has read newer changes:
// the store may turn one gateway away, or leave its poll unanswered, while it serves the others.
// It implements mirror.Source.
type DirectSource struct{ Manager *Manager }

// Read implements mirror.Source. All objects that another gateway has are returned as a relayed
// update.
func (s DirectSource) Read(ctx context.Context, prefix string, after int64, wait time.Duration) (mirror.Update, error) {
	m := s.Manager
	if update, ok := m.readAhead(ctx, prefix); ok {
		return update, nil
	}
	storeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := m.startDirectRead(storeCtx, prefix, after, wait)
	ticker := time.NewTicker(lagCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case result := <-read:
			return m.recordDirect(prefix, result)
		case <-ticker.C:
			if update, ok := m.readAhead(ctx, prefix); ok {
				return update, nil
			}
		}
	}
}

// directResult is the result of a read from the store.
type directResult struct {
	update mirror.Update
	err    error
}

// errNoResult reports that a read ended without a result, by a panic.
var errNoResult = errors.New("reading from the store ended without a result")

// startDirectRead reads from the store in a goroutine of its own.
func (m *Manager) startDirectRead(ctx context.Context, prefix string, after int64, wait time.Duration) <-chan directResult {
	read := make(chan directResult, 1)
	go func() {
		result := directResult{err: errNoResult}
		defer func() { read <- result }()
		defer contain.Panics(m.options.Log, "relay", prefix)
		result.update, result.err = mirror.StoreSource{Store: m.options.Store}.Read(ctx, prefix, after, wait)
	}()
	return read
}

// recordDirect keeps what was read from the store for other gateways.
func (m *Manager) recordDirect(prefix string, result directResult) (mirror.Update, error) {
	if result.err != nil {
		return mirror.Update{}, result.err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.directOf(prefix).record(&result.update, 0)
	return result.update, nil
}

// readAhead asks a gateway that has been ahead of this one for maxLag for its copy. ok is false
// if there is none or it does not answer.
func (m *Manager) readAhead(ctx context.Context, prefix string) (update mirror.Update, ok bool) {
	peer := m.peerAhead(prefix)
	if peer == nil {
		return mirror.Update{}, false
	}
	update, err := m.requestCopy(ctx, peer, prefix)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reports[prefix], peer.Name)
	known := m.directOf(prefix)
	if err == nil && update.Version <= known.version {
		return mirror.Update{}, false
	}
	if err != nil {
		m.options.Log.Info().Err(err).Str("prefix", prefix).Str("peer", peer.Name).Msg("relay: a peer that has read newer changes does not pass them on")
		return mirror.Update{}, false
	}
	metrics.Counter("relay.copies_of_peers").Inc(1)
	m.options.Log.Warn().Str("prefix", prefix).Str("peer", peer.Name).Int64("version", known.version).Int64("new_version", update.Version).
		Msg("relay: a peer has read newer changes than the store has told this gateway; taking over its copy")
	known.record(&update, 0)
	return update, true
}

// requestCopy requests all objects under a prefix from a gateway.
func (m *Manager) requestCopy(ctx context.Context, peer *peering.Peer, prefix string) (mirror.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, replyWait+requestMargin)
	defer cancel()
	request := &wirepb.RelayRequest{Positions: []*wirepb.RelayPosition{{Prefix: prefix}}}
	var reply wirepb.RelayReply
	if err := m.options.Pool.Call(ctx, peer.Address, wirepb.Kind_KIND_RELAY, "", request, &reply); err != nil {
		return mirror.Update{}, fault.Wrap(err, "request copy", peer.Name)
	}
	for _, update := range reply.Updates {
		if update.Prefix == prefix && update.Full {
			return decodeUpdate(update), nil
		}
	}
	return mirror.Update{}, fault.New("the reply has no copy", "request copy", peer.Name)
}

// lagReport is what another gateway has read under a prefix.
type lagReport struct {
	// newest is the version of the newest change that it has read.
	newest int64
	// aheadSince is when it was first known to have read a change that this gateway had not.
	aheadSince, reportedAt bootclock.Instant
}

// Newest returns the version of the newest change under each prefix that this gateway reads
// from the store itself.
func (m *Manager) Newest() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := make(map[string]int64, len(m.direct))
	for prefix, known := range m.direct {
		newest[prefix] = known.newest
	}
	return newest
}

// RecordNewest records the version of the newest change under a prefix that another gateway
// has read.
func (m *Manager) RecordNewest(peer, prefix string, newest int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.direct[prefix]
	if !ok {
		return
	}
	now := bootclock.Now()
	report := lagReport{newest: newest, aheadSince: now, reportedAt: now}
	former, ok := m.reports[prefix][peer]
	if ok && former.newest > known.version {
		report.aheadSince = former.aheadSince
	}
	if m.reports[prefix] == nil {
		m.reports[prefix] = make(map[string]lagReport)
	}
	m.reports[prefix][peer] = report
}

// peerAhead returns the gateway that has read the newest change of those that have been ahead
// of this one for maxLag, or nil.
func (m *Manager) peerAhead(prefix string) *peering.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, known := bootclock.Now(), m.directOf(prefix)
	var best *peering.Peer
	var bestNewest int64
	for name, report := range m.reports[prefix] {
		peer, ok := m.fleet[name]
		isBehind := report.newest > known.version && now.Sub(report.aheadSince) >= maxLag
		if ok && isBehind && now.Sub(report.reportedAt) < reportTimeout && report.newest > bestNewest {
			best, bestNewest = &peer, report.newest
		}
	}
	return best
}

// directOf returns the copy of a prefix that this gateway reads from the store itself. It must
// be called with m.mu held.
func (m *Manager) directOf(prefix string) *prefixCopy {
	c, ok := m.direct[prefix]
	if !ok {
		c = new(prefixCopy)
		m.direct[prefix] = c
	}
	return c
}
