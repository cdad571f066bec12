// Package pause provides a sleep that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// For blocks until d has passed or ctx ends. It returns nil in the first case and the
// error of ctx in the second. When d is not positive, it returns the error of ctx at
// once.
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
