// Package invariant asserts, inside the running program, what must always
// hold. A broken invariant is counted and logged in production; in tests it panics.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
)

var logger atomic.Pointer[zerolog.Logger]

// SetLogger directs reports to log. Programs call it once at start.
func SetLogger(log zerolog.Logger) {
	logger.Store(&log)
}

// Check reports a violation of the named invariant when ok is false. The detail
// is formatted only then.
func Check(ok bool, name, detail string, args ...any) {
	if ok {
		return
	}
	report(name, fmt.Sprintf(detail, args...))
}

// Violations returns how often the named invariant was broken in this process.
func Violations(name string) int64 {
	return metrics.Counter("invariant.violations", "name", name).Count()
}

func report(name, detail string) {
	metrics.Counter("invariant.violations", "name", name).Inc(1)
	if log := logger.Load(); log != nil {
		log.Error().Str("invariant", name).Str("detail", detail).Msg("invariant: violated")
	}
	if testing.Testing() {
		panic("invariant " + name + " violated: " + detail)
	}
}
