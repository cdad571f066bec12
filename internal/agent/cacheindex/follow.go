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

// Follow applies the engine's events and sweeps the index until ctx ends. It
// blocks. When the event stream breaks, Follow requests it again from the last
// applied event.
func (x *Index) Follow(ctx context.Context, driver engine.Driver) {
	go x.sweepUntil(ctx)
	for ctx.Err() == nil {
		// The engine may have restarted, in which case sequence numbers start again and
		// the last applied one is from another sequence.
		if load, err := driver.Load(ctx); err == nil {
			x.SetIncarnation(load.Incarnation)
		}
		_, after := x.LastApplied()
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
