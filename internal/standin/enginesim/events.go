package enginesim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/pause"
)

// eventLogLength is the minimum number of latest events kept for clients that reconnect.
// The log drops older events when it has twice as many.
const eventLogLength = 1 << 15

// loggedEvent is an event and the time from which it is visible.
type loggedEvent struct {
	event     engine.CacheEvent
	releaseAt time.Time
}

// eventLog delivers cache events with a delay and in order. It drops some of them, so that
// the sequence numbers have gaps. It is safe for concurrent use.
type eventLog struct {
	options     Options
	incarnation uint64

	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	gapLeft  int // events still to be dropped in the current gap
	events   []loggedEvent
	changed  chan struct{} // closed and replaced when an event is added
}

func newEventLog(options Options, incarnation uint64) *eventLog {
	return &eventLog{
		options:     options,
		incarnation: incarnation,
		random:      rand.New(rand.NewPCG(options.Seed, incarnation)),
		changed:     make(chan struct{}),
	}
}

// add logs one event, unless it is dropped.
func (l *eventLog) add(kind engine.CacheEventKind, salt uint64, hashes []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	if l.dropNext() {
		return
	}
	release := time.Now().Add(l.randomDelay())
	if n := len(l.events); n > 0 && release.Before(l.events[n-1].releaseAt) {
		release = l.events[n-1].releaseAt
	}
	l.events = append(l.events, loggedEvent{releaseAt: release, event: engine.CacheEvent{
		Sequence:    l.sequence,
		Incarnation: l.incarnation,
		Kind:        kind,
		Salt:        salt,
		Hashes:      hashes,
	}})
	if len(l.events) > 2*eventLogLength {
		l.events = append([]loggedEvent(nil), l.events[eventLogLength:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// dropNext reports whether the next event is to be dropped. It drops Options.EventLoss of
// all events, in gaps of 1 to Options.EventGapMax events. It must be called with l.mu
// held.
func (l *eventLog) dropNext() bool {
	if l.gapLeft == 0 && l.options.EventGapMax > 0 {
		meanGap := float64(l.options.EventGapMax+1) / 2
		if l.random.Float64() < l.options.EventLoss/meanGap {
			l.gapLeft = 1 + l.random.IntN(l.options.EventGapMax)
		}
	}
	if l.gapLeft == 0 {
		return false
	}
	l.gapLeft--
	return true
}

// randomDelay returns the delay of the next event. It must be called with l.mu held.
func (l *eventLog) randomDelay() time.Duration {
	spread := int64(l.options.EventDelayMax - l.options.EventDelayMin)
	if spread <= 0 {
		return l.options.EventDelayMin
	}
	return l.options.EventDelayMin + time.Duration(l.random.Int64N(spread))
}

// waitEvents returns the released events with a sequence number above after. It
// blocks until there are some or ctx ends.
func (l *eventLog) waitEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	for {
		released, wait, changed := l.releasedEvents(after)
		if len(released) > 0 {
			return released, nil
		}
		if err := waitForChange(ctx, wait, changed); err != nil {
			return nil, err
		}
	}
}

// releasedEvents returns the released events with a sequence number above after, and the
// time until the next one is released, 0 if no more are logged. The channel is closed when an
// event is added.
func (l *eventLog) releasedEvents(after uint64) ([]engine.CacheEvent, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	first := len(l.events)
	for first > 0 && l.events[first-1].event.Sequence > after {
		first--
	}
	var released []engine.CacheEvent
	for _, logged := range l.events[first:] {
		if logged.releaseAt.After(now) {
			return released, logged.releaseAt.Sub(now), l.changed
		}
		released = append(released, logged.event)
	}
	return released, 0, l.changed
}

// waitForChange blocks for wait or, if wait is 0, until changed is closed. It returns the
// error of ctx if that ends first.
func waitForChange(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
	if wait == 0 {
		select {
		case <-changed:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return pause.For(ctx, wait)
}
