// Package enginesim is a stand-in for a model engine. It simulates continuous batching
// with one prefill at a time, a block cache with eviction, cache events that are delayed
// and have gaps, and load reports that are out of date.
package enginesim

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/standin/kvstore"
)

// Options configures one engine.
type Options struct {
	// Name identifies the engine in statistics.
	Name string
	// Address is the IP address and port that the engine listens on.
	Address string
	// Weights names the weights that the engine loads at each start.
	Weights string
	// Seed and the incarnation number seed the random generator that chooses the delays
	// of cache events and which events are lost. The incarnation number depends on the
	// time of creation, so the choices differ between processes with the same seed.
	Seed uint64

	// BlockTokens is the size of a cache block in tokens.
	BlockTokens int
	// CacheBlocks is the capacity of the cache in blocks.
	CacheBlocks int
	// IdleEviction is how long a block stays in the cache after its last use.
	IdleEviction time.Duration

	// BatchLimit is the maximum number of runs in the batch, MaxWaiting the maximum
	// number of runs that wait for it.
	BatchLimit  int
	MaxWaiting  int
	PrefillRate float64 // tokens per second
	// A decode step takes DecodeBase, and in addition DecodePerStream for each run that
	// decodes.
	DecodeBase      time.Duration
	DecodePerStream time.Duration

	// The delay of a cache event is between EventDelayMin and EventDelayMax.
	EventDelayMin time.Duration
	EventDelayMax time.Duration
	// EventLoss is the fraction of cache events that are lost, in gaps of up to
	// EventGapMax events.
	EventLoss   float64
	EventGapMax int

	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// Restart is how long the engine refuses connections after a crash.
	Restart time.Duration
	// ChecksFence is true if the engine refuses orders with a lower fencing token than
	// that of an earlier order.
	ChecksFence bool
	// PoisonMarker is a text that crashes the engine when it occurs in a prompt. A decimal
	// number directly after the marker is the number of tokens that the engine generates
	// before it crashes; without a number it crashes before the first token. Empty
	// disables the marker.
	PoisonMarker string

	// CacheStore is the cache store; nil for none.
	CacheStore *kvstore.Store
	// WeightStore determines how long loads of weights take; with nil, weights load
	// immediately.
	WeightStore *WeightStore
}
