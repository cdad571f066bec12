// Package invariant checks the program's invariants at run time. In production a
// violation is counted and logged and the program continues; in tests it panics too.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
)

// Violation is the value with which a violated invariant panics in tests. Code that recovers
// from panics must pass it on.
type Violation struct{ Name, Detail string }

// Error implements error.
func (v Violation) Error() string { return "invariant " + v.Name + " violated: " + v.Detail }

var logger atomic.Pointer[zerolog.Logger]

// SetLogger sets the logger for violations. Without one they are only counted.
// Programs call it once at startup.
func SetLogger(log zerolog.Logger) {
	logger.Store(&log)
}

// Check reports a violation of the named invariant when ok is false. It
// formats the detail only then, so that checks on frequent paths cost little.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	reportViolation(name, fmt.Sprintf(format, args...))
}

// Violations returns the number of violations of the named invariant in this process.
func Violations(name string) int64 {
	return metrics.Counter("invariant.violations", "name", name).Count()
}

func reportViolation(name, detail string) {
	metrics.Counter("invariant.violations", "name", name).Inc(1)
	if log := logger.Load(); log != nil {
		log.Error().Str("invariant", name).Str("detail", detail).Msg("invariant: violated")
	}
	if testing.Testing() {
		panic(Violation{Name: name, Detail: detail})
	}
}
