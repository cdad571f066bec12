// Package prober answers routers' questions about what serving a prompt would
// cost on the engine beside the agent.
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

var answered = metrics.Counter("agent.probes")

// Status is the agent's present view of its engine.
type Status struct {
	// Serving is false while the engine is down, cold or held for another reason.
	Serving  bool
	Draining bool
	// Weights are the versions that the engine has finished loading.
	Weights     []string
	Incarnation uint64
	BlockTokens int64
	PrefillRate float64
	Revision    uint64
}

// StatusSource gives the present status.
type StatusSource interface {
	Status() Status
}

// Transfers tells what the KV store could add to a cache.
type Transfers interface {
	// Wanted says that a router asked about a prompt.
	Wanted(hashes []uint64)
	// Importable returns how many leading blocks of hashes the KV store holds, 0
	// when unknown, and the speed at which those after the cached ones would come,
	// in tokens a second. It blocks briefly.
	Importable(ctx context.Context, salt uint64, hashes []uint64, cached int) (blocks int, rate float64)
}

// Options are a Prober's parts.
type Options struct {
	Index  *cacheindex.Index
	Queue  *fairqueue.Queue
	Status StatusSource
	// Transfers is nil without a KV store.
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

// Handle serves a stream of wirepb.KIND_PROBE until the router closes it or
// Drain is called. Probes are answered side by side.
func (p *Prober) Handle(ctx context.Context, _ wire.Request, stream *wire.Stream) {
	if !p.add(stream) {
		return
	}
	defer p.remove(stream)
	var sending sync.Mutex
	var answers sync.WaitGroup
	defer answers.Wait()
	for {
		request := new(wirepb.ProbeRequest)
		if err := stream.Recv(request); err != nil {
			return
		}
		answers.Go(func() {
			reply := p.Answer(ctx, request)
			sending.Lock()
			defer sending.Unlock()
			_ = stream.Send(reply)
		})
	}
}

// Drain closes the streams of probes, so that a stop need not wait for them, and
// takes no more.
func (p *Prober) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	for stream := range p.streams {
		_ = stream.Close()
	}
}

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
	answered.Inc(1)
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

// cachedBlocks counts leading blocks that the present engine process holds.
func (p *Prober) cachedBlocks(hashes []uint64, incarnation uint64) int {
	blocks, holder := p.options.Index.Cached(hashes)
	if holder != incarnation {
		return 0
	}
	return blocks
}

func (p *Prober) addBacklog(reply *wirepb.ProbeReply, request *wirepb.ProbeRequest) {
	backlog := p.options.Queue.Backlog(request.Customer, 0, request.PromptTokens-reply.CachedTokens)
	reply.QueuedTokens = backlog.Tokens
	reply.Running = int32(backlog.Running)
	reply.Queued = int32(backlog.Queued)
	reply.QueueFull = backlog.Full
	reply.ExpectedWaitUs = backlog.Wait.Microseconds()
	reply.PrefillTokensPerSecond = backlog.Rate
}

func (p *Prober) addImport(ctx context.Context, reply *wirepb.ProbeReply, request *wirepb.ProbeRequest, cached int, status Status) {
	if p.options.Transfers == nil {
		return
	}
	p.options.Transfers.Wanted(request.BlockHashes)
	if cached >= len(request.BlockHashes) {
		return
	}
	salt := placement.Root(request.Customer, request.Model, request.Weights)
	stored, rate := p.options.Transfers.Importable(ctx, salt, request.BlockHashes, cached)
	if stored <= cached {
		return
	}
	reply.ImportableTokens = int64(stored-cached) * status.BlockTokens
	reply.ImportTokensPerSecond = rate
}
