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

	// maxJournaledAnswerBytes is the size up to which an answer survives a change of owner.
	maxJournaledAnswerBytes = 2 << 10
	// maxKeptAnswerBytes is the size up to which an owner keeps an answer in memory.
	maxKeptAnswerBytes = 64 << 10
	// softMaxTailBytes is the size of the tail and the pending records above which the
	// tail moves to a segment, if CommitsPerSecond allows a further write at once.
	softMaxTailBytes = 2 << 10
	// hardMaxTailBytes is the size of the tail above which it moves even if the commit
	// has to wait until CommitsPerSecond allows a further write.
	hardMaxTailBytes = 32 << 10
	maxShards        = 4096

	storeTimeout   = time.Second
	witnessTimeout = time.Second
	// outcomeWriteDelay is how long outcomes wait for a claim to share its write.
	outcomeWriteDelay = 500 * time.Millisecond
	evictInterval     = 250 * time.Millisecond
	// commitRetryInterval is the mean pause after a failed write; see flush.
	commitRetryInterval = 200 * time.Millisecond
	// maxFailureAge is how long a failed write counts as evidence that the store is
	// still failing.
	maxFailureAge = 4 * time.Second
	// ownershipInterval is the pause between checks of ownership.
	ownershipInterval = 500 * time.Millisecond
	// maxOwnershipInterval is the longest pause between checks of ownership. It
	// applies while none of the shards whose preferred owner is this process, and
	// which it does not own, can be taken.
	maxOwnershipInterval = 4 * time.Second
	// cachedHeadTTL is how long requests for a shard of another owner use a head that
	// was read.
	cachedHeadTTL = time.Second

	// The times for Error.RetryAfter, by reason.
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
	// Hosts returns the platform's list of hosts. If it is nil, a shard of
	// another process is taken only after that process has handed it over.
	Hosts store.HostLister
	// Pool is the name of the pool of upstreams. Each pool has shards of its own.
	Pool string
	// Self is this process.
	Self Peer
	// Peers returns the live processes that may own shards, Self included.
	Peers func() []Peer
	// Shards returns the number of shards to create in a pool that has none yet.
	Shards func() int
	// Horizon returns how long a key is remembered after its first request has ended.
	// A later repeat counts as a new request.
	Horizon func() time.Duration
	// CommitsPerSecond bounds this process's commits, writes of segments and deletions
	// of expired segments. It does not bound the first head of a takeover, the deletion
	// of orphaned segments and the write of the shard table. The default is 20.
	CommitsPerSecond float64
	// UnjournaledAfter is how long writes must have failed before claims run without
	// the journal. The default is 500 ms.
	UnjournaledAfter time.Duration
	// DropAfter is how long a host must have been absent from the platform's list
	// before its shards are taken. The default is 10 s. It must be long enough that no
	// process of the host still runs by then.
	DropAfter time.Duration
	// MaxKeys bounds the keys that one shard remembers. The default is 100,000.
	MaxKeys int
	// Healthy reports whether executions can succeed in this process; nil means
	// always. While it returns false, shards are handed over to other peers.
	Healthy func() bool
	Log     zerolog.Logger
}

// Manager owns shards of one pool and runs requests on them. Methods are safe
// for concurrent use.
type Manager struct {
	options Options
	log     zerolog.Logger
	// limiter bounds the writes that Options.CommitsPerSecond lists.
	limiter *rate.Limiter
	// witness holds the marks of other owners.
	witness  *witness
	absences absenceTracker

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// mu guards shards and stopping. shards is empty until the shard table is loaded.
	mu       sync.Mutex
	shards   []*shard
	stopping bool
}

// NewManager returns a manager that owns no shard before Start is called.
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

// Start begins to take shards in the background. It does not block.
func (m *Manager) Start() {
	m.tasks.Go(m.ownershipLoop)
}

// Stop hands all shards over to peers, ends the manager's tasks and blocks until that
// is done or ctx ends. Requests that arrive later get the new owners' addresses. It
// returns the errors of the shards that were not handed over.
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

// StopWithoutHandover ends the manager's tasks without handing its shards over. As after a crash,
// the store still names this process as their owner. It blocks until the ownership
// loop has ended.
func (m *Manager) StopWithoutHandover() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.cancel()
	m.tasks.Wait()
}

// Do runs a request at most once for its key. It returns the answer of run, or that
// of the first request with the key. It blocks until there is an answer or ctx ends;
// when it has called run, it waits for run also after ctx has ended. Errors are of type
// *Error.
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

// HandleMarkUnjournaled records a mark that another owner sent with
// Transport.MarkUnjournaled. incarnation is the incarnation of this process to which
// the mark was sent. It returns ErrWitnessRefused when the mark was not recorded.
// Each start of a process has a higher incarnation, which may grow while the process
// runs. A lower incarnation than that of this start therefore belongs to an earlier
// start, whose marks are lost.
func (m *Manager) HandleMarkUnjournaled(incarnation uint64, mark UnjournaledMark) error {
	if incarnation < m.options.Self.Incarnation {
		return ErrWitnessRefused
	}
	return m.witness.recordMark(mark)
}

// HandleQueryUnjournaled answers a query that a successor sent with
// Transport.QueryUnjournaled. incarnation is the incarnation of this process to which
// the query was sent. It returns ErrWitnessRefused when the marks of that incarnation
// are lost.
func (m *Manager) HandleQueryUnjournaled(incarnation uint64, query UnjournaledQuery) (periodOpen bool, err error) {
	if incarnation < m.options.Self.Incarnation {
		return false, ErrWitnessRefused
	}
	return m.witness.fenceAndQuery(query), nil
}

// HandleOffer handles Transport.Offer of an owner. It reports whether this process
// accepts the shard or, if closed is true, whether it has taken the shard. With
// closed it reads and writes the store.
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

// OwnedShards returns the numbers of the shards that this process owns, in ascending
// order.
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

// liveWitnesses returns up to maxWitnesses live peers other than this process. They
// are the witnesses of the heads that this process writes.
func (m *Manager) liveWitnesses() []Peer {
	var others []Peer
	for _, peer := range m.options.Peers() {
		if peer.Process != m.options.Self.Process {
			others = append(others, peer)
		}
	}
	return others[:min(len(others), maxWitnesses)]
}

// loadShardTable reads the pool's number of shards from the store and creates the
// shards' state. It writes the configured number when the store has none.
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

// createShardTable writes the configured number of shards and loads it. It fails when
// another process has written the table first; the next call of loadShardTable then
// reads that one.
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
