package balancer

import (
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// reportValidity is how long a reported load is taken for the current one.
const reportValidity = 500 * time.Millisecond

// reportedLoad is the newest load that an upstream reported.
//
// Load pattern: a gateway that is one of many has sent an upstream few of the requests that
// run there, and its guess of what the others sent is off by the most when load is uneven.
// Reports arrive with responses, many times a second in a surge.
type reportedLoad struct {
	// inFlight is the number of requests that run or wait at the upstream.
	inFlight   int
	receivedAt bootclock.Instant
	// ownRunning is the number of requests that this gateway was running there when the
	// report arrived.
	ownRunning int
}

// ApplyLoad records the load that an incarnation reported in a response that has just
// arrived. It has no effect unless rates are learned for the pool of the upstream. A reported
// slowness enables that; enabled reports whether it did so now. The reports of upstreams that
// were never listed and of other incarnations are ignored.
func (b *Balancer) ApplyLoad(upstream *catalog.Upstream, load catalog.Load) (enabled bool) {
	if !load.Reported {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, known := b.upstreams[upstream.ID]
	if !known || s.startedMillis != upstream.StartedMillis || !s.listed {
		return false
	}
	if load.Slowness > 0 {
		enabled = b.rates.enablePool(s.pool, b.upstreams)
	}
	if s.rate == nil {
		return false
	}
	now := b.now()
	s.load = reportedLoad{inFlight: load.Running + load.Waiting, receivedAt: now, ownRunning: s.running}
	s.rate.Report(load.Waiting, load.Slowness, now)
	return enabled
}

// reportedOthers returns the number of requests of other gateways at the upstream by its last
// report, or 0 if that is too old or not used. What this gateway has begun or ended since
// does not change it.
func (s *upstreamState) reportedOthers(now bootclock.Instant) float64 {
	if s.rate == nil || now.Sub(s.load.receivedAt) >= reportValidity {
		return 0
	}
	return float64(max(0, s.load.inFlight-s.load.ownRunning))
}
