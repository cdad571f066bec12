package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// fixture is a tracker on a simulated clock.
type fixture struct {
	*Tracker
	time    bootclock.Instant
	changes int
}

func newFixture() *fixture {
	f := &fixture{time: bootclock.Instant(time.Hour)}
	f.Tracker = New(Options{Now: func() bootclock.Instant { return f.time }})
	f.OnChange(func() { f.changes++ })
	return f
}

// state records a response to a request that was sent this long ago.
func (f *fixture) state(limited bool, perSecond float64, sentAgo time.Duration) {
	f.Record(Statement{Incarnation: incarnation(1), Limited: limited, PerSecond: perSecond}, f.time.Add(-sentAgo))
}

func (f *fixture) pass(d time.Duration) { f.time = f.time.Add(d) }

func incarnation(started int64) Incarnation {
	return Incarnation{Upstream: "a", StartedMillis: started}
}

func (f *fixture) check(t *testing.T, when string, of Incarnation, want float64) {
	t.Helper()
	got, limited := f.Limit(of)
	if got != want || limited != (want > 0) {
		t.Errorf("%s: limit %v (%v), want %v", when, got, limited, want)
	}
}

func TestLimitHoldsAsLongAsItIsStated(t *testing.T) {
	f := newFixture()
	f.state(false, 0, 0)
	f.check(t, "at first", incarnation(1), 0)
	f.state(true, 3, 0)
	f.check(t, "stated", incarnation(1), 3)
	f.check(t, "stated, start time unknown", incarnation(0), 3)
	f.check(t, "next incarnation", incarnation(2), 0)
	f.pass(100 * time.Millisecond)
	f.state(false, 0, 200*time.Millisecond)
	f.check(t, "overtaken response without a limit", incarnation(1), 3)
	f.state(true, 2, 0)
	f.check(t, "another limit", incarnation(1), 2)
	f.pass(time.Second)
	f.state(false, 0, 500*time.Millisecond)
	f.check(t, "no longer stated", incarnation(1), 0)
	if f.changes != 3 {
		t.Errorf("%d changes, want 3", f.changes)
	}
}

// Another gateway learns of the begin and the end of a limit, whatever reports are repeated
// or arrive late.
func TestReportsOfLimits(t *testing.T) {
	told, other := newFixture(), newFixture()
	told.state(true, 3, 0)
	began := told.Reports()
	other.Apply(began[0])
	other.check(t, "began", incarnation(1), 3)
	if reports := other.Reports(); len(reports) != 0 {
		t.Errorf("a gateway passes on what it was not told itself: %+v", reports)
	}
	told.pass(time.Second)
	other.pass(time.Second)
	told.state(false, 0, 0)
	ended := told.Reports()
	other.Apply(ended[0])
	other.check(t, "ended", incarnation(1), 0)
	began[0].Age = time.Second
	other.Apply(began[0])
	other.check(t, "late report of the begin", incarnation(1), 0)
	other.pass(time.Second)
	other.state(true, 5, 0)
	ended[0].Age = time.Second
	other.Apply(ended[0])
	other.check(t, "stated again", incarnation(1), 5)
	told.pass(endedRetention)
	if reports := told.Reports(); len(reports) != 0 || told.known.Load() != 0 {
		t.Errorf("an ended limit is still known: %+v", reports)
	}
}

func TestUpstreamsAreBounded(t *testing.T) {
	f := newFixture()
	for i := range 3 * maxUpstreams {
		f.Record(Statement{Incarnation: Incarnation{Upstream: fmt.Sprint(i)}, Limited: true}, f.time)
		f.pass(time.Microsecond)
	}
	if len(f.upstreams) > maxUpstreams {
		t.Errorf("%d upstreams are known, want at most %d", len(f.upstreams), maxUpstreams)
	}
	f.pass(statementTTL)
	f.Reports()
	if len(f.upstreams) > 0 {
		t.Errorf("%d upstreams are known after %v, want none", len(f.upstreams), statementTTL)
	}
}
