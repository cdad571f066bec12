// Package peering exchanges short news between gateways over inner sessions: one
// goroutine for each peer, a few exchanges a second, and one at once when there
// is something urgent.
package peering

import (
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

const (
	// baseInterval is the pause between exchanges with a peer in a small fleet.
	baseInterval = 250 * time.Millisecond
	// fullRatePeers is the number of peers up to which the pause stays at its base.
	// Above it the pause grows, so that a gateway's exchanges a second stay bounded.
	fullRatePeers = 8
	// maxInterval keeps the news of a large fleet within the time they are relied on.
	maxInterval = 900 * time.Millisecond
	// askTimeout bounds one exchange.
	askTimeout = 500 * time.Millisecond
)

// Peer is another gateway.
type Peer struct {
	Name    string
	Address string
}

// Options configures a Manager. All fields are required.
type Options struct {
	Name string
	Pool *wire.Pool
	// Update returns what this gateway tells a peer.
	Update func(peer string) *wirepb.GatewayNews
	// OnUpdate takes what a peer told. asked is when this gateway sent the question that
	// the news answer; 0 when they came unasked.
	OnUpdate func(news *wirepb.GatewayNews, asked bootclock.Instant)
	Log      zerolog.Logger
}

// Manager keeps one exchange with each peer going.
type Manager struct {
	options Options

	// onContact is called when a peer was heard.
	onContact func(peer string)

	mu    sync.Mutex
	peers map[Peer]*link
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup
}

type link struct {
	stop   context.CancelFunc
	urgent chan struct{}
}

// New returns a manager without peers.
func New(options Options) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	return &Manager{options: options, peers: make(map[Peer]*link), ctx: ctx, stop: stop}
}

// OnContact sets what is called when a peer was heard. It is called before Register.
func (m *Manager) OnContact(call func(peer string)) { m.onContact = call }

// Register makes the server answer peers.
func (m *Manager) Register(server *wire.Server) {
	server.Handle(wirepb.Kind_KIND_GATEWAY, m.handle)
}

func (m *Manager) handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	var news wirepb.GatewayNews
	if err := stream.Recv(&news); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("peering: news not read")
		return
	}
	m.hear(&news, 0)
	if err := stream.Send(m.options.Update(news.Name)); err != nil {
		m.options.Log.Debug().Err(err).Str("peer", stream.Peer()).Msg("peering: news not answered")
	}
}

// SetPeers replaces the set of peers.
func (m *Manager) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[Peer]bool, len(peers))
	for _, peer := range peers {
		wanted[peer] = true
		if m.peers[peer] == nil {
			m.start(peer)
		}
	}
	for peer, l := range m.peers {
		if !wanted[peer] {
			l.stop()
			delete(m.peers, peer)
		}
	}
}

// start begins the exchange with a peer; m.mu is held.
func (m *Manager) start(peer Peer) {
	ctx, stop := context.WithCancel(m.ctx)
	l := &link{stop: stop, urgent: make(chan struct{}, 1)}
	m.peers[peer] = l
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		m.run(ctx, peer, l)
	}()
}

// Address returns the inner address of a peer, or "".
func (m *Manager) Address(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for peer := range m.peers {
		if peer.Name == name {
			return peer.Address
		}
	}
	return ""
}

// SendNow makes news go out at once.
func (m *Manager) SendNow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.peers {
		select {
		case l.urgent <- struct{}{}:
		default:
		}
	}
}

// Stop ends all exchanges.
func (m *Manager) Stop() {
	m.stop()
	m.done.Wait()
}

// run exchanges news with one peer until ctx ends. Each of two gateways asks the
// other, since only an answer tells how old it is at the most.
func (m *Manager) run(ctx context.Context, peer Peer, l *link) {
	lost := false
	for ctx.Err() == nil {
		err := m.ask(ctx, peer)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != lost {
			lost = err != nil
			m.report(peer, err)
		}
		m.wait(ctx, l)
	}
}

func (m *Manager) report(peer Peer, err error) {
	if err != nil {
		m.options.Log.Warn().Err(err).Str("peer", peer.Name).Str("address", peer.Address).Msg("peering: peer lost")
		return
	}
	m.options.Log.Info().Str("peer", peer.Name).Str("address", peer.Address).Msg("peering: peer regained")
}

// wait pauses until the next exchange, which something urgent brings forward.
func (m *Manager) wait(ctx context.Context, l *link) {
	timer := time.NewTimer(m.interval())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.urgent:
	case <-ctx.Done():
	}
}

func (m *Manager) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := baseInterval
	if n := len(m.peers); n > fullRatePeers {
		interval = baseInterval * time.Duration(n) / fullRatePeers
	}
	return min(interval, maxInterval)
}

func (m *Manager) ask(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := bootclock.Now()
	var news wirepb.GatewayNews
	if err := m.options.Pool.Ask(ctx, peer.Address, wirepb.Kind_KIND_GATEWAY, "", m.options.Update(peer.Name), &news); err != nil {
		return err
	}
	m.hear(&news, asked)
	return nil
}

func (m *Manager) hear(news *wirepb.GatewayNews, asked bootclock.Instant) {
	m.options.OnUpdate(news, asked)
	if m.onContact != nil {
		m.onContact(news.Name)
	}
}
