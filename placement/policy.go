package placement

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Upstream is one engine that a request may be placed on.
type Upstream struct {
	Name string
	// ID is the precomputed hash of Name, see UpstreamID.
	ID uint64
	// Delay is the round trip from the asker.
	Delay time.Duration
}

// UpstreamID returns the value that an upstream takes part in rendezvous hashing with.
func UpstreamID(name string) uint64 { return xxhash.Sum64String(name) }

// Request is a prompt to place.
type Request struct {
	Customer string
	// Hashes is the chain of the prompt's blocks, see Chain.
	Hashes       []uint64
	PromptTokens int64
	MaxTokens    int64
}

// Answer is what an upstream said when it was asked, corrected by what the
// asker itself has seen of it.
type Answer struct {
	// Upstream is the position in the slice given to the policy.
	Upstream int
	// Answered is false when no answer came in time.
	Answered bool
	// Unavailable says that the upstream cannot serve the request now.
	Unavailable      bool
	Incarnation      uint64
	CachedTokens     int64
	ImportableTokens int64
	// PrefillRate and ImportRate are in tokens a second.
	PrefillRate float64
	ImportRate  float64
	// Wait is the expected time before work on the request starts.
	Wait time.Duration
	// Penalty is added by the asker for an upstream that did worse than it said.
	Penalty time.Duration
	Running int
}

// Choice is one upstream to send a request to.
type Choice struct {
	Upstream     int
	Incarnation  uint64
	CachedTokens int64
	// Import says that copying blocks from the KV store is expected to pay.
	Import bool
	// Expected is the expected time to the first token.
	Expected time.Duration
}

// Prober asks upstreams.
type Prober interface {
	// Probe asks the first width upstreams of order in parallel, and later ones in
	// place of those that stay silent. It blocks for a bounded time and returns
	// one answer for each upstream that it asked.
	Probe(ctx context.Context, request Request, order []int, width int) []Answer
}

// Policy chooses upstreams for requests. It is safe for concurrent use.
type Policy interface {
	// Choose returns upstreams in the order in which they should be tried, none
	// when no upstream can serve. It blocks while it asks.
	Choose(ctx context.Context, upstreams []Upstream, request Request, prober Prober) []Choice
}
