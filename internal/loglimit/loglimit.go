// Package loglimit bounds the log lines that a component writes for events which others
// cause, such as requests.
package loglimit

import (
	"sync/atomic"
	"time"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/rs/zerolog"
)

// Limiter bounds the lines of one kind. It is safe for concurrent use.
type Limiter struct {
	log        zerolog.Logger
	component  string
	perSecond  int64
	second     atomic.Int64
	lines      atomic.Int64
	suppressed atomic.Int64
}

// New returns a limiter that allows perSecond lines in each second. The line that reports
// how many were left out, and their counter, are named after the component.
func New(log zerolog.Logger, component string, perSecond int64) *Limiter {
	return &Limiter{log: log, component: component, perSecond: perSecond}
}

// Reserve counts a line in the second of now and reports whether it may be written.
// In a new second it first logs how many lines were left out before.
func (l *Limiter) Reserve(now time.Time) bool {
	second := now.Unix()
	if previous := l.second.Load(); previous != second && l.second.CompareAndSwap(previous, second) {
		if suppressed := l.suppressed.Swap(0); suppressed > 0 {
			l.log.Warn().Int64("lines", suppressed).Msg(l.component + ": lines left out")
		}
		l.lines.Store(0)
	}
	if l.lines.Add(1) <= l.perSecond {
		return true
	}
	l.suppressed.Add(1)
	metrics.Counter(l.component + ".lines_left_out").Inc(1)
	return false
}
