// Package peering exchanges updates between gateways over the sessions of
// internal/wire. One goroutine per peer makes about one to four exchanges a second, and
// an additional one immediately when SendNow is called.
package peering

import (
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

const (
	// baseInterval is the pause between exchanges with a peer when there are up to
	// fullRatePeers peers.
	baseInterval = 250 * time.Millisecond
	// fullRatePeers is the number of peers up to which the pause is baseInterval.
	// With more peers the pause grows in proportion, so that the number of exchanges
	// per second of a gateway stays bounded until the pause reaches maxInterval.
	fullRatePeers = 8
	// maxInterval bounds the pause in a large fleet, so that an update arrives
	// before the previous one is too old to be relied on.
	maxInterval = 900 * time.Millisecond
	// exchangeTimeout limits the duration of one exchange.
	exchangeTimeout = 500 * time.Millisecond
)

// Peer identifies another gateway.
type Peer struct {
	Name    string
	Address string
	Zone    string
}

// Options configures a Manager. All fields except Name are required.
type Options struct {
	// Name is the name of this gateway. The Manager does not use it.
	Name string
	Pool *wire.Pool
	// Update returns the update to send to a peer. It is called concurrently.
	Update func(peer string) *wirepb.GatewayNews
	// OnUpdate is called with each update from a peer, concurrently. sentAt is when this
	// gateway sent the request that the update replies to, or 0 if the peer started the
	// exchange.
	OnUpdate func(update *wirepb.GatewayNews, sentAt bootclock.Instant)
	Log      zerolog.Logger
}

// Manager exchanges updates with each peer periodically. Its methods are safe for
// concurrent use, except that OnContact must be called before Register and SetPeers.
type Manager struct {
	options Options

	// onContact is called after each update from a peer. It may be nil.
	onContact func(peer string)

	mu    sync.Mutex
	peers map[Peer]*peerLoop
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

// peerLoop controls the goroutine that exchanges updates with one peer.
type peerLoop struct {
	stop context.CancelFunc
	// sendNow has an element when SendNow has requested an exchange.
	sendNow chan struct{}
}

// New returns a manager without peers.
func New(options Options) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	return &Manager{options: options, peers: make(map[Peer]*peerLoop), ctx: ctx, stop: stop}
}

// OnContact sets a second callback. It is called after Options.OnUpdate for each update
// from a peer, with the peer's name only. OnContact must be called before Register and SetPeers.
func (m *Manager) OnContact(call func(peer string)) { m.onContact = call }

// Register installs the handler for exchanges that peers start.
func (m *Manager) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_GATEWAY, m.handle)
}

// handle serves one exchange that a peer started.
func (m *Manager) handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	var update wirepb.GatewayNews
	if err := stream.Recv(&update); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("peering: reading the update of a peer failed; not replying")
		return
	}
	m.receive(&update, 0)
	if err := stream.Send(m.options.Update(update.Name)); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("peering: replying to the update of a peer failed")
	}
}

// SetPeers replaces the set of peers. It starts exchanges with new peers and stops
// those with removed peers. It does not wait for them to end; updates from removed
// peers may still arrive.
func (m *Manager) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := make(map[Peer]bool, len(peers))
	for _, peer := range peers {
		current[peer] = true
		if m.peers[peer] == nil {
			m.startPeer(peer)
		}
	}
	for peer, l := range m.peers {
		if !current[peer] {
			l.stop()
			delete(m.peers, peer)
		}
	}
}

// startPeer starts the goroutine for a peer. It must be called with mu held.
func (m *Manager) startPeer(peer Peer) {
	ctx, stop := context.WithCancel(m.ctx)
	l := &peerLoop{stop: stop, sendNow: make(chan struct{}, 1)}
	m.peers[peer] = l
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		contain.Loop(ctx, m.options.Log, "peering", peer.Name, func(ctx context.Context) { m.run(ctx, peer, l) })
	}()
}

// address returns the address of a peer, or "" if the peer is not known.
func (m *Manager) address(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for peer := range m.peers {
		if peer.Name == name {
			return peer.Address
		}
	}
	return ""
}

// SendNow requests an exchange with every peer without waiting for the interval. It
// does not block.
func (m *Manager) SendNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.peers {
		select {
		case l.sendNow <- struct{}{}:
		default:
		}
	}
}

// Stop ends all exchanges and waits for their goroutines.
func (m *Manager) Stop() {
	m.stop()
	m.wg.Wait()
}

// run exchanges updates with one peer until ctx ends. Both gateways of a pair start
// exchanges, since only a gateway that sends a request knows how old the update in
// the reply can be: it was made after the request was sent.
func (m *Manager) run(ctx context.Context, peer Peer, l *peerLoop) {
	unreachable := false
	for ctx.Err() == nil {
		err := m.exchange(ctx, peer)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != unreachable {
			unreachable = err != nil
			m.logReachability(peer, err)
		}
		m.waitForNext(ctx, l)
	}
}

// logReachability logs that a peer became unreachable or, if err is nil, reachable.
func (m *Manager) logReachability(peer Peer, err error) {
	if err != nil {
		m.options.Log.Warn().Err(err).Str("peer", peer.Name).Str("address", peer.Address).Msg("peering: peer is unreachable; retrying at each interval")
		return
	}
	m.options.Log.Info().Str("peer", peer.Name).Str("address", peer.Address).Msg("peering: peer is reachable again")
}

// waitForNext blocks until the next exchange is due, SendNow is called or ctx ends.
func (m *Manager) waitForNext(ctx context.Context, l *peerLoop) {
	timer := time.NewTimer(m.exchangeInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.sendNow:
	case <-ctx.Done():
	}
}

// exchangeInterval returns the pause between exchanges for the current number of peers.
func (m *Manager) exchangeInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := baseInterval
	if n := len(m.peers); n > fullRatePeers {
		interval = baseInterval * time.Duration(n) / fullRatePeers
	}
	return min(interval, maxInterval)
}

// exchange sends an update to a peer and receives the peer's update as the reply.
func (m *Manager) exchange(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := bootclock.Now()
	var reply wirepb.GatewayNews
	if err := m.options.Pool.Call(ctx, peer.Address, wirepb.Kind_KIND_GATEWAY, "", m.options.Update(peer.Name), &reply); err != nil {
		return err
	}
	m.receive(&reply, sentAt)
	return nil
}

// receive passes an update to the callbacks.
func (m *Manager) receive(update *wirepb.GatewayNews, sentAt bootclock.Instant) {
	m.options.OnUpdate(update, sentAt)
	if m.onContact != nil {
		m.onContact(update.Name)
	}
}
