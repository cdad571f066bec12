// Package configsync keeps the current configuration in each process. It loads the
// newest snapshot from the platform store or from peers, follows changes, and knows
// how recently its revision was known to be the newest.
//
// Three paths spread a change: each process that applies it pushes it to about
// log2(n) neighbours of n members, one process in each zone watches the store's head,
// and each process compares revisions once a second with a random neighbour and with
// its parent in the tree of its zone. Evidence of freshness spreads with the
// comparisons. At its start, each process reads the head from the store. Later, while
// peers answer, only the zone watchers read the store, so that its load depends on
// the number of zones and not on the number of processes.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/storemeter"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/snapshot"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	// DefaultPrefix is the prefix of the configuration's keys in the store.
	DefaultPrefix = "config/"

	// compareInterval is the interval between comparisons with peers.
	compareInterval = time.Second
	exchangeTimeout = time.Second
	// storeTimeout is the timeout of an operation on the store. The first load has
	// loadTimeout instead.
	storeTimeout = 2 * time.Second
	// maxKeptDeltas is the number of latest deltas that are kept for peers that lag.
	maxKeptDeltas = 64
)

// Options configures a Manager.
type Options struct {
	Store store.Store
	// Prefix is the prefix of the keys in the store; empty means DefaultPrefix.
	Prefix string
	// Pool carries exchanges with peers if Transport is nil. It is not used otherwise.
	Pool *wire.Pool
	// Transport carries exchanges with peers. If it is nil, they go through Pool.
	Transport Transport
	View      membership.View
	// Seeds are addresses of peers that are asked during the start, besides the
	// members of View.
	Seeds []string
	Log   zerolog.Logger
	// Seed makes random choices repeatable when it is not 0.
	Seed uint64
}

// configuration is a snapshot with its decoded set and the witnesses of that set.
type configuration struct {
	snapshot  *snapshot.Snapshot
	hash      snapshot.Hash
	set       *object.Set
	witnesses []string
}

// delta is a change that this process has applied and keeps for peers that lag.
type delta struct {
	from, to uint64
	toHash   snapshot.Hash
	changes  []snapshot.Change
}

// Manager holds the current configuration. It implements object.Source and is safe
// for concurrent use.
type Manager struct {
	options    Options
	log        zerolog.Logger
	repository *snapshot.Repository
	transport  Transport
	evidence   *evidence

	current   atomic.Pointer[configuration]
	isPulling atomic.Bool
	// peersAsked is closed when the first round of requests to peers during the
	// start has ended.
	peersAsked     chan struct{}
	peersAskedOnce sync.Once

	// mu guards the fields below and changes of current.
	mu      sync.Mutex
	changed chan struct{}
	deltas  []delta
	random  *rand.Rand

	ctx    context.Context
	cancel context.CancelFunc
	// tasksMu is held while a task is started and while ctx is cancelled, so that
	// no task starts after Stop.
	tasksMu sync.Mutex
	tasks   sync.WaitGroup
}

// New returns a Manager without a configuration; see Start.
func New(options Options) *Manager {
	if options.Prefix == "" {
		options.Prefix = DefaultPrefix
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		options:    options,
		log:        options.Log,
		repository: snapshot.NewRepository(storemeter.New(options.Store, "config"), options.Prefix),
		transport:  options.Transport,
		evidence:   newEvidence(),
		changed:    make(chan struct{}),
		peersAsked: make(chan struct{}),
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
		ctx:        ctx,
		cancel:     cancel,
	}
	if m.transport == nil {
		m.transport = NewTransport(options.Pool)
	}
	m.current.Store(&configuration{snapshot: new(snapshot.Snapshot), hash: new(snapshot.Snapshot).Hash()})
	return m
}

// Start starts loading and following the configuration in the background. It does
// not wait for the first configuration; see Loaded.
func (m *Manager) Start(context.Context) error {
	m.run(m.loadFromStore)
	m.run(m.loadFromPeers)
	m.run(m.compareLoop)
	m.run(m.storeLoop)
	m.run(m.supersedeLoop)
	return nil
}

// Stop cancels all tasks and waits for them to end. It returns the error of ctx if
// that ends first.
func (m *Manager) Stop(ctx context.Context) error {
	m.tasksMu.Lock()
	m.cancel()
	m.tasksMu.Unlock()
	done := make(chan struct{})
	go func() {
		m.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run starts a task in the background. The context of the task is cancelled by Stop.
// After Stop, run does nothing.
func (m *Manager) run(task func(ctx context.Context)) {
	m.tasksMu.Lock()
	defer m.tasksMu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	m.tasks.Go(func() { task(m.ctx) })
}

// Current implements object.Source. It returns nil before the first configuration is applied.
func (m *Manager) Current() *object.Set { return m.current.Load().set }

// Snapshot returns the current snapshot. It is empty before the first configuration
// is applied.
func (m *Manager) Snapshot() *snapshot.Snapshot { return m.current.Load().snapshot }

// Repository returns the repository of the configuration in the store.
func (m *Manager) Repository() *snapshot.Repository { return m.repository }

// Revision returns the current revision, or 0 before the first configuration is applied.
func (m *Manager) Revision() uint64 { return m.Snapshot().Revision() }

// Changed returns a channel that is closed when the next configuration is applied.
// Callers must get the channel before they call Current, so that they miss no change.
// Any number of goroutines may wait on the channel; a change costs one close.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Loaded blocks until the first configuration is applied or ctx ends. It returns nil
// in the first case and the error of ctx in the second.
func (m *Manager) Loaded(ctx context.Context) error {
	for {
		changed := m.Changed()
		if m.Current() != nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Apply makes next the current snapshot if its revision is higher than the current
// one, and starts pushing the change to all neighbours except source, the address of the
// peer that it came from, or "" if it came from the store or from this process. It returns
// an error when the records are not a valid set.
func (m *Manager) Apply(next *snapshot.Snapshot, source string) error {
	if next.Revision() <= m.Revision() {
		m.checkSameRecords(next)
		return nil
	}
	start := time.Now()
	decoded, err := newConfiguration(m.current.Load(), next)
	if err != nil {
		metrics.Counter("config.rejected").Inc(1)
		return err
	}
	applied, ok := m.replaceCurrent(decoded)
	if !ok {
		return nil
	}
	metrics.Gauge("config.revision").Update(int64(applied.to))
	metrics.Counter("config.applied").Inc(1)
	metrics.Histogram("config.apply_us").Update(time.Since(start).Microseconds())
	m.log.Info().Uint64("revision", applied.to).Int("changes", len(applied.changes)).
		Str("source", source).Msg("config: revision applied")
	m.run(func(ctx context.Context) { m.push(ctx, applied, source) })
	return nil
}

// checkSameRecords asserts that next has the same records as the current snapshot if
// it has the same revision.
func (m *Manager) checkSameRecords(next *snapshot.Snapshot) {
	current := m.current.Load()
	if next.Revision() == current.snapshot.Revision() {
		invariant.Check(next.Hash() == current.hash, "config.one_set_a_revision",
			"two different sets have revision %d", next.Revision())
	}
}

// replaceCurrent makes next the current configuration and returns the delta from the
// previous one. It returns false when the current revision is at least as high.
func (m *Manager) replaceCurrent(next *configuration) (delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.current.Load()
	if next.snapshot.Revision() <= previous.snapshot.Revision() {
		return delta{}, false
	}
	change := delta{
		from:    previous.snapshot.Revision(),
		to:      next.snapshot.Revision(),
		toHash:  next.hash,
		changes: previous.snapshot.Diff(next.snapshot),
	}
	m.deltas = append(m.deltas, change)
	if len(m.deltas) > maxKeptDeltas {
		m.deltas = m.deltas[1:]
	}
	m.evidence.reset(next)
	m.current.Store(next)
	close(m.changed)
	m.changed = make(chan struct{})
	return change, true
}

// deltasSince returns the kept deltas that lead from the given revision to the current
// one, or nil when the first of them is no longer kept.
func (m *Manager) deltasSince(from uint64) []delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, kept := range m.deltas {
		if kept.from == from {
			return append([]delta(nil), m.deltas[i:]...)
		}
	}
	return nil
}
