// Package relay lets one gateway of each zone follow the platform store and pass on to the
// others of the zone what it has read, so that the number of calls to the store grows with
// the zones and not with the gateways.
//
// Each gateway of a zone follows the same one: the first by rendezvous hashing of those that
// it has heard from recently. It requests news from it a few times a second and learns with
// each reply how long ago the path from there to the store last worked. When that is too
// long ago or when the replies stop, it follows the next one; the first of those with a
// path to the store reads from it, as does each gateway of a small fleet. No gateway depends on the choice of another: gateways that choose differently
// only make more calls.
//
// A relayed copy is no evidence that it is the newest. That evidence has its own way
// (catalog.Catalog.ConfigEvidenceAge).
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/mirror"
	"github.com/greengagegate/greengagegate/internal/peering"
	"github.com/greengagegate/greengagegate/internal/rendezvous"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	// smallFleet is the number of gateways up to which each reads from the store itself.
	smallFleet = 8
	// replyWait is how long a reply may be delayed while there is nothing new.
	replyWait = 400 * time.Millisecond
	// requestMargin is added to replyWait to get the timeout of a request.
	requestMargin = 300 * time.Millisecond
	// maxPathAge is how long ago the path to the store must have worked for a gateway to
	// rely on relayed news.
	maxPathAge = 1500 * time.Millisecond
	// probeAge is the age of the path at which a gateway with followers tests it.
	probeAge = 700 * time.Millisecond
	// probeTimeout bounds a test of the path.
	probeTimeout = 500 * time.Millisecond
	// probeInterval is the pause between two checks of the path's age.
	probeInterval = 200 * time.Millisecond
	// followerTimeout is how long after its last request a gateway counts as a follower.
	followerTimeout = 2 * time.Second
	// contactTimeout is how long after the last contact a gateway may be chosen.
	contactTimeout = 2500 * time.Millisecond
	// choiceInterval is the pause between two choices while this gateway reads from the
	// store itself.
	choiceInterval = 150 * time.Millisecond
	// unfitPause is how long a gateway is not chosen after it did not reply or its path to the
	// store did not work.
	unfitPause = 2 * time.Second
)

// Options configures a Manager. All fields are required.
type Options struct {
	Name  string
	Zone  string
	Store store.Poller
	// Probe makes a cheap call to the store, to test the path to it. The response may be
	// stale.
	Probe func(ctx context.Context) error
	Pool  *wire.Pool
	Log   zerolog.Logger
}

// Manager is a gateway's part in relaying. It implements mirror.Source and is safe for
// concurrent use.
type Manager struct {
	options Options
	// contacts returns how long ago each other gateway was last heard from, by name.
	contacts func() map[string]time.Duration

	mu     sync.Mutex
	copies map[string]*prefixCopy
	// direct are the copies of the prefixes that this gateway reads from the store itself, by
	// prefix; see DirectSource. reports hold, by prefix and name, what other gateways have read.
	direct  map[string]*prefixCopy
	reports map[string]map[string]lagReport
	// readLists holds, by prefix, the list on which what Read has returned is based.
	readLists map[string]uint64
	// changed is closed and replaced when a copy has news or the source has changed.
	changed chan struct{}
	// gateways is the number of gateways, including this one. peers are the others of the
	// zone.
	gateways int
	peers    []peering.Peer
	// fleet are all other gateways by name.
	fleet map[string]peering.Peer
	// pathWorkedAt is when the path to the store last worked, here or at the followed
	// gateway.
	pathWorkedAt bootclock.Instant
	// followed is the gateway that this one follows; nil if it reads from the store itself.
	followed *peering.Peer
	// unfitUntil holds until when gateways are not chosen, by name. It may include this one.
	unfitUntil map[string]bootclock.Instant
	// askedAt is when another gateway last requested news.
	askedAt bootclock.Instant
}

// New returns a manager that reads from the store until Run is called.
func New(options Options) *Manager {
	noContacts := func() map[string]time.Duration { return nil }
	return &Manager{options: options, contacts: noContacts, copies: make(map[string]*prefixCopy), direct: make(map[string]*prefixCopy), reports: make(map[string]map[string]lagReport), readLists: make(map[string]uint64), changed: make(chan struct{}), gateways: 1, unfitUntil: make(map[string]bootclock.Instant)}
}

// SetContacts sets the function that returns how long ago each other gateway was last heard
// from, by name. It must be called before Run.
func (m *Manager) SetContacts(contacts func() map[string]time.Duration) { m.contacts = contacts }

// SetPeers replaces the list of other gateways.
func (m *Manager) SetPeers(peers []peering.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gateways = 1 + len(peers)
	m.peers = m.peers[:0:0]
	m.fleet = make(map[string]peering.Peer, len(peers))
	for _, peer := range peers {
		m.fleet[peer.Name] = peer
		if peer.Zone == m.options.Zone {
			m.peers = append(m.peers, peer)
		}
	}
}

// Read implements mirror.Source. It returns relayed news while this gateway follows
// another, and else reads from the store.
func (m *Manager) Read(ctx context.Context, prefix string, after int64, wait time.Duration) (mirror.Update, error) {
	deadline := bootclock.Now().Add(wait)
	for {
		m.mu.Lock()
		follows := m.reliesOnRelay(bootclock.Now())
		known := m.copyOf(prefix)
		update, ok := known.since(position{after, m.readLists[prefix]})
		if follows && ok {
			m.readLists[prefix] = known.list
		}
		changed := m.changed
		m.mu.Unlock()
		if !follows {
			return m.readStore(ctx, prefix, after, wait)
		}
		left := deadline.Sub(bootclock.Now())
		if ok || left <= 0 {
			update.Relayed = true
			return update, nil
		}
		if err := m.awaitChange(ctx, changed, min(left, m.reliableFor())); err != nil {
			return mirror.Update{}, err
		}
	}
}

// awaitChange blocks until changed is closed, a time has passed or ctx ends.
func (m *Manager) awaitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// readStore reads from the store and keeps what it has read for other gateways.
func (m *Manager) readStore(ctx context.Context, prefix string, after int64, wait time.Duration) (mirror.Update, error) {
	sentAt := bootclock.Now()
	update, err := mirror.StoreSource{Store: m.options.Store}.Read(ctx, prefix, after, wait)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.noteFailedRead(err)
		return update, err
	}
	// A poll proves the path when it is answered; a list does so as well.
	m.pathWorkedAt = max(m.pathWorkedAt, sentAt)
	known := m.copyOf(prefix)
	list := known.list
	if update.Full {
		list = rand.Uint64() | 1
		m.readLists[prefix] = list
	}
	if known.record(&update, list) {
		m.notify()
	}
	return update, nil
}

// noteFailedRead makes this gateway follow another if its own path to the store has not
// worked for maxPathAge. It must be called with m.mu held.
func (m *Manager) noteFailedRead(err error) {
	now := bootclock.Now()
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrPollLost) || now.Sub(m.pathWorkedAt) < maxPathAge {
		return
	}
	m.unfitUntil[m.options.Name] = now.Add(unfitPause)
}

// reliesOnRelay reports whether this gateway takes news from the gateway that it follows.
// It must be called with m.mu held.
func (m *Manager) reliesOnRelay(now bootclock.Instant) bool {
	return m.followed != nil && now.Sub(m.pathWorkedAt) < maxPathAge
}

// reliableFor returns how much longer relayed news are relied on without another reply.
func (m *Manager) reliableFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(time.Millisecond, m.pathWorkedAt.Add(maxPathAge).Sub(bootclock.Now()))
}

// copyOf returns the copy of a prefix. It must be called with m.mu held.
func (m *Manager) copyOf(prefix string) *prefixCopy {
	c, ok := m.copies[prefix]
	if !ok {
		c = new(prefixCopy)
		m.copies[prefix] = c
	}
	return c
}

// Bytes returns the memory of the copy of each prefix.
func (m *Manager) Bytes() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	bytes := make(map[string]int64, len(m.copies)+len(m.direct))
	for _, copies := range []map[string]*prefixCopy{m.copies, m.direct} {
		for prefix, known := range copies {
			bytes[prefix] += known.bytes()
		}
	}
	return bytes
}

// notify wakes all that wait for a change. It must be called with m.mu held.
func (m *Manager) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// choose returns the gateway to follow, or nil if this gateway reads from the store itself:
// in a small fleet, when it is the chosen one, and when no gateway is fit.
func (m *Manager) choose() *peering.Peer {
	silences := m.contacts()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gateways <= smallFleet {
		return nil
	}
	selector := rendezvous.New[*peering.Peer](m.options.Zone)
	now := bootclock.Now()
	if !now.Before(m.unfitUntil[m.options.Name]) {
		selector.Add(m.options.Name, nil)
	}
	for i := range m.peers {
		peer := &m.peers[i]
		silence, known := silences[peer.Name]
		if known && silence < contactTimeout && !now.Before(m.unfitUntil[peer.Name]) {
			selector.Add(peer.Name, peer)
		}
	}
	return selector.Best()
}
