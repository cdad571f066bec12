// Package enginesim stands in for a model engine: continuous batching with one
// prefill at a time, a block cache that evicts, cache events that come late and
// with gaps, and load reports that lag.
package enginesim

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/standin/kvstore"
)

// Options describes one engine.
type Options struct {
	// Name identifies the engine in statistics.
	Name string
	// Address is the IP number and port that it listens on.
	Address string
	// Weights are loaded at the start.
	Weights string
	// Seed fixes which events are late and lost.
	Seed uint64

	BlockTokens int
	CacheBlocks int
	// IdleEviction is how long an unused block stays in the cache.
	IdleEviction time.Duration

	BatchLimit      int
	MaxWaiting      int
	PrefillRate     float64 // tokens a second
	DecodeBase      time.Duration
	DecodePerStream time.Duration

	EventDelayMin time.Duration
	EventDelayMax time.Duration
	// EventLoss is the share of events that are lost, in gaps of up to EventGapMax.
	EventLoss   float64
	EventGapMax int

	// LoadLag is how old load reports are.
	LoadLag time.Duration
	// Restart is how long a crashed engine refuses connections.
	Restart time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// PoisonMarker in a prompt crashes the engine that runs it, at once or after
	// the number of tokens that follows the marker.
	PoisonMarker string

	// KV is the store for cache blocks, nil when there is none.
	KV *kvstore.Manager
	// WeightStore bounds loads; nil loads at once.
	WeightStore *WeightStore
}
