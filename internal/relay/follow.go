package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/store"
)

// Run follows other gateways and tests the path to the store for followers, until ctx
// ends.
func (m *Manager) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.follow(ctx) })
	loops.Go(func() { m.probePath(ctx) })
	loops.Wait()
}

// follow requests news from the chosen gateway until ctx ends.
func (m *Manager) follow(ctx context.Context) {
	for ctx.Err() == nil {
		peer := m.choose()
		m.setFollowed(peer)
		if peer == nil {
			_ = pause.For(ctx, choiceInterval)
			continue
		}
		if err := m.request(ctx, peer); err != nil && ctx.Err() == nil {
			m.markUnfit(peer, err)
		}
	}
}

// setFollowed records which gateway this one follows and logs a change.
func (m *Manager) setFollowed(peer *peering.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	formerName, name := nameOf(m.followed), nameOf(peer)
	m.followed = peer
	if formerName == name {
		return
	}
	m.notify()
	if peer == nil {
		m.options.Log.Info().Str("former", formerName).Msg("relay: this gateway reads from the store itself")
		return
	}
	m.options.Log.Info().Str("peer", name).Str("former", formerName).Msg("relay: this gateway gets the store's changes from a peer")
}

func nameOf(peer *peering.Peer) string {
	if peer == nil {
		return ""
	}
	return peer.Name
}

// request requests news from a gateway and records them.
func (m *Manager) request(ctx context.Context, peer *peering.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, replyWait+requestMargin)
	defer cancel()
	request := &wirepb.RelayRequest{Positions: m.positions(), WaitMs: replyWait.Milliseconds()}
	sentAt := bootclock.Now()
	var reply wirepb.RelayReply
	if err := m.options.Pool.Call(ctx, peer.Address, wirepb.Kind_KIND_RELAY, "", request, &reply); err != nil {
		return fault.Wrap(err, "request news", peer.Name)
	}
	metrics.Counter("relay.replies").Inc(1)
	return m.recordReply(&reply, sentAt)
}

// errNoPath reports that a peer's path to the store has not worked for maxPathAge.
var errNoPath = errors.New("the peer's path to the store does not work")

// recordReply records the news in a reply to a request that was sent at sentAt.
func (m *Manager) recordReply(reply *wirepb.RelayReply, sentAt bootclock.Instant) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The reply was made after the request was sent, so the path worked no earlier than
	// this.
	pathAge := time.Duration(reply.PathAgeMs) * time.Millisecond
	m.pathWorkedAt = max(m.pathWorkedAt, sentAt.Add(-pathAge))
	hasNews := false
	for _, update := range reply.Updates {
		decoded := decodeUpdate(update)
		hasNews = m.copyOf(update.Prefix).record(&decoded, update.List) || hasNews
	}
	if hasNews {
		m.notify()
	}
	if pathAge >= maxPathAge {
		return errNoPath
	}
	return nil
}

// positions returns the versions of the copies.
func (m *Manager) positions() []*wirepb.RelayPosition {
	m.mu.Lock()
	defer m.mu.Unlock()
	positions := make([]*wirepb.RelayPosition, 0, len(m.copies))
	for prefix, c := range m.copies {
		positions = append(positions, &wirepb.RelayPosition{Prefix: prefix, Version: c.version, List: c.list})
	}
	return positions
}

// markUnfit excludes a gateway from the choice for unfitPause.
func (m *Manager) markUnfit(peer *peering.Peer, err error) {
	metrics.Counter("relay.failures").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootclock.Now()
	m.unfitUntil[peer.Name] = now.Add(unfitPause)
	m.options.Log.Warn().Err(err).Str("peer", peer.Name).Dur("path_age_ms", now.Sub(m.pathWorkedAt)).
		Msg("relay: peer does not pass on the store's changes; choosing another source")
}

// probePath tests the path to the store while other gateways follow this one and no other
// call has shown recently that it works.
func (m *Manager) probePath(ctx context.Context) {
	for pause.For(ctx, probeInterval) == nil {
		now := bootclock.Now()
		m.mu.Lock()
		due := now.Sub(m.askedAt) < followerTimeout && now.Sub(m.pathWorkedAt) >= probeAge && !m.reliesOnRelay(now)
		m.mu.Unlock()
		if !due {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := m.options.Probe(callCtx)
		cancel()
		if err != nil {
			continue
		}
		m.mu.Lock()
		m.pathWorkedAt = max(m.pathWorkedAt, now)
		m.mu.Unlock()
	}
}

// Register installs the handler for requests of other gateways.
func (m *Manager) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_RELAY, m.handle)
}

// handle answers one request: at once if there are news, else when there are or after the
// requested wait.
func (m *Manager) handle(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	var request wirepb.RelayRequest
	if err := stream.Recv(&request); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("relay: request of a peer can't be read; not replying")
		return
	}
	deadline := bootclock.Now().Add(min(time.Duration(request.WaitMs)*time.Millisecond, replyWait))
	for {
		reply, changed := m.reply(&request)
		left := deadline.Sub(bootclock.Now())
		if len(reply.Updates) > 0 || left <= 0 {
			if err := stream.Send(reply); err != nil {
				m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("relay: reply to a peer was not sent")
			}
			return
		}
		if m.awaitChange(ctx, changed, left) != nil {
			return
		}
	}
}

// reply returns the reply to a request as of now, and a channel that is closed when there
// are news.
func (m *Manager) reply(request *wirepb.RelayRequest) (*wirepb.RelayReply, <-chan struct{}) {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &wirepb.RelayReply{PathAgeMs: now.Sub(m.pathWorkedAt).Milliseconds() + 1}
	for _, asked := range request.Positions {
		known, ok := m.copies[asked.Prefix]
		if ok {
			m.askedAt = now
		} else if known, ok = m.direct[asked.Prefix]; !ok {
			continue
		}
		if update, ok := known.since(position{asked.Version, asked.List}); ok {
			reply.Updates = append(reply.Updates, encodeUpdate(asked.Prefix, known.list, &update))
		}
	}
	return reply, m.changed
}

func encodeUpdate(prefix string, list uint64, update *mirror.Update) *wirepb.RelayUpdate {
	encoded := &wirepb.RelayUpdate{Prefix: prefix, Full: update.Full, Version: update.Version, List: list}
	for _, object := range update.Objects {
		encoded.Objects = append(encoded.Objects, &wirepb.RelayObject{
			Key: object.Key, Value: object.Value, Status: object.Status,
			Version: object.Version, Created: object.Created, Deleted: object.Deleted,
		})
	}
	return encoded
}

func decodeUpdate(update *wirepb.RelayUpdate) mirror.Update {
	decoded := mirror.Update{Full: update.Full, Version: update.Version, Relayed: true}
	for _, object := range update.Objects {
		decoded.Objects = append(decoded.Objects, store.Object{
			Key: object.Key, Value: object.Value, Status: object.Status,
			Version: object.Version, Created: object.Created, Deleted: object.Deleted,
		})
	}
	return decoded
}
