package snapshot

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/store"
	"golang.org/x/sync/errgroup"
)

const (
	headName     = "head"
	bucketPrefix = "bucket/"

	// maxConcurrentReads is the largest number of buckets that Load reads at the
	// same time.
	maxConcurrentReads = 8

	// maxChangedKeys is the largest number of changed records that a history
	// entry lists by key.
	maxChangedKeys = 20
	// retainedRevisions is the number of revisions for which replaced buckets are
	// kept, so that readers of a recent head can still load them.
	retainedRevisions = 8
	// headPollInterval is the time between failed reads of the head while the
	// outcome of a write is unknown.
	headPollInterval = 200 * time.Millisecond
)

var (
	// ErrHeadChanged reports that another writer committed first and that this
	// commit changed nothing.
	ErrHeadChanged = errors.New("head has moved")
	// ErrUnknownOutcome reports that the commit may or may not have taken effect: the
	// store did not answer before the caller's context ended, or the head's
	// history no longer reaches back to the revision.
	ErrUnknownOutcome = errors.New("commit outcome unknown")
	// ErrTooLarge reports that a bucket exceeds store.MaxValueBytes and that the
	// commit changed nothing.
	ErrTooLarge = errors.New("bucket too large for the store")
	// ErrCorrupt reports that the records of a stored bucket, or those of all
	// buckets, do not match the hash in the head.
	ErrCorrupt = errors.New("stored bucket does not match its hash")
)

// Repository keeps snapshots in the store: one head object, and immutable
// buckets that the head refers to by key and content hash. It is safe for
// concurrent use, also by several processes.
type Repository struct {
	store  store.Store
	prefix string
}

// NewRepository returns a repository whose objects have keys that start with
// prefix, such as "config/".
func NewRepository(s store.Store, prefix string) *Repository {
	return &Repository{store: s, prefix: prefix}
}

// HeadKey returns the store's key of the head object.
func (r *Repository) HeadKey() string { return r.prefix + headName }

// State is a head as read from the store.
type State struct {
	head    head
	version int64
}

// Revision returns the revision of the head.
func (s State) Revision() uint64 { return s.head.Revision }

// Hash returns the hash of the snapshot that the head refers to.
func (s State) Hash() Hash { return s.head.Hash }

// Version returns the store's version of the head. A watch for later heads
// starts from it.
func (s State) Version() int64 { return s.version }

// History returns up to HistoryLimit publications, the newest first. The caller
// must not change the slice.
func (s State) History() []Entry { return s.head.History }

// Find returns the history entry with the nonce, or nil if there is none.
func (s State) Find(nonce string) *Entry { return s.head.find(nonce) }

// Head reads the head from the store. Before the first publication it returns
// the state of revision 0.
func (r *Repository) Head(ctx context.Context) (State, error) {
	object, err := r.store.Get(ctx, r.HeadKey())
	if errors.Is(err, store.ErrNotFound) {
		return State{version: store.VersionAbsent}, nil
	}
	if err != nil {
		return State{}, err
	}
	return ParseHead(object)
}

// ParseHead decodes a head object, for example one that a watch delivered.
func ParseHead(object store.Object) (State, error) {
	state := State{version: object.Version}
	if err := json.Unmarshal(object.Value, &state.head); err != nil {
		return State{}, fmt.Errorf("head: %w", err)
	}
	return state, nil
}

// Load returns the snapshot that state refers to. It reads only the buckets
// that base does not hold; base may be nil. It returns store.ErrNotFound if a
// bucket has been replaced and deleted meanwhile; the caller should then read
// the head again. It returns ErrCorrupt if the records do not match their hash.
func (r *Repository) Load(ctx context.Context, state State, base *Snapshot) (*Snapshot, error) {
	if base == nil {
		base = new(Snapshot)
	}
	loadedBuckets, err := r.loadBuckets(ctx, state, base)
	if err != nil {
		return nil, err
	}
	next, err := base.Replace(state.head.Revision, loadedBuckets)
	if err != nil {
		return nil, err
	}
	if next.revision > 0 && next.Hash() != state.head.Hash {
		return nil, ErrCorrupt
	}
	return next, nil
}

// loadBuckets reads the buckets that base lacks, at most maxConcurrentReads at
// a time, and returns their records by bucket index.
func (r *Repository) loadBuckets(ctx context.Context, state State, base *Snapshot) (map[int][]Record, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	var mu sync.Mutex
	loadedBuckets := make(map[int][]Record)
	for i, ref := range state.head.Buckets {
		if ref.Hash == base.buckets[i].hash {
			continue
		}
		group.Go(func() error {
			records, err := r.loadBucket(ctx, ref)
			mu.Lock()
			defer mu.Unlock()
			loadedBuckets[i] = records
			return err
		})
	}
	return loadedBuckets, group.Wait()
}

// loadBucket reads one bucket and checks its records against the hash.
func (r *Repository) loadBucket(ctx context.Context, ref BucketRef) ([]Record, error) {
	if ref.Object == "" {
		return nil, nil
	}
	object, err := r.store.Get(ctx, ref.Object)
	if err != nil {
		return nil, err
	}
	var records []Record
	if err := json.Unmarshal(object.Value, &records); err != nil {
		return nil, fmt.Errorf("bucket %s: %w", ref.Object, err)
	}
	if newBucket(records).hash != ref.Hash {
		return nil, fmt.Errorf("%w: %s", ErrCorrupt, ref.Object)
	}
	return records, nil
}

// Watch returns a channel that delivers each head that is written after from.
// The channel is closed when ctx ends or the connection to the store is lost.
func (r *Repository) Watch(ctx context.Context, from State) (<-chan store.Object, error) {
	return r.store.Watch(ctx, r.HeadKey(), from.version)
}

// NewNonce returns a random nonce for one attempt to commit.
func NewNonce() string { return rand.Text() }
