package cacheindex

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/pause"
)

const (
	reconnectDelay = 200 * time.Millisecond
	sweepInterval  = 2 * time.Second
)

// Follow applies the engine's events until ctx ends, and asks for them again
// from the last one applied when the stream breaks.
func (x *Index) Follow(ctx context.Context, driver engine.Driver) {
	go x.sweepUntil(ctx)
	for ctx.Err() == nil {
		// The engine may have restarted since, and count from one again.
		if load, err := driver.Load(ctx); err == nil {
			x.Observe(load.Incarnation)
		}
		_, after := x.Sequence()
		events, err := driver.Events(ctx, after)
		if err == nil {
			for event := range events {
				x.Apply(event)
			}
		}
		_ = pause.For(ctx, reconnectDelay)
	}
}

func (x *Index) sweepUntil(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			x.Sweep()
		}
	}
}
