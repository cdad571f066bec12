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
	pushDelay       = 10 * time.Millisecond
	pushTimeout     = time.Second
	maxPushes       = 16
	pullTimeout     = time.Second
	pullPeers       = 3
	startInterval   = 500 * time.Millisecond
	startAttempts   = 20
	compareInterval = 15 * time.Second

	// recentFor is how long an agent's suspicion counts as news to routers.
	recentFor = time.Second

	defaultQuarantine = 10 * time.Minute
)

// Options configure a Manager. Store may be nil: then convictions are kept by
// the processes alone.
type Options struct {
	Pool   *wire.Pool
	View   membership.View
	Source object.Source
	Store  store.Store
	Log    zerolog.Logger
}

// Manager keeps a process's table and spreads what the process finds to all
// routers. Convictions are written to the store too, so that they outlive any
// process. Methods are safe for concurrent use.
type Manager struct {
	options  Options
	table    *table
	trials   trials
	watchers watchers

	mu      sync.Mutex
	pending []*wirepb.QuarantineEntry
	stored  map[string]stored
	kick    chan struct{}

	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a manager with an empty table.
func New(options Options) *Manager {
	return &Manager{
		options:  options,
		table:    newTable(),
		trials:   trials{held: make(map[uint64]holding)},
		watchers: watchers{runs: make(map[uint64]map[uint64]func())},
		stored:   make(map[string]stored),
		kick:     make(chan struct{}, 1),
		cancel:   func() {},
	}
}

// Start begins to spread and to fetch entries. It does not block.
func (m *Manager) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.tasks.Go(func() { m.pushLoop(ctx) })
	m.tasks.Go(func() { m.pullLoop(ctx) })
	return nil
}

// Stop sends what is pending and ends the manager's tasks.
func (m *Manager) Stop(ctx context.Context) error {
	m.flush(ctx)
	m.cancel()
	m.tasks.Wait()
	return nil
}

// Lookup returns what is known of a content, and for how long it holds.
func (m *Manager) Lookup(digest uint64) (State, time.Duration) {
	return m.table.lookup(digest)
}

// Recent is Lookup without suspicions that all routers know by now, and may have
// dropped.
func (m *Manager) Recent(digest uint64) Permit {
	state, left := m.table.lookup(digest)
	if state == StateSuspect && left < suspectFor-recentFor {
		return Permit{}
	}
	return Permit{State: state, Remaining: left, CrashTokens: m.table.crashTokens(digest)}
}

// Suspect notes that a content was in flight at a crash, after a number of
// tokens of its answer.
func (m *Manager) Suspect(digest uint64, tokens int64) {
	m.found(&wirepb.QuarantineEntry{
		Digest: digest, State: wirepb.QuarantineState_QUARANTINE_SUSPECT,
		RemainingMs: suspectFor.Milliseconds(), CrashTokens: tokens,
	})
}

// Clear notes that a suspect has completed.
func (m *Manager) Clear(digest uint64) {
	if state, _ := m.table.lookup(digest); state != StateSuspect {
		return
	}
	m.found(&wirepb.QuarantineEntry{Digest: digest, State: wirepb.QuarantineState_QUARANTINE_CLEARED})
}

// Convict notes that a content crashed upstreams, and returns for how long it is refused.
func (m *Manager) Convict(digest uint64) time.Duration {
	term := m.term()
	entry := &wirepb.QuarantineEntry{
		Digest: digest, State: wirepb.QuarantineState_QUARANTINE_CONVICTED, RemainingMs: term.Milliseconds(),
	}
	if m.found(entry) {
		metrics.Counter("quarantine.convictions").Inc(1)
		m.options.Log.Warn().Str("digest", digestText(digest)).Msg("quarantine: content is refused")
		m.tasks.Go(func() { m.keep(entry) })
	}
	return term
}

func (m *Manager) term() time.Duration {
	if set := m.options.Source.Current(); set != nil && set.Fleet.QuarantineFor > 0 {
		return time.Duration(set.Fleet.QuarantineFor)
	}
	return defaultQuarantine
}

// found applies an entry and queues it for the routers if it is news.
func (m *Manager) found(entry *wirepb.QuarantineEntry) bool {
	if !m.apply(entry) {
		return false
	}
	m.mu.Lock()
	m.pending = append(m.pending, entry)
	m.mu.Unlock()
	select {
	case m.kick <- struct{}{}:
	default:
	}
	return true
}

func (m *Manager) pushLoop(ctx context.Context) {
	for {
		select {
		case <-m.kick:
		case <-ctx.Done():
			return
		}
		if pause.For(ctx, pushDelay) != nil {
			return
		}
		m.flush(ctx)
	}
}

// flush sends the pending entries to all routers, a few at a time.
func (m *Manager) flush(ctx context.Context) {
	m.mu.Lock()
	entries := m.pending
	m.pending = nil
	m.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	var group sync.WaitGroup
	places := make(chan struct{}, maxPushes)
	for _, peer := range m.others(true) {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			m.push(ctx, peer.Address, entries)
		})
	}
	group.Wait()
}

func (m *Manager) push(ctx context.Context, address string, entries []*wirepb.QuarantineEntry) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := m.exchange(ctx, address, &wirepb.QuarantineUpdate{Entries: entries}); err != nil {
		m.options.Log.Debug().Err(err).Msg("quarantine: router not told")
	}
}

// others returns the live members besides this process, routers only or all.
func (m *Manager) others(routersOnly bool) []membership.Member {
	self := m.options.View.Self()
	var others []membership.Member
	for _, member := range m.options.View.Members() {
		if member.Process == self.Process || (routersOnly && member.Role != membership.RoleRouter) {
			continue
		}
		others = append(others, member)
	}
	return others
}

// exchange sends an update and returns the peer's.
func (m *Manager) exchange(ctx context.Context, address string, update *wirepb.QuarantineUpdate) (*wirepb.QuarantineUpdate, error) {
	reply := new(wirepb.QuarantineUpdate)
	return reply, m.options.Pool.Ask(ctx, address, wirepb.Kind_KIND_QUARANTINE, "", update, reply)
}

// Handle serves KIND_QUARANTINE: it takes in an update and answers with one.
func (m *Manager) Handle(_ context.Context, _ wire.Request, stream *wire.Stream) {
	update := new(wirepb.QuarantineUpdate)
	if err := stream.Recv(update); err != nil {
		return
	}
	m.applyAll(update.Entries)
	_ = stream.Send(m.answer(update))
}

func (m *Manager) answer(update *wirepb.QuarantineUpdate) *wirepb.QuarantineUpdate {
	switch {
	case update.Trial != nil:
		return m.judgeTrial(update.Trial)
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

// apply takes in an entry, tells the content's runs, and reports whether it is news.
func (m *Manager) apply(entry *wirepb.QuarantineEntry) bool {
	news := m.table.apply(entry)
	if news && entry.State != wirepb.QuarantineState_QUARANTINE_CLEARED {
		m.watchers.tell(entry.Digest)
	}
	return news
}

// pullLoop fetches the entries of others: at start until some source has
// answered, later now and then from a random peer.
func (m *Manager) pullLoop(ctx context.Context) {
	kept := false
	for range startAttempts {
		kept = kept || m.load(ctx)
		if m.pull(ctx, pullPeers) > 0 && kept {
			break
		}
		if pause.For(ctx, startInterval) != nil {
			return
		}
	}
	for pause.For(ctx, compareInterval/2+rand.N(compareInterval)) == nil {
		if !kept {
			kept = m.load(ctx)
		}
		m.pull(ctx, 1)
		m.sweepStore(ctx)
	}
}

// pull asks a number of random peers, routers first, and returns how many answered.
func (m *Manager) pull(ctx context.Context, count int) int {
	peers := m.others(true)
	if len(peers) == 0 {
		peers = m.others(false)
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
