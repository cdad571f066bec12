// Package contain keeps a panic in the work for one request, peer or background task from
// ending the process. Each panic is logged with its stack and counted in the metric
// contain.panics.
package contain

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/greengagegate/greengagegate/internal/invariant"
	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/rs/zerolog"
)

// restartPause is the pause before a task that has panicked starts again.
const restartPause = 500 * time.Millisecond

// Panics must be deferred directly. It ends a panic of the function that defers it, except
// that of a violated invariant, which occurs in tests only. part names the part of the
// program, id the request, peer or task.
func Panics(log zerolog.Logger, part, id string) {
	cause := recover()
	if cause == nil {
		return
	}
	if violation, ok := cause.(invariant.Violation); ok {
		panic(violation)
	}
	metrics.Counter("contain.panics", "part", part).Inc(1)
	log.Error().Str("part", part).Str("id", id).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).
		Msg("contain: panic; the work it happened in has ended, everything else continues")
}

// Loop calls run until ctx ends. It calls run again after a panic, and returns when run
// returns.
func Loop(ctx context.Context, log zerolog.Logger, part, id string, run func(ctx context.Context)) {
	for !finishes(ctx, log, part, id, run) && pause.For(ctx, restartPause) == nil {
		log.Warn().Str("part", part).Str("id", id).Msg("contain: starting the task again after a panic")
	}
}

// finishes calls run and reports whether it returned without a panic.
func finishes(ctx context.Context, log zerolog.Logger, part, id string, run func(ctx context.Context)) (finished bool) {
	defer Panics(log, part, id)
	run(ctx)
	return true
}
