package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
)

const (
	defaultCommitsPerSecond = 20
	defaultUnjournaledAfter = 500 * time.Millisecond
	defaultDropAfter        = 10 * time.Second
	defaultMaxKeys          = 100_000

	maxJournaledAnswerBytes = 2 << 10
	maxKeptAnswerBytes      = 64 << 10
	softMaxTailBytes        = 2 << 10
	hardMaxTailBytes        = 32 << 10
	maxShards               = 4096

	storeTimeout         = time.Second
	witnessTimeout       = time.Second
	outcomeWriteDelay    = 500 * time.Millisecond
	evictInterval        = 250 * time.Millisecond
	commitRetryInterval  = 200 * time.Millisecond
	maxFailureAge        = 4 * time.Second
	ownershipInterval    = 500 * time.Millisecond
	maxOwnershipInterval = 4 * time.Second
	cachedHeadTTL        = time.Second

	retryNotRun      = 200 * time.Millisecond
	retryRunning     = time.Second
	retryFull        = 5 * time.Second
	retryUnavailable = time.Second
)

var claimsPerCommit = metrics.Histogram("once.claims_per_commit")

// Options configure a Manager. Store, Transport, Pool, Self, Peers, Shards and
// Horizon are required.
type Options struct {
	Store     store.Store
	Transport Transport
	// Hosts is the platform's list. Without it no shard is taken from another host.
	Hosts store.HostLister
	// Pool names the upstreams that share the shards.
	Pool string
	Self Peer
	// Peers returns the live processes that may own shards, Self included.
	Peers func() []Peer
	// Shards is the number of shards in a pool that has none yet.
	Shards func() int
	// Horizon is how long a key is remembered. Repeats after it count as new.
	Horizon func() time.Duration
	// CommitsPerSecond bounds the writes to the store by this process.
	CommitsPerSecond float64
	// UnjournaledAfter is how long writes fail before claims run without the store.
	UnjournaledAfter time.Duration
	// DropAfter is how long a host is absent from the platform's list before its
	// shards are taken. By then no process of the host may still run.
	DropAfter time.Duration
	// MaxKeys bounds the keys that one shard remembers.
	MaxKeys int
	// Healthy reports whether executions can succeed here; nil means always. While
	// it is false, shards are handed to other peers.
	Healthy func() bool
	Log     zerolog.Logger
}

// Manager owns shards of one pool and runs requests on them. Methods are safe
// for concurrent use.
type Manager struct {
	options  Options
	log      zerolog.Logger
	limiter  *rate.Limiter
	witness  *witness
	absences absenceTracker

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	shards   []*shard
	stopping bool
}

// NewManager returns a manager that owns nothing until Start.
func NewManager(options Options) *Manager {
	if options.CommitsPerSecond <= 0 {
		options.CommitsPerSecond = defaultCommitsPerSecond
	}
	if options.UnjournaledAfter <= 0 {
		options.UnjournaledAfter = defaultUnjournaledAfter
	}
	if options.DropAfter <= 0 {
		options.DropAfter = defaultDropAfter
	}
	if options.MaxKeys <= 0 {
		options.MaxKeys = defaultMaxKeys
	}
	m := &Manager{
		options: options,
		log:     options.Log,
		limiter: rate.NewLimiter(rate.Limit(options.CommitsPerSecond), max(1, int(options.CommitsPerSecond))),
		witness: newWitness(),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Start begins to look for shards to own. It does not block.
func (m *Manager) Start() {
	m.tasks.Go(m.ownershipLoop)
}

// Stop hands the shards over and blocks until that is done or ctx ends. Requests
// are told of the new owners.
func (m *Manager) Stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	shards := m.shards
	m.mu.Unlock()
	err := m.handOverAll(ctx, shards)
	m.cancel()
	m.tasks.Wait()
	return err
}

// Halt ends the manager's tasks and keeps the shards, as a crash does.
func (m *Manager) Halt() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.cancel()
	m.tasks.Wait()
}

// Do runs a request at most once for its key and returns the answer, or that of
// the first request with the key. It blocks until there is an answer or ctx ends.
// The execution itself is not bound to ctx. Errors are *Error.
func (m *Manager) Do(ctx context.Context, request Request, run func() Outcome) (Result, error) {
	m.mu.Lock()
	shards := m.shards
	m.mu.Unlock()
	if len(shards) == 0 {
		return Result{}, &Error{Reason: ReasonUnavailable, RetryAfter: retryUnavailable}
	}
	s := shards[ShardOf(request.ID(), len(shards))]
	for range maxResolveAttempts {
		result, err := s.do(ctx, request, run)
		if !errors.Is(err, errNotServing) {
			return result, err
		}
		owner, ok := m.resolveOwner(ctx, s)
		if !ok {
			break
		}
		if owner.Process != m.options.Self.Process {
			return Result{}, &Error{Reason: ReasonNotOwner, Owner: owner}
		}
	}
	return Result{}, &Error{Reason: ReasonUnavailable, RetryAfter: retryUnavailable}
}

// HandleMarkUnjournaled serves Transport.Mark of another owner, addressed to an incarnation.
// A process's incarnation may grow within its life, and is higher in each later
// life, so that a lower one is that of a life whose memory is lost.
func (m *Manager) HandleMarkUnjournaled(incarnation uint64, mark UnjournaledMark) error {
	if incarnation < m.options.Self.Incarnation {
		return ErrWitness
	}
	return m.witness.recordMark(mark)
}

// HandleQueryUnjournaled serves Transport.Ask of a successor, addressed to an incarnation.
func (m *Manager) HandleQueryUnjournaled(incarnation uint64, ask UnjournaledQuery) (marked bool, err error) {
	if incarnation < m.options.Self.Incarnation {
		return false, ErrWitness
	}
	return m.witness.fenceAndQuery(ask), nil
}

// HandleOffer serves Transport.Offer of an owner.
func (m *Manager) HandleOffer(ctx context.Context, number int, closed bool) bool {
	m.mu.Lock()
	shards, stopping := m.shards, m.stopping
	m.mu.Unlock()
	if stopping || !m.isHealthy() || number < 0 || number >= len(shards) {
		return false
	}
	if !closed {
		return true
	}
	return m.readAndTryTake(ctx, shards[number]) == nil && shards[number].isOwned()
}

// OwnedShards returns the numbers of the shards that this process owns.
func (m *Manager) OwnedShards() []int {
	m.mu.Lock()
	shards := m.shards
	m.mu.Unlock()
	var owned []int
	for _, s := range shards {
		if s.isOwned() {
			owned = append(owned, s.number)
		}
	}
	return owned
}

func (m *Manager) isHealthy() bool {
	return m.options.Healthy == nil || m.options.Healthy()
}

func (s *shard) isOwned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owned
}

// liveWitnesses are the live peers that would be told of unjournaled calls.
func (m *Manager) liveWitnesses() []Peer {
	var others []Peer
	for _, peer := range m.options.Peers() {
		if peer.Process != m.options.Self.Process {
			others = append(others, peer)
		}
	}
	return others[:min(len(others), maxWitnesses)]
}

// loadShardTable reads the pool's number of shards, and fixes it when there is none.
func (m *Manager) loadShardTable(ctx context.Context) error {
	key := shardTableKey(m.options.Pool)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := m.options.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return m.createShardTable(ctx, key)
	}
	if err != nil {
		return fault.Wrap(err, "read shard table", key)
	}
	table := new(wirepb.OnceTable)
	if err := proto.Unmarshal(object.Value, table); err != nil {
		return fault.Wrap(err, "decode shard table", key)
	}
	if table.Shards < 1 || table.Shards > maxShards {
		return fault.New("number of shards is out of range", "decode shard table", key)
	}
	shards := make([]*shard, table.Shards)
	for i := range shards {
		shards[i] = newShard(m, i)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards = shards
	return nil
}

// createShardTable writes the table; it is read back at the next attempt.
func (m *Manager) createShardTable(ctx context.Context, key string) error {
	shards := m.options.Shards()
	if shards < 1 || shards > maxShards {
		return fault.New("no number of shards is configured", "create shard table", key)
	}
	value, err := proto.Marshal(&wirepb.OnceTable{Shards: int32(shards)})
	if err != nil {
		return fault.Wrap(err, "encode shard table", key)
	}
	if _, err := m.options.Store.Put(ctx, key, value, store.VersionAbsent); err != nil {
		return fault.Wrap(err, "create shard table", key)
	}
	return m.loadShardTable(ctx)
}
