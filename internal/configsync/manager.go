// Package configsync keeps the configuration in force in each process: it loads
// the newest snapshot from the platform's store or from peers, follows changes
// by push, relay and periodic comparison, and knows how recent its knowledge is.
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
	// DefaultPrefix is where the configuration lies in the store.
	DefaultPrefix = "config/"

	compareInterval = time.Second
	exchangeTimeout = time.Second
	storeTimeout    = 2 * time.Second
	deltaLimit      = 64
)

// Options are the dependencies of a Manager.
type Options struct {
	Store store.Store
	// Prefix is DefaultPrefix when empty.
	Prefix string
	// Pool carries exchanges with peers, unless Transport is set.
	Pool      *wire.Pool
	Transport Transport
	View      membership.View
	// Seeds are addresses that are asked at the start beside the view's members.
	Seeds []string
	Log   zerolog.Logger
	// Seed makes the choice of peers repeatable when not 0.
	Seed uint64
}

// configuration is one snapshot with its decoded set.
type configuration struct {
	snapshot  *snapshot.Snapshot
	hash      snapshot.Hash
	set       *object.Set
	witnesses []string
}

// delta is a change that this process has applied, kept for peers that lag.
type delta struct {
	from, to uint64
	toHash   snapshot.Hash
	changes  []snapshot.Change
}

// Manager holds the configuration in force. It implements object.Source.
type Manager struct {
	options    Options
	log        zerolog.Logger
	repository *snapshot.Repository
	transport  Transport
	evidence   *evidence

	current  atomic.Pointer[configuration]
	fetching atomic.Bool
	// asked is closed when peers have been asked for the first time.
	asked     chan struct{}
	askedOnce sync.Once

	mu      sync.Mutex
	changed chan struct{}
	deltas  []delta
	random  *rand.Rand

	ctx    context.Context
	cancel context.CancelFunc
	// running guards the start of tasks against the end of the manager.
	running sync.Mutex
	tasks   sync.WaitGroup
}

// New returns a Manager that holds no configuration yet.
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
		asked:      make(chan struct{}),
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

// Start begins loading and following. It does not wait for the first set; see Loaded.
func (m *Manager) Start(context.Context) error {
	m.run(m.loadFromStore)
	m.run(m.loadFromPeers)
	m.run(m.compareLoop)
	m.run(m.storeLoop)
	m.run(m.fenceLoop)
	return nil
}

// Stop ends all tasks and waits for them or for ctx.
func (m *Manager) Stop(ctx context.Context) error {
	m.running.Lock()
	m.cancel()
	m.running.Unlock()
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

// run starts a task that ends with the manager.
func (m *Manager) run(task func(ctx context.Context)) {
	m.running.Lock()
	defer m.running.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	m.tasks.Go(func() { task(m.ctx) })
}

// Current implements object.Source.
func (m *Manager) Current() *object.Set { return m.current.Load().set }

// Snapshot returns the records in force; the empty snapshot before the first set.
func (m *Manager) Snapshot() *snapshot.Snapshot { return m.current.Load().snapshot }

// Repository returns the place of the configuration in the store.
func (m *Manager) Repository() *snapshot.Repository { return m.repository }

// Revision returns the revision in force, 0 before the first set.
func (m *Manager) Revision() uint64 { return m.Snapshot().Revision() }

// Changed returns a channel that is closed when the next set is in force. Take
// the channel before reading Current, so that no change is missed. Any number
// of goroutines may wait on it; a change costs one close.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Loaded blocks until a first set is in force or ctx ends.
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

// Apply puts a snapshot in force if its revision is higher than the present
// one, and pushes the change to the neighbours except the one named by source.
// It returns an error when the records are not a valid set.
func (m *Manager) Apply(next *snapshot.Snapshot, source string) error {
	if next.Revision() <= m.Revision() {
		m.checkSame(next)
		return nil
	}
	began := time.Now()
	prepared, err := configure(m.current.Load(), next)
	if err != nil {
		metrics.Counter("config.rejected").Inc(1)
		return err
	}
	change, ok := m.swap(prepared)
	if !ok {
		return nil
	}
	metrics.Gauge("config.revision").Update(int64(change.to))
	metrics.Counter("config.applied").Inc(1)
	metrics.Histogram("config.apply_us").Update(time.Since(began).Microseconds())
	m.log.Info().Uint64("revision", change.to).Int("changes", len(change.changes)).
		Str("source", source).Msg("config: revision applied")
	m.run(func(ctx context.Context) { m.push(ctx, change, source) })
	return nil
}

// checkSame asserts that equal revisions have equal records.
func (m *Manager) checkSame(next *snapshot.Snapshot) {
	current := m.current.Load()
	if next.Revision() == current.snapshot.Revision() {
		invariant.Check(next.Hash() == current.hash, "config.one_set_a_revision",
			"two sets have revision %d", next.Revision())
	}
}

// swap puts the configuration in force unless a higher revision already is.
func (m *Manager) swap(next *configuration) (delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	former := m.current.Load()
	if next.snapshot.Revision() <= former.snapshot.Revision() {
		return delta{}, false
	}
	change := delta{
		from:    former.snapshot.Revision(),
		to:      next.snapshot.Revision(),
		toHash:  next.hash,
		changes: former.snapshot.Diff(next.snapshot),
	}
	m.deltas = append(m.deltas, change)
	if len(m.deltas) > deltaLimit {
		m.deltas = m.deltas[1:]
	}
	m.evidence.reset(next)
	m.current.Store(next)
	close(m.changed)
	m.changed = make(chan struct{})
	return change, true
}

// chain returns the kept deltas that lead from a revision to the present one, or nil.
func (m *Manager) chain(from uint64) []delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, change := range m.deltas {
		if change.from == from {
			return append([]delta(nil), m.deltas[i:]...)
		}
	}
	return nil
}
