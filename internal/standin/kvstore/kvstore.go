// Package kvstore is a stand-in for the cache store, which engines copy cache blocks to
// and from. It holds a bounded set of blocks; all transfers share one bandwidth.
package kvstore

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/pause"
)

// Options configures a Store.
type Options struct {
	// Blocks is the capacity in blocks. A full store evicts the least recently used block.
	Blocks int
	// BlockTokens is the size of a block in tokens.
	BlockTokens int
	// TokensPerSecond is the bandwidth that all transfers share.
	TokensPerSecond float64
	// Latency is added to the duration of each transfer.
	Latency time.Duration
}

// Counts holds the numbers of blocks imported from, exported to and evicted from the
// store.
type Counts struct {
	Imported int64 `json:"imported_blocks"`
	Exported int64 `json:"exported_blocks"`
	Evicted  int64 `json:"evicted_blocks"`
}

// Store is the cache store. It is safe for concurrent use.
type Store struct {
	options Options

	mu     sync.Mutex
	blocks map[uint64]*list.Element
	lru    *list.List // of uint64, most recently used first
	// bandwidthFreeAt is when all reserved transfers are finished. A transfer whose ctx
	// ends keeps its reservation.
	bandwidthFreeAt time.Time
	counts          Counts
}

// New returns an empty store.
func New(options Options) *Store {
	return &Store{
		options: options,
		blocks:  make(map[uint64]*list.Element),
		lru:     list.New(),
	}
}

// Counts returns the numbers of blocks moved and evicted so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// CountStored returns the number of leading blocks of hashes that the store holds.
func (s *Store) CountStored(hashes []uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countLeading(hashes)
}

// Import copies the leading blocks of hashes that the store holds to an engine. It
// blocks for the duration of the transfer and returns the number of blocks copied. If
// ctx ends first, it returns 0 and the error of ctx.
func (s *Store) Import(ctx context.Context, hashes []uint64) (int, error) {
	s.mu.Lock()
	count := s.countLeading(hashes)
	for _, hash := range hashes[:count] {
		s.lru.MoveToFront(s.blocks[hash])
	}
	wait := s.reserveBandwidth(count)
	s.mu.Unlock()
	if err := pause.For(ctx, wait); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Imported += int64(count)
	return count, nil
}

// Export adds the blocks that the store does not hold yet and marks all of hashes as
// used. It blocks for the duration of the transfer. If ctx ends first, it adds nothing
// and returns the error of ctx.
func (s *Store) Export(ctx context.Context, hashes []uint64) error {
	s.mu.Lock()
	var missing int
	for _, hash := range hashes {
		if _, held := s.blocks[hash]; !held {
			missing++
		}
	}
	wait := s.reserveBandwidth(missing)
	s.mu.Unlock()
	if err := pause.For(ctx, wait); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Exported += int64(missing)
	for _, hash := range hashes {
		s.insert(hash)
	}
	return nil
}

// countLeading returns the number of leading blocks of hashes that the store holds.
// It must be called with s.mu held.
func (s *Store) countLeading(hashes []uint64) int {
	for i, hash := range hashes {
		if _, held := s.blocks[hash]; !held {
			return i
		}
	}
	return len(hashes)
}

// reserveBandwidth queues a transfer behind the earlier ones and returns the time until
// it is finished, 0 for no blocks. It must be called with s.mu held.
func (s *Store) reserveBandwidth(blockCount int) time.Duration {
	if blockCount == 0 {
		return 0
	}
	now := time.Now()
	if s.bandwidthFreeAt.Before(now) {
		s.bandwidthFreeAt = now
	}
	tokens := float64(blockCount * s.options.BlockTokens)
	s.bandwidthFreeAt = s.bandwidthFreeAt.Add(time.Duration(tokens / s.options.TokensPerSecond * float64(time.Second)))
	return s.bandwidthFreeAt.Sub(now) + s.options.Latency
}

// insert adds a block or marks it as used, and evicts the least recently used blocks
// above the capacity. It must be called with s.mu held.
func (s *Store) insert(hash uint64) {
	if element, held := s.blocks[hash]; held {
		s.lru.MoveToFront(element)
		return
	}
	s.blocks[hash] = s.lru.PushFront(hash)
	for s.lru.Len() > s.options.Blocks {
		oldest := s.lru.Back()
		s.lru.Remove(oldest)
		delete(s.blocks, oldest.Value.(uint64))
		s.counts.Evicted++
	}
}
