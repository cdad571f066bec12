// Package client sends a plan's requests to the routers as callers do, and
// records what each was told.
package client

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	healthInterval = 200 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// balancer stands for the platform's: it sends no new request to a router that
// says it is not ready.
type balancer struct {
	callers []string
	admin   []string
	ready   []atomic.Bool
	http    *http.Client
}

func newBalancer(callers, admin []string) *balancer {
	b := &balancer{
		callers: callers,
		admin:   admin,
		ready:   make([]atomic.Bool, len(callers)),
		http:    &http.Client{Timeout: healthTimeout},
	}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// run follows the routers' readiness until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		for i := range b.admin {
			b.ready[i].Store(b.check(ctx, b.admin[i]))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) check(ctx context.Context, address string) bool {
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

// pick returns a router's address: the preferred one, or the next that is ready.
// skip leaves out that many, for connections that were refused.
func (b *balancer) pick(preferred, skip int) string {
	for i := range b.callers {
		index := (preferred + i) % len(b.callers)
		if !b.ready[index].Load() {
			continue
		}
		if skip == 0 {
			return b.callers[index]
		}
		skip--
	}
	return b.callers[(preferred+skip)%len(b.callers)]
}
