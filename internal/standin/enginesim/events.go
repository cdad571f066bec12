package enginesim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/pause"
)

// eventLogLength is the number of events kept for readers that come back.
const eventLogLength = 1 << 15

type loggedEvent struct {
	event   engine.CacheEvent
	release time.Time
}

// eventLog delivers cache events late, in order, and without those that are lost.
type eventLog struct {
	options     Options
	incarnation uint64

	mu       sync.Mutex
	random   *rand.Rand
	sequence uint64
	gap      int
	events   []loggedEvent
	changed  chan struct{}
}

func newEventLog(options Options, incarnation uint64) *eventLog {
	return &eventLog{
		options:     options,
		incarnation: incarnation,
		random:      rand.New(rand.NewPCG(options.Seed, incarnation)),
		changed:     make(chan struct{}),
	}
}

// add logs one event, unless it is lost.
func (l *eventLog) add(kind engine.CacheEventKind, salt uint64, hashes []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	if l.lose() {
		return
	}
	release := time.Now().Add(l.delay())
	if n := len(l.events); n > 0 && release.Before(l.events[n-1].release) {
		release = l.events[n-1].release
	}
	l.events = append(l.events, loggedEvent{release: release, event: engine.CacheEvent{
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

// lose decides about the next event; l.mu is held.
func (l *eventLog) lose() bool {
	if l.gap == 0 && l.options.EventGapMax > 0 {
		meanGap := float64(l.options.EventGapMax+1) / 2
		if l.random.Float64() < l.options.EventLoss/meanGap {
			l.gap = 1 + l.random.IntN(l.options.EventGapMax)
		}
	}
	if l.gap == 0 {
		return false
	}
	l.gap--
	return true
}

func (l *eventLog) delay() time.Duration {
	spread := int64(l.options.EventDelayMax - l.options.EventDelayMin)
	if spread <= 0 {
		return l.options.EventDelayMin
	}
	return l.options.EventDelayMin + time.Duration(l.random.Int64N(spread))
}

// next blocks until events after a sequence number are released and returns them.
func (l *eventLog) next(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	for {
		ready, wait, changed := l.ready(after)
		if len(ready) > 0 {
			return ready, nil
		}
		if err := waitFor(ctx, wait, changed); err != nil {
			return nil, err
		}
	}
}

// ready returns the released events, or how long until the first one is, 0 when there is none.
func (l *eventLog) ready(after uint64) ([]engine.CacheEvent, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	first := len(l.events)
	for first > 0 && l.events[first-1].event.Sequence > after {
		first--
	}
	var ready []engine.CacheEvent
	for _, logged := range l.events[first:] {
		if logged.release.After(now) {
			return ready, logged.release.Sub(now), l.changed
		}
		ready = append(ready, logged.event)
	}
	return ready, 0, l.changed
}

// waitFor blocks until the wait is over, when it is not 0, or changed is closed.
func waitFor(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
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
