// Package kvstore stands in for the store that engines copy cache blocks to and
// from: a bounded set of blocks behind a bandwidth that all engines share.
package kvstore

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/pause"
)

// Options describes the store.
type Options struct {
	// Blocks is the number of blocks held; the least recently used go first.
	Blocks int
	// BlockTokens is the size of a block.
	BlockTokens int
	// TokensPerSecond is the bandwidth of all transfers together.
	TokensPerSecond float64
	// Latency passes before the first block of a transfer.
	Latency time.Duration
}

// Counts holds the number of blocks moved so far.
type Counts struct {
	Imported int64 `json:"imported_blocks"`
	Exported int64 `json:"exported_blocks"`
	Evicted  int64 `json:"evicted_blocks"`
}

// Manager is the store. It is safe for concurrent use.
type Manager struct {
	options Options

	mu     sync.Mutex
	blocks map[uint64]*list.Element
	recent *list.List // of uint64, most recent first
	free   time.Time  // when the bandwidth is free again
	counts Counts
}

// New returns an empty store.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		blocks:  make(map[uint64]*list.Element),
		recent:  list.New(),
	}
}

// Counts returns the number of blocks moved so far.
func (m *Manager) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Stored returns how many leading blocks of hashes are held.
func (m *Manager) Stored(hashes []uint64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leading(hashes)
}

// Import copies the leading blocks that are held. It blocks for the transfer and
// returns the number of blocks, 0 when ctx ended before.
func (m *Manager) Import(ctx context.Context, hashes []uint64) (int, error) {
	m.mu.Lock()
	held := m.leading(hashes)
	for _, hash := range hashes[:held] {
		m.recent.MoveToFront(m.blocks[hash])
	}
	wait := m.reserve(held)
	m.mu.Unlock()
	if err := pause.For(ctx, wait); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Imported += int64(held)
	return held, nil
}

// Export stores the blocks that are not held yet. It blocks for the transfer.
func (m *Manager) Export(ctx context.Context, hashes []uint64) error {
	m.mu.Lock()
	var missing int
	for _, hash := range hashes {
		if _, held := m.blocks[hash]; !held {
			missing++
		}
	}
	wait := m.reserve(missing)
	m.mu.Unlock()
	if err := pause.For(ctx, wait); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Exported += int64(missing)
	for _, hash := range hashes {
		m.insert(hash)
	}
	return nil
}

// leading counts the leading blocks held; m.mu is held.
func (m *Manager) leading(hashes []uint64) int {
	for i, hash := range hashes {
		if _, held := m.blocks[hash]; !held {
			return i
		}
	}
	return len(hashes)
}

// reserve books bandwidth and returns how long the transfer takes; m.mu is held.
func (m *Manager) reserve(blocks int) time.Duration {
	if blocks == 0 {
		return 0
	}
	now := time.Now()
	if m.free.Before(now) {
		m.free = now
	}
	tokens := float64(blocks * m.options.BlockTokens)
	m.free = m.free.Add(time.Duration(tokens / m.options.TokensPerSecond * float64(time.Second)))
	return m.free.Sub(now) + m.options.Latency
}

// insert adds a block or marks it as used; m.mu is held.
func (m *Manager) insert(hash uint64) {
	if element, held := m.blocks[hash]; held {
		m.recent.MoveToFront(element)
		return
	}
	m.blocks[hash] = m.recent.PushFront(hash)
	for m.recent.Len() > m.options.Blocks {
		oldest := m.recent.Back()
		m.recent.Remove(oldest)
		delete(m.blocks, oldest.Value.(uint64))
		m.counts.Evicted++
	}
}
