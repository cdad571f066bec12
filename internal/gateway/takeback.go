package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/balancer"
	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// A request may wait at an engine until the engine's weights are too old for it to begin. It is taken
// back before that. One that may run again is then sent to another engine. One that may not gets no
// answer, and the caller learns that it may have run: an answer on weights that the operator has
// declared out of date would be worse.

const (
	// takeBackMargin is how long before the weights of an upstream become too old a request
	// that has not begun there is taken back. It covers the time until the upstream
	// notices.
	takeBackMargin = 300 * time.Millisecond
	// takeBackInterval is the longest time between two looks at the limit of a waiting request,
	// which changes when a version or its age becomes known.
	takeBackInterval = 500 * time.Millisecond
)

// errTakenBack is the cause of the end of a send that had not begun in time.
var errTakenBack = errors.New("the request did not begin before the upstream's weights became too old")

// takeBack ends a send that has not begun at its limit. It is safe for concurrent use.
type takeBack struct {
	// limit returns when the request must have begun, as far as is known now; ok is false if there
	// is no limit yet.
	limit func() (at bootclock.Instant, ok bool)
	end   func()

	mu    sync.Mutex
	timer *time.Timer
	// stopped is true once the send has begun, ended or was taken back.
	stopped bool
}

// watch takes the send back if its limit has come, and looks again later otherwise.
func (t *takeBack) watch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	now := bootclock.Now()
	next := now.Add(takeBackInterval)
	if at, ok := t.limit(); ok {
		if !now.Before(at) {
			t.stopped = true
			t.end()
			return
		}
		next = min(next, at)
	}
	t.timer = time.AfterFunc(next.Sub(now), t.watch)
}

// stop ends the watch. If the send was taken back, its context has been cancelled when stop returns.
func (t *takeBack) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// watchBegin starts the watch over a send whose begin can be observed. Of other responses than
// streams, nothing tells when the upstream began.
func (j *job) watchBegin(s *send) {
	if j.pool.Engine == nil || j.route.Kind != catalog.Stream {
		return
	}
	s.takeBack = &takeBack{
		limit: func() (bootclock.Instant, bool) { return j.beginLimit(s.choice) },
		end:   func() { s.cancel(errTakenBack) },
	}
	s.takeBack.watch()
}

// beginLimit returns when the request must have begun at the chosen upstream, because the
// upstream's weights become too old then. ok is false if no newer weights are known.
func (j *job) beginLimit(choice *balancer.Choice) (limit bootclock.Instant, ok bool) {
	target := j.gateway.Catalog.TargetVersion(j.call.Model)
	return target.OutdatedAt(choice.Version, j.gateway.Bounds.StalenessLimit-takeBackMargin)
}
