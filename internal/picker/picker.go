// Package picker chooses the upstreams for a router's prompt requests. It probes
// agents over the inner protocol and ranks the upstreams by a placement policy.
//
// Each prompt causes a few probes, so the router keeps one open stream to each
// agent and sends all probes to the agent on it. The upstreams that may take new
// work are computed only when the configuration or the membership table changes.
package picker

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/greengagegate/greengagegate/placement"
	"github.com/greengagegate/greengagegate/placement/hash"
	"github.com/greengagegate/greengagegate/placement/leastloaded"
	"github.com/greengagegate/greengagegate/placement/prefix"
	"github.com/greengagegate/greengagegate/placement/probeall"
	"github.com/greengagegate/greengagegate/placement/random"
)

// Names of the placement policies in settings and metrics.
const (
	PolicyRandom      = "random"
	PolicyLeastLoaded = "least-loaded"
	PolicyHash        = "hash"
	PolicyProbeAll    = "probe-all"
	PolicyPrefix      = "prefix"
)

// ErrNoUpstream reports that no upstream can serve the request. The request has
// not run.
var ErrNoUpstream = errors.New("no upstream can serve the request")

// Prompt is a request to place.
type Prompt struct {
	RequestID string
	Customer  string
	Model     string
	Version   *object.ModelVersion
	// Hashes is the hash chain of the prompt's blocks, see placement.BlockHashes.
	Hashes       []uint64
	PromptTokens int64
	MaxTokens    int64
}

// Candidate is an upstream to try.
type Candidate struct {
	Upstream    *object.Upstream
	Incarnation uint64
	// CachedTokens is the number of prompt tokens that the agent expects to be in
	// the engine's cache.
	CachedTokens int64
	// Import is true if the agent should copy blocks from the cache store.
	Import bool
	// ExpectedTTFT is the placement policy's Choice.ExpectedTTFT: the expected time to
	// the first token, or less with policies that do not estimate it.
	ExpectedTTFT time.Duration
}

// Picker chooses upstreams. It is safe for concurrent use.
type Picker interface {
	// Versions returns all versions of a model in a pool, in the order in which
	// requests of a customer should try them. The result is empty if no version is
	// published.
	Versions(set *object.Set, model, pool, customer string) []*object.ModelVersion
	// Pick returns the upstreams to try, best first. It blocks for a bounded time
	// while it probes agents. The error wraps ErrNoUpstream if no upstream can
	// serve the request.
	Pick(ctx context.Context, set *object.Set, p Prompt) ([]Candidate, error)
	// Report records the outcome of a request that the router sent to an upstream.
	Report(upstream string, outcome Outcome)
}

// Options holds the dependencies and settings of a picker.
type Options struct {
	// Policy is the name of a placement policy.
	Policy string
	// Import permits copying blocks from the cache store.
	Import bool
	// HomeBlocks is the number of leading blocks whose hash selects a prompt's home
	// upstreams; 0 means the default.
	HomeBlocks int
	// Pool holds the sessions to agents.
	Pool *wire.Pool
	// Zone is the router's own zone.
	Zone string
	// ZoneRoundTrip is the round-trip time to another zone.
	ZoneRoundTrip time.Duration
	// View is the membership table. It is read only for the upstreams that are
	// leaving. If it is nil, only the configuration states which are leaving.
	View membership.View
	// ProbeTimeout limits the wait for replies to probes; 0 means DefaultProbeTimeout.
	ProbeTimeout time.Duration
	// HedgeAfter is the time after which probing ends if a usable reply has arrived,
	// and further upstreams are probed if none has; 0 means DefaultHedgeAfter.
	HedgeAfter time.Duration
}

// Manager is the Picker of a router.
type Manager struct {
	options         Options
	policy          placement.Policy
	outcomes        *outcomeTracker
	loadedWeights   *loadedWeights
	streams         *probeStreams
	eligible        atomic.Pointer[eligibleUpstreams]
	observePickTime func(time.Duration)
}

// New returns a Manager. It returns an error if the policy is unknown.
func New(options Options) (*Manager, error) {
	policy, err := newPolicy(options)
	if err != nil {
		return nil, err
	}
	if options.ProbeTimeout <= 0 {
		options.ProbeTimeout = DefaultProbeTimeout
	}
	if options.HedgeAfter <= 0 {
		options.HedgeAfter = DefaultHedgeAfter
	}
	histogram := metrics.Histogram("router.pick_us", "policy", options.Policy)
	return &Manager{
		options:         options,
		policy:          policy,
		outcomes:        newOutcomeTracker(),
		loadedWeights:   newLoadedWeights(),
		streams:         newProbeStreams(options.Pool),
		observePickTime: func(d time.Duration) { histogram.Update(d.Microseconds()) },
	}, nil
}

func newPolicy(options Options) (placement.Policy, error) {
	prefixOptions := prefix.DefaultOptions()
	prefixOptions.CostModel.AllowImport = options.Import
	if options.HomeBlocks > 0 {
		prefixOptions.HomeBlocks = options.HomeBlocks
	}
	switch options.Policy {
	case PolicyRandom:
		return random.New(), nil
	case PolicyLeastLoaded:
		return leastloaded.New(), nil
	case PolicyHash:
		return hash.New(prefixOptions.HomeBlocks), nil
	case PolicyProbeAll:
		return probeall.New(prefixOptions.CostModel), nil
	case PolicyPrefix:
		return prefix.New(prefixOptions), nil
	default:
		return nil, fault.New(fmt.Sprintf("unknown policy %q", options.Policy), "set up placement", "")
	}
}

// Pick implements Picker.
func (m *Manager) Pick(ctx context.Context, set *object.Set, p Prompt) ([]Candidate, error) {
	start := time.Now()
	defer func() { m.observePickTime(time.Since(start)) }()
	pool := m.poolFor(set, p.Version.Pool)
	request := placement.Request{
		Customer:     p.Customer,
		Hashes:       p.Hashes,
		PromptTokens: p.PromptTokens,
		MaxTokens:    p.MaxTokens,
	}
	prober := &agentProber{manager: m, pool: pool, prompt: p}
	choices := m.policy.Choose(ctx, pool.upstreams, request, prober)
	if len(choices) == 0 {
		return nil, fault.Wrap(ErrNoUpstream, "place", p.Version.Pool)
	}
	candidates := make([]Candidate, len(choices))
	for i, choice := range choices {
		candidates[i] = Candidate{
			Upstream:     pool.configured[choice.UpstreamIndex],
			Incarnation:  choice.Incarnation,
			CachedTokens: choice.CachedTokens,
			Import:       choice.Import && m.options.Import,
			ExpectedTTFT: choice.ExpectedTTFT,
		}
	}
	return candidates, nil
}

// Report implements Picker.
func (m *Manager) Report(upstream string, outcome Outcome) {
	m.outcomes.report(upstream, outcome)
}
