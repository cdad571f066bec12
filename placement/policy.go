// Package placement defines how the upstream of a prompt is chosen, and holds
// the code that the policies in its subfolders share: hash chains over the
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

// UpstreamID returns the hash of a name for use in rendezvous hashing: of an
// upstream's name as its ID, or of a customer's name as a key.
func UpstreamID(name string) uint64 { return xxhash.Sum64String(name) }

// Request is a prompt to place.
type Request struct {
	Customer string
	// Hashes is the hash chain of the prompt's blocks, as returned by BlockHashes.
	Hashes       []uint64
	PromptTokens int64
	MaxTokens    int64
}

// ProbeResult is the outcome of a probe: the upstream's reply, and a penalty from
// the prober's own observations of the upstream.
type ProbeResult struct {
	// UpstreamIndex is the upstream's index in the slice passed to Policy.Choose.
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
	// Penalty is the time to add to QueueDelay for an upstream whose recent first
	// tokens have been late, as the prober observed. It is 0 for other upstreams.
	Penalty time.Duration
	// RunningRequests is the number of requests that run on the upstream.
	RunningRequests int
}

// Choice is an upstream selected for a request.
type Choice struct {
	// UpstreamIndex is the upstream's index in the slice passed to Policy.Choose.
	UpstreamIndex int
	// Incarnation and CachedTokens are those of the probe result, or 0 if the policy
	// sends no probes.
	Incarnation  uint64
	CachedTokens int64
	// Import is true if copying blocks from the cache store is expected to give an
	// earlier first token than computing them.
	Import bool
	// ExpectedTTFT is the expected time to first token. Policies that send no probes
	// set it to 0, and policy leastloaded sets it to the queue delay.
	ExpectedTTFT time.Duration
}

// Prober sends probes to upstreams.
type Prober interface {
	// Probe sends probes to the first width upstreams of order, or to all of them if
	// order is shorter, in parallel. It probes later upstreams of order to replace
	// those that are unavailable or do not answer, and may probe some if replies are
	// late. It blocks for a bounded time and returns at most one result for each
	// upstream that it probed; an upstream that has not answered yet may have none.
	// Entries of order are indices into the slice passed to Policy.Choose.
	Probe(ctx context.Context, request Request, order []int, width int) []ProbeResult
}

// Policy chooses upstreams for requests. It is safe for concurrent use.
type Policy interface {
	// Choose returns upstreams in the order in which they should be tried. The
	// result is empty if no upstream can serve the request. It blocks while probes
	// are pending.
	Choose(ctx context.Context, upstreams []Upstream, request Request, prober Prober) []Choice
}
