package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/greengagegate/greengagegate/internal/contain"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

// loadProbeTimeout bounds the wait for the loads of upstreams, since the request waits for them.
// An upstream that answers later is chosen by what is known of it.
const loadProbeTimeout = 15 * time.Millisecond

// LoadProber asks upstreams for their load. The response passes through Notices.Apply.
type LoadProber interface {
	// ProbeLoad blocks until the upstream has answered or ctx ends. path is that of its health
	// check.
	ProbeLoad(ctx context.Context, upstream *catalog.Upstream, path string) error
}

// probeLoads asks the upstreams that the choice names for their loads, and reports whether one
// answered, so that the choice should be made again.
func (j *job) probeLoads(ctx context.Context, choice *balancer.Choice) bool {
	if len(choice.ToProbe) == 0 || j.pool.HealthPath == "" || len(j.attempts) > 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
	defer cancel()
	answered := make([]bool, len(choice.ToProbe))
	var probes sync.WaitGroup
	for i, upstream := range choice.ToProbe {
		if !j.gateway.Balancer.MayCall(upstream.ID) {
			continue
		}
		probes.Go(func() {
			defer contain.Panics(j.gateway.Log, "gateway", upstream.ID)
			answered[i] = j.gateway.LoadProber.ProbeLoad(ctx, upstream, j.pool.HealthPath) == nil
		})
	}
	probes.Wait()
	anyAnswered := false
	for _, ok := range answered {
		result := "no-answer"
		if ok {
			result, anyAnswered = "answered", true
		}
		metrics.Counter("gateway.load_probes", "result", result).Inc(1)
	}
	return anyAnswered
}
