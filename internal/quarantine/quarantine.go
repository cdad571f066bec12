// Package quarantine keeps requests that crash upstreams away from them. The
// content of a request in flight at a crash becomes suspect: its repeats then run
// one at a time, each with a permit. A content is convicted, and refused by all
// routers for a time, when an agent finds that it caused a further crash or when
// package dispatch counts dispatch.maxCrashes crashes of one prompt.
//
// Lookups happen for each attempt of a request and read a table in memory.
// Changes are rare. A process sends each change to all routers some milliseconds
// after a crash, because every repeat of the content that a router receives
// before the change may crash another upstream. The process also pulls the
// entries of a random peer from time to time, in case an update was lost.
// Convictions are kept in a store as well and outlive every process.
package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	// pushDelay is the time for which new entries are collected before they are sent
	// in one update.
	pushDelay           = 10 * time.Millisecond
	pushTimeout         = time.Second
	maxConcurrentPushes = 16
	pullTimeout         = time.Second
	// startPullPeers is the number of peers that each pull asks while the manager
	// starts.
	startPullPeers    = 3
	startPullInterval = 500 * time.Millisecond
	maxStartPulls     = 20
	// pullInterval is the mean time between pulls after the start.
	pullInterval = 15 * time.Second

	// recentSuspicionAge is the age from which on all routers are assumed to have
	// received a suspicion.
	recentSuspicionAge = time.Second

	defaultConvictionTTL = 10 * time.Minute
)

// Options configure a Manager. Store may be nil; convictions are then kept in
// memory only.
type Options struct {
	Pool   *wire.Pool
	View   membership.View
	Source object.Source
	Store  store.Store
	Log    zerolog.Logger
}

// Manager keeps the quarantine table of a process and sends the entries
// that the process adds to all routers. It writes convictions to the store as well, so that
// they outlive any process. Methods are safe for concurrent use.
type Manager struct {
	options  Options
	table    *table
	permits  permitTable
	watchers watchers

	// mu guards pending and storedConvictions.
	mu sync.Mutex
	// pending holds the entries that are not sent to the routers yet.
	pending           []*wirepb.QuarantineEntry
	storedConvictions map[string]storedConviction
	pushSignal        chan struct{}

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a manager with an empty table. The manager sends new entries and
// pulls those of other processes only after a call of Start.
func New(options Options) *Manager {
	return &Manager{
		options:           options,
		table:             newTable(),
		permits:           permitTable{holders: make(map[uint64]heldPermit)},
		watchers:          watchers{callbacks: make(map[uint64]map[uint64]func())},
		storedConvictions: make(map[string]storedConviction),
		pushSignal:        make(chan struct{}, 1),
		cancel:            func() {},
	}
}

// Start starts the tasks that send and fetch entries. It does not block. The
// tasks run until Stop is called and do not depend on the context.
func (m *Manager) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.tasks.Go(func() { m.pushLoop(ctx) })
	m.tasks.Go(func() { m.pullLoop(ctx) })
	return nil
}

// Stop sends the pending entries and ends the manager's tasks. It blocks until
// the tasks have ended.
func (m *Manager) Stop(ctx context.Context) error {
	m.flush(ctx)
	m.cancel()
	m.tasks.Wait()
	return nil
}

// Lookup returns the state of a content and how long that state still lasts.
func (m *Manager) Lookup(digest uint64) (State, time.Duration) {
	return m.table.lookup(digest)
}

// LookupRecent returns the state of a content. It returns StateClear for a suspicion
// that is older than recentSuspicionAge: all routers have received it, and may
// have cleared it since. The result does not permit a run.
func (m *Manager) LookupRecent(digest uint64) Permit {
	state, remaining := m.table.lookup(digest)
	if state == StateSuspect && remaining < suspicionTTL-recentSuspicionAge {
		return Permit{}
	}
	return Permit{State: state, Remaining: remaining, CrashTokens: m.table.crashTokens(digest)}
}

// Suspect records that a content was in flight at a crash, when the given number
// of tokens of its answer had been generated.
func (m *Manager) Suspect(digest uint64, tokens int64) {
	m.addEntry(&wirepb.QuarantineEntry{
		Digest: digest, State: wirepb.QuarantineState_QUARANTINE_SUSPECT,
		RemainingMs: suspicionTTL.Milliseconds(), CrashTokens: tokens,
	})
}

// Clear records that a suspect has completed. It does nothing for a content that
// is not suspect.
func (m *Manager) Clear(digest uint64) {
	if state, _ := m.table.lookup(digest); state != StateSuspect {
		return
	}
	m.addEntry(&wirepb.QuarantineEntry{Digest: digest, State: wirepb.QuarantineState_QUARANTINE_CLEARED})
}

// Convict records that a content crashed upstreams. It returns the time for which
// a new conviction lasts, also if the content was convicted before.
func (m *Manager) Convict(digest uint64) time.Duration {
	ttl := m.convictionTTL()
	entry := &wirepb.QuarantineEntry{
		Digest: digest, State: wirepb.QuarantineState_QUARANTINE_CONVICTED, RemainingMs: ttl.Milliseconds(),
	}
	if m.addEntry(entry) {
		metrics.Counter("quarantine.convictions").Inc(1)
		m.options.Log.Warn().Str("digest", digestText(digest)).Msg("quarantine: content crashed upstreams; all routers refuse it until its conviction expires")
		m.tasks.Go(func() { m.storeConviction(entry) })
	}
	return ttl
}

func (m *Manager) convictionTTL() time.Duration {
	if set := m.options.Source.Current(); set != nil && set.Fleet.QuarantineFor > 0 {
		return time.Duration(set.Fleet.QuarantineFor)
	}
	return defaultConvictionTTL
}

// addEntry applies an entry of this process. If the entry changed the content's
// state, addEntry queues it for the routers and returns true.
func (m *Manager) addEntry(entry *wirepb.QuarantineEntry) bool {
	if !m.apply(entry) {
		return false
	}
	m.mu.Lock()
	m.pending = append(m.pending, entry)
	m.mu.Unlock()
	select {
	case m.pushSignal <- struct{}{}:
	default:
	}
	return true
}

func (m *Manager) pushLoop(ctx context.Context) {
	for {
		select {
		case <-m.pushSignal:
		case <-ctx.Done():
			return
		}
		if pause.For(ctx, pushDelay) != nil {
			return
		}
		m.flush(ctx)
	}
}

// flush sends the pending entries to all routers, to at most maxConcurrentPushes
// at a time, and blocks until each has answered or timed out.
func (m *Manager) flush(ctx context.Context) {
	m.mu.Lock()
	entries := m.pending
	m.pending = nil
	m.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPushes)
	for _, peer := range m.peers(true) {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			m.push(ctx, peer.Address, entries)
		})
	}
	group.Wait()
}

// push sends entries to one router. It makes a single attempt: after an error
// the router receives the entries when it pulls them from a peer.
func (m *Manager) push(ctx context.Context, address string, entries []*wirepb.QuarantineEntry) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := m.exchange(ctx, address, &wirepb.QuarantineUpdate{Entries: entries}); err != nil {
		m.options.Log.Debug().Err(err).Msg("quarantine: router did not receive or did not answer new entries; it gets them with a later pull")
	}
}

// peers returns the members that are not known to be dead, without this process:
// routers only, or all roles.
func (m *Manager) peers(routersOnly bool) []membership.Member {
	self := m.options.View.Self()
	var peers []membership.Member
	for _, member := range m.options.View.Members() {
		if member.Process == self.Process || (routersOnly && member.Role != membership.RoleRouter) {
			continue
		}
		peers = append(peers, member)
	}
	return peers
}

// exchange sends an update to a peer and returns the update that the peer sends
// as its answer.
func (m *Manager) exchange(ctx context.Context, address string, update *wirepb.QuarantineUpdate) (*wirepb.QuarantineUpdate, error) {
	reply := new(wirepb.QuarantineUpdate)
	return reply, m.options.Pool.Call(ctx, address, wirepb.Kind_KIND_QUARANTINE, "", update, reply)
}

// Handle serves KIND_QUARANTINE: it applies the entries of the received update
// and answers with another update.
func (m *Manager) Handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	update := new(wirepb.QuarantineUpdate)
	if err := stream.Recv(update); err != nil {
		return
	}
	m.applyAll(update.Entries)
	_ = stream.Send(m.answer(update))
}

// answer returns the answer to a received update: the decision on a permit, all
// entries of the table, or an empty update.
func (m *Manager) answer(update *wirepb.QuarantineUpdate) *wirepb.QuarantineUpdate {
	switch {
	case update.Trial != nil:
		return m.arbitrate(update.Trial)
	case update.Pull:
		return &wirepb.QuarantineUpdate{Entries: m.table.entries()}
	default:
		return new(wirepb.QuarantineUpdate)
	}
}

func (m *Manager) applyAll(entries []*wirepb.QuarantineEntry) {
	for _, entry := range entries {
		m.apply(entry)
	}
}

// apply applies an entry and reports whether it changed the content's state. If
// the content became suspect or convicted, apply notifies its watchers.
func (m *Manager) apply(entry *wirepb.QuarantineEntry) bool {
	changed := m.table.apply(entry)
	if changed && entry.State != wirepb.QuarantineState_QUARANTINE_CLEARED {
		m.watchers.notify(entry.Digest)
	}
	return changed
}

// pullLoop fetches entries from the store and from peers. At first it tries every
// startPullInterval until the store has been read and a peer answers a pull, at
// most maxStartPulls times. Later it pulls from one random peer at a time, at
// random intervals with a mean of pullInterval.
func (m *Manager) pullLoop(ctx context.Context) {
	loaded := false
	for range maxStartPulls {
		loaded = loaded || m.loadConvictions(ctx)
		if m.pull(ctx, startPullPeers) > 0 && loaded {
			break
		}
		if pause.For(ctx, startPullInterval) != nil {
			return
		}
	}
	for pause.For(ctx, pullInterval/2+rand.N(pullInterval)) == nil {
		if !loaded {
			loaded = m.loadConvictions(ctx)
		}
		m.pull(ctx, 1)
		m.deleteExpired(ctx)
	}
}

// pull fetches the entries of up to count random peers and returns how many
// answered. It asks routers, or any members if there is no other router.
func (m *Manager) pull(ctx context.Context, count int) int {
	peers := m.peers(true)
	if len(peers) == 0 {
		peers = m.peers(false)
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	answered := 0
	for _, peer := range peers[:min(count, len(peers))] {
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		update, err := m.exchange(pullCtx, peer.Address, &wirepb.QuarantineUpdate{Pull: true})
		cancel()
		if err != nil {
			continue
		}
		m.applyAll(update.Entries)
		answered++
	}
	return answered
}

func digestText(digest uint64) string { return fmt.Sprintf("%016x", digest) }
