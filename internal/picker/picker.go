// Package picker chooses the upstreams for a router's prompt requests: it asks
// agents over the inner protocol and applies a placement policy.
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

// The names of the policies.
const (
	PolicyRandom      = "random"
	PolicyLeastLoaded = "least-loaded"
	PolicyHash        = "hash"
	PolicyProbeAll    = "probe-all"
	PolicyPrefix      = "prefix"
)

// ErrNoUpstream reports that no upstream can serve the request. It did not run.
var ErrNoUpstream = errors.New("no upstream can serve the request")

// Prompt is a request to place.
type Prompt struct {
	RequestID string
	Customer  string
	Model     string
	Version   *object.ModelVersion
	// Hashes is the chain of the prompt's blocks.
	Hashes       []uint64
	PromptTokens int64
	MaxTokens    int64
}

// Candidate is an upstream to try.
type Candidate struct {
	Upstream    *object.Upstream
	Incarnation uint64
	// CachedTokens is what the agent expects to find in the engine's cache.
	CachedTokens int64
	// Import says that the agent should copy blocks from the KV store.
	Import bool
	// ExpectedWait is the expected time to the first token.
	ExpectedWait time.Duration
}

// Picker chooses upstreams. It is safe for concurrent use.
type Picker interface {
	// Versions returns the versions of a model that requests of a customer may
	// use, the one to try first at the front. It is empty when none is published.
	Versions(set *object.Set, model, pool, customer string) []*object.ModelVersion
	// Pick returns the upstreams to try, best first. It blocks while it asks
	// agents, for a bounded time. ErrNoUpstream means that none can serve.
	Pick(ctx context.Context, set *object.Set, p Prompt) ([]Candidate, error)
	// Report tells what the router itself saw of an upstream.
	Report(upstream string, outcome Outcome)
}

// Options are the parts and settings of a picker.
type Options struct {
	// Policy is one of the policies' names.
	Policy string
	// Import allows copying blocks from the KV store.
	Import bool
	// HomeBlocks is the number of leading blocks by which a prompt's usual upstreams
	// are chosen; 0 takes the default.
	HomeBlocks int
	Pool       *wire.Pool
	// Zone is the router's own.
	Zone string
	// ZoneDelay is the round trip to another zone.
	ZoneDelay time.Duration
	// View may be nil; then every upstream of the configuration counts as alive.
	View membership.View
	// ProbeTimeout bounds the wait for answers to probes; 0 takes the default.
	ProbeTimeout time.Duration
	// HedgeAfter is when others are asked in place of silent upstreams; 0 takes
	// the default.
	HedgeAfter time.Duration
}

// Manager is the Picker of a router.
type Manager struct {
	options  Options
	policy   placement.Policy
	watch    *watch
	versions *versions
	lines    *lines
	fleet    atomic.Pointer[fleet]
	took     func(time.Duration)
}

// New returns a picker, or an error for an unknown policy.
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
		options:  options,
		policy:   policy,
		watch:    newWatch(),
		versions: newVersions(),
		lines:    newLines(options.Pool),
		took:     func(d time.Duration) { histogram.Update(d.Microseconds()) },
	}, nil
}

func newPolicy(options Options) (placement.Policy, error) {
	tuned := prefix.DefaultOptions()
	tuned.CostModel.AllowImport = options.Import
	if options.HomeBlocks > 0 {
		tuned.Depth = options.HomeBlocks
	}
	switch options.Policy {
	case PolicyRandom:
		return random.New(), nil
	case PolicyLeastLoaded:
		return leastloaded.New(), nil
	case PolicyHash:
		return hash.New(tuned.Depth), nil
	case PolicyProbeAll:
		return probeall.New(tuned.CostModel), nil
	case PolicyPrefix:
		return prefix.New(tuned), nil
	default:
		return nil, fault.New(fmt.Sprintf("unknown policy %q", options.Policy), "set up placement", "")
	}
}

// Pick implements Picker.
func (m *Manager) Pick(ctx context.Context, set *object.Set, p Prompt) ([]Candidate, error) {
	began := time.Now()
	defer func() { m.took(time.Since(began)) }()
	pool := m.poolFor(set, p.Version.Pool)
	request := placement.Request{
		Customer:     p.Customer,
		Hashes:       p.Hashes,
		PromptTokens: p.PromptTokens,
		MaxTokens:    p.MaxTokens,
	}
	asker := &asker{manager: m, pool: pool, prompt: p}
	choices := m.policy.Choose(ctx, pool.upstreams, request, asker)
	if len(choices) == 0 {
		return nil, fault.Wrap(ErrNoUpstream, "place", p.Version.Pool)
	}
	candidates := make([]Candidate, len(choices))
	for i, choice := range choices {
		candidates[i] = Candidate{
			Upstream:     pool.objects[choice.UpstreamIndex],
			Incarnation:  choice.Incarnation,
			CachedTokens: choice.CachedTokens,
			Import:       choice.Import && m.options.Import,
			ExpectedWait: choice.ExpectedTTFT,
		}
	}
	return candidates, nil
}

// Report implements Picker.
func (m *Manager) Report(upstream string, outcome Outcome) {
	m.watch.report(upstream, outcome)
}
