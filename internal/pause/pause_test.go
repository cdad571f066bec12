package pause_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/pause"
)

func TestForWaitsForDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		if err := pause.For(ctx, 2*time.Second); err != nil || time.Since(start) != 2*time.Second {
			t.Fatalf("got %v after %v, want nil after 2s", err, time.Since(start))
		}
		err := pause.For(ctx, 2*time.Second)
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != 3*time.Second {
			t.Fatalf("got %v after %v, want context.DeadlineExceeded after 3s", err, time.Since(start))
		}
		if err := pause.For(ctx, 0); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got %v for an expired context, want context.DeadlineExceeded", err)
		}
	})
}
