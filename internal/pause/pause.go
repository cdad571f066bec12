// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For blocks for d or until ctx ends. It returns nil when d has passed and the
// error of ctx when that ended first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
