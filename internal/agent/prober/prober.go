// Package prober answers the probes of routers: what serving a prompt would cost on
// the agent's engine.
package prober

import (
	"context"
	"slices"
	"sync"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/placement"
)

var probesAnswered = metrics.Counter("agent.probes")

// Status is the agent's current view of its engine.
type Status struct {
	// Serving is false while the engine is unreachable or has not sent a report yet.
	Serving  bool
	Draining bool
	// Weights are the names of the weights that the engine has finished loading.
	Weights     []string
	Incarnation uint64
	// BlockTokens is the size of a cache block in tokens, 0 when unknown.
	BlockTokens int64
	// PrefillRate is the engine's speed of computing prompts in tokens per second.
	PrefillRate float64
	// Revision is the revision of the configuration in force at the agent.
	Revision uint64
}

// StatusSource returns the current status.
type StatusSource interface {
	Status() Status
}

// Transfers estimates what the cache store could add to the engine's cache.
type Transfers interface {
	// RecordProbe records that a router sent a probe for a prompt.
	RecordProbe(hashes []uint64)
	// ImportableBlocks returns how many leading blocks of hashes the cache store
	// holds, the cached ones included, and the rate, in tokens per second, at which
	// the blocks after the cached ones would be copied. Both are 0 if an import is
	// not possible or not worthwhile, or if the store does not answer in time. salt
	// is the placement.ChainRoot that the hashes start from, and cached is the
	// number of leading blocks in the engine's cache. It blocks for at most 8 ms.
	ImportableBlocks(ctx context.Context, salt uint64, hashes []uint64, cached int) (blocks int, rate float64)
}

// Options are the dependencies of a Prober.
type Options struct {
	Index  *cacheindex.Index
	Queue  *fairqueue.Queue
	Status StatusSource
	// Transfers is nil without a cache store.
	Transfers Transfers
}

// Prober answers probes.
type Prober struct {
	options Options

	mu       sync.Mutex
	streams  map[*wire.Stream]struct{}
	draining bool
}

// New returns a Prober.
func New(options Options) *Prober {
	return &Prober{options: options, streams: make(map[*wire.Stream]struct{})}
}

// Handle serves a stream of wirepb.KIND_PROBE until the router closes it or Drain is
// called. Probes of one stream are answered concurrently, so replies may come in
// another order. Each carries the sequence number of its probe.
func (p *Prober) Handle(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	if !p.add(stream) {
		return
	}
	defer p.remove(stream)
	var sendMu sync.Mutex
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		request := new(wirepb.ProbeRequest)
		if err := stream.Recv(request); err != nil {
			return
		}
		pending.Go(func() {
			reply := p.Answer(ctx, request)
			sendMu.Lock()
			defer sendMu.Unlock()
			_ = stream.Send(reply)
		})
	}
}

// Drain closes all probe streams and refuses new ones, so that a graceful stop need
// not wait for routers to close them.
func (p *Prober) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	for stream := range p.streams {
		_ = stream.Close()
	}
}

// add registers a stream and reports whether it may be served; after Drain it may not.
func (p *Prober) add(stream *wire.Stream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return false
	}
	p.streams[stream] = struct{}{}
	return true
}

func (p *Prober) remove(stream *wire.Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streams, stream)
}

// Answer returns the reply to a probe.
func (p *Prober) Answer(ctx context.Context, request *wirepb.ProbeRequest) *wirepb.ProbeReply {
	probesAnswered.Inc(1)
	status := p.options.Status.Status()
	reply := &wirepb.ProbeReply{
		Incarnation:    status.Incarnation,
		Draining:       status.Draining,
		ConfigRevision: status.Revision,
		LoadedWeights:  status.Weights,
		Sequence:       request.Sequence,
	}
	if !status.Serving || !slices.Contains(status.Weights, request.Weights) {
		reply.Unavailable = true
		return reply
	}
	cached := p.cachedBlocks(request.BlockHashes, status.Incarnation)
	reply.CachedTokens = min(int64(cached)*status.BlockTokens, request.PromptTokens)
	p.addBacklog(reply, request)
	p.addImport(ctx, reply, request, cached, status)
	return reply
}

// cachedBlocks returns how many leading blocks the given incarnation of the engine holds.
func (p *Prober) cachedBlocks(hashes []uint64, incarnation uint64) int {
	blocks, indexIncarnation := p.options.Index.CachedPrefix(hashes)
	if indexIncarnation != incarnation {
		return 0
	}
	return blocks
}

// addBacklog fills in the state of the queue.
func (p *Prober) addBacklog(reply *wirepb.ProbeReply, request *wirepb.ProbeRequest) {
	backlog := p.options.Queue.Backlog(request.Customer, 0, request.PromptTokens-reply.CachedTokens)
	reply.QueuedTokens = backlog.Tokens
	reply.Running = int32(backlog.Running)
	reply.Queued = int32(backlog.Queued)
	reply.QueueFull = backlog.Full
	reply.ExpectedWaitUs = backlog.Wait.Microseconds()
	reply.PrefillTokensPerSecond = backlog.Rate
}

// addImport records the probe, for the choice of blocks to export, and fills in
// what an import from the cache store would add.
func (p *Prober) addImport(ctx context.Context, reply *wirepb.ProbeReply, request *wirepb.ProbeRequest, cached int, status Status) {
	if p.options.Transfers == nil {
		return
	}
	p.options.Transfers.RecordProbe(request.BlockHashes)
	if cached >= len(request.BlockHashes) {
		return
	}
	salt := placement.ChainRoot(request.Customer, request.Model, request.Weights)
	stored, rate := p.options.Transfers.ImportableBlocks(ctx, salt, request.BlockHashes, cached)
	if stored <= cached {
		return
	}
	reply.ImportableTokens = int64(stored-cached) * status.BlockTokens
	reply.ImportTokensPerSecond = rate
}
