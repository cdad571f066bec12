// Package client generates the load of a measured run: it sends the prompts and
// charges of a plan to the routers at their scheduled times, as callers do, and
// records the outcome that each request reports. Each request runs in its own
// goroutine, so that a slow answer does not delay later arrivals.
package client

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	readinessInterval = 200 * time.Millisecond
	readinessTimeout  = 500 * time.Millisecond
)

// balancer imitates the platform's load balancer: it sends no new request to a
// router whose last readiness check failed.
type balancer struct {
	callerAddresses []string
	adminAddresses  []string
	ready           []atomic.Bool
	http            *http.Client
}

// newBalancer returns a balancer that treats all routers as ready until the
// first check. Both lists name the routers in the same order.
func newBalancer(callerAddresses, adminAddresses []string) *balancer {
	b := &balancer{
		callerAddresses: callerAddresses,
		adminAddresses:  adminAddresses,
		ready:           make([]atomic.Bool, len(callerAddresses)),
		http:            &http.Client{Timeout: readinessTimeout},
	}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// pollReadiness checks the readiness of all routers at each interval until ctx ends.
func (b *balancer) pollReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		for i := range b.adminAddresses {
			b.ready[i].Store(b.isReady(ctx, b.adminAddresses[i]))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// isReady reports whether the router with this admin address answers 200 at /readyz.
func (b *balancer) isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pickAddress returns the caller address of the first ready router, counting from
// the preferred position. It passes over the first skip ready routers; callers set
// skip to the number of routers to which no connection could be made. If at most skip
// routers are ready, it subtracts their number from skip and returns the router that
// many positions after preferred, ready or not.
func (b *balancer) pickAddress(preferred, skip int) string {
	for i := range b.callerAddresses {
		index := (preferred + i) % len(b.callerAddresses)
		if !b.ready[index].Load() {
			continue
		}
		if skip == 0 {
			return b.callerAddresses[index]
		}
		skip--
	}
	return b.callerAddresses[(preferred+skip)%len(b.callerAddresses)]
}
