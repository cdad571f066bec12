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

	// loadParallel is the number of buckets that are read at the same time.
	loadParallel = 8

	// changedLimit is the number of changed records that a history entry names.
	changedLimit = 20
	// retainRevisions is the number of revisions for which replaced buckets are kept.
	retainRevisions = 8
	settleInterval  = 200 * time.Millisecond
)

var (
	// ErrHeadChanged reports that another writer committed first. Nothing was changed.
	ErrHeadChanged = errors.New("head has moved")
	// ErrUnknown reports that the commit may or may not have taken effect, and
	// that the store could not be asked before the caller's time was over.
	ErrUnknown = errors.New("commit outcome unknown")
	// ErrTooLarge reports a bucket that exceeds the store's limit. Nothing was changed.
	ErrTooLarge = errors.New("bucket too large for the store")
	// ErrCorrupt reports a stored bucket whose records do not match their hash.
	ErrCorrupt = errors.New("stored bucket does not match its hash")
)

// Repository keeps snapshots in the store: one head object, and immutable
// buckets that a head refers to by name and content hash. It is safe for
// concurrent use, also by many processes.
type Repository struct {
	store  store.Store
	prefix string
}

// NewRepository returns a repository whose objects start with prefix, such as "config/".
func NewRepository(s store.Store, prefix string) *Repository {
	return &Repository{store: s, prefix: prefix}
}

// HeadKey returns the store's key of the head object, the one to watch.
func (r *Repository) HeadKey() string { return r.prefix + headName }

// State is a head as read from the store.
type State struct {
	head    head
	version int64
}

// Revision returns the revision in force.
func (s State) Revision() uint64 { return s.head.Revision }

// Hash returns the hash of the snapshot in force.
func (s State) Hash() Hash { return s.head.Hash }

// Version returns the store's version of the head, from which to watch.
func (s State) Version() int64 { return s.version }

// History returns the former publications, newest first. The caller must not change it.
func (s State) History() []Entry { return s.head.History }

// Find returns the publication with the nonce, or nil.
func (s State) Find(nonce string) *Entry { return s.head.find(nonce) }

// Head reads the head. Before the first publication it returns the state of revision 0.
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

// ParseHead decodes a head that a watch delivered.
func ParseHead(object store.Object) (State, error) {
	state := State{version: object.Version}
	if err := json.Unmarshal(object.Value, &state.head); err != nil {
		return State{}, fmt.Errorf("head: %w", err)
	}
	return state, nil
}

// Load returns the snapshot that state refers to. Buckets that base already
// holds are not read again; base may be nil. A bucket that has been replaced
// meanwhile gives store.ErrNotFound: read the head again.
func (r *Repository) Load(ctx context.Context, state State, base *Snapshot) (*Snapshot, error) {
	if base == nil {
		base = new(Snapshot)
	}
	replaced, err := r.loadBuckets(ctx, state, base)
	if err != nil {
		return nil, err
	}
	next, err := base.Replace(state.head.Revision, replaced)
	if err != nil {
		return nil, err
	}
	if next.revision > 0 && next.Hash() != state.head.Hash {
		return nil, ErrCorrupt
	}
	return next, nil
}

// loadBuckets reads the buckets that base lacks, some at a time.
func (r *Repository) loadBuckets(ctx context.Context, state State, base *Snapshot) (map[int][]Record, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadParallel)
	var mu sync.Mutex
	replaced := make(map[int][]Record)
	for i, ref := range state.head.Buckets {
		if ref.Hash == base.buckets[i].hash {
			continue
		}
		group.Go(func() error {
			records, err := r.loadBucket(ctx, ref)
			mu.Lock()
			defer mu.Unlock()
			replaced[i] = records
			return err
		})
	}
	return replaced, group.Wait()
}

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

// Watch follows the head from a state on. The channel is closed when the watch is cut.
func (r *Repository) Watch(ctx context.Context, from State) (<-chan store.Object, error) {
	return r.store.Watch(ctx, r.HeadKey(), from.version)
}

// NewNonce returns a random name for a writer's attempt.
func NewNonce() string { return rand.Text() }
