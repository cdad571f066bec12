// Package placement defines how the upstream of a prompt is chosen, and holds
// the parts that the policies in its subfolders share: hash chains over the
// blocks of a prompt, rendezvous hashing and a model of the time to first token.
//
// The aim is the earliest first token. Policy prefix probes a few candidates for
// each prompt, so that the number of probes does not grow with the number of
// upstreams. The other policies are baselines to compare it with.
package placement

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Upstream is an engine that a request may be placed on.
type Upstream struct {
	Name string
	// ID is the hash of Name that UpstreamID returns.
	ID uint64
	// RoundTrip is the network round-trip time between the prober and the upstream.
	RoundTrip time.Duration
}

// UpstreamID returns the hash of an upstream's name for use in rendezvous hashing.
func UpstreamID(name string) uint64 { return xxhash.Sum64String(name) }

// Request is a prompt to place.
type Request struct {
	Customer string
	// Hashes is the hash chain of the prompt's blocks, as returned by Chain.
	Hashes       []uint64
	PromptTokens int64
	MaxTokens    int64
}

// ProbeResult is the outcome of a probe: the upstream's reply, and a penalty from
// the prober's own observations of the upstream.
type ProbeResult struct {
	// UpstreamIndex is the upstream's index in the slice given to the policy.
	UpstreamIndex int
	// Answered is false if no reply arrived in time.
	Answered bool
	// Unavailable is true if the upstream cannot serve the request now or the
	// prober has excluded it for a time.
	Unavailable bool
	Incarnation uint64
	// CachedTokens is the number of leading prompt tokens in the engine's cache.
	CachedTokens int64
	// ImportableTokens is the number of prompt tokens that follow the cached ones
	// and can be copied from the cache store.
	ImportableTokens int64
	// PrefillRate and ImportRate are in tokens per second.
	PrefillRate float64
	ImportRate  float64
	// QueueDelay is the expected time before the upstream starts on the request.
	QueueDelay time.Duration
	// Penalty is the time that the prober adds for an upstream whose first tokens
	// have come later than the upstream's replies led to expect.
	Penalty time.Duration
	// RunningRequests is the number of requests that run on the upstream.
	RunningRequests int
}

// Choice is an upstream selected for a request.
type Choice struct {
	// UpstreamIndex is the upstream's index in the slice given to the policy.
	UpstreamIndex int
	Incarnation   uint64
	CachedTokens  int64
	// Import is true if copying blocks from the cache store is expected to give an
	// earlier first token than computing them.
	Import bool
	// ExpectedTTFT is the expected time to first token.
	ExpectedTTFT time.Duration
}

// Prober sends probes to upstreams.
type Prober interface {
	// Probe sends probes to the first width upstreams of order in parallel, and to
	// later ones to replace upstreams that do not answer or are unavailable. It
	// blocks for a bounded time and returns at most one result for each upstream
	// that it probed. Entries of order are indices into the policy's slice.
	Probe(ctx context.Context, request Request, order []int, width int) []ProbeResult
}

// Policy chooses upstreams for requests. It is safe for concurrent use.
type Policy interface {
	// Choose returns upstreams in the order in which they should be tried. The
	// result is empty if no upstream can serve the request. It blocks while probes
	// are pending.
	Choose(ctx context.Context, upstreams []Upstream, request Request, prober Prober) []Choice
}
