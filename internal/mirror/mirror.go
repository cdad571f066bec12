// Package mirror keeps a copy of the objects below one prefix of the platform's
// store, by a list and then polls, through outages and lost history.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

const (
	// callMargin is how much longer than its wait a poll may take.
	callMargin = 700 * time.Millisecond
	// listTimeout bounds a list.
	listTimeout = 1500 * time.Millisecond
	// minPause and maxPause bound the pause after a call that failed.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// Sink takes what a mirror learns. Its methods are called by one goroutine at a time.
type Sink interface {
	// Replace takes the whole content, after a list.
	Replace(objects []store.Object)
	// Apply takes changes in order.
	Apply(objects []store.Object)
	// Confirm says that what was handed over was complete at an instant, which
	// lies before the store's answer.
	Confirm(at bootclock.Instant)
	// Interrupted says that the store can't be reached; Confirm ends that.
	Interrupted()
}

// Options configures a Mirror.
type Options struct {
	Store  store.Poller
	Prefix string
	Sink   Sink
	// Wait is how long the store may hold a poll.
	Wait time.Duration
	// Gather is the pause after changes, so that changes which come close together
	// take one poll.
	Gather time.Duration
	Log    zerolog.Logger
}

// Mirror follows one prefix.
type Mirror struct {
	options Options
	pause   time.Duration
	version int64
	listed  bool
	lost    bool
}

// New returns a mirror that has not read anything.
func New(options Options) *Mirror { return &Mirror{options: options, pause: minPause} }

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.failed(ctx, err)
			continue
		}
		m.succeeded()
	}
}

// step makes one call.
func (m *Mirror) step(ctx context.Context) error {
	if !m.listed {
		return m.list(ctx)
	}
	err := m.poll(ctx)
	if errors.Is(err, store.ErrCompacted) {
		m.options.Log.Info().Str("prefix", m.options.Prefix).Int64("version", m.version).
			Msg("mirror: history is gone, reading all objects again")
		m.listed = false
		return nil
	}
	return err
}

func (m *Mirror) list(ctx context.Context) error {
	asked := bootclock.Now()
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, version, err := m.options.Store.List(callCtx, m.options.Prefix)
	if err != nil {
		return fault.Wrap(err, "list", m.options.Prefix)
	}
	m.options.Sink.Replace(objects)
	m.options.Sink.Confirm(asked)
	m.version, m.listed = version, true
	return nil
}

func (m *Mirror) poll(ctx context.Context) error {
	asked := bootclock.Now()
	callCtx, cancel := context.WithTimeout(ctx, m.options.Wait+callMargin)
	defer cancel()
	changes, err := m.options.Store.Poll(callCtx, m.options.Prefix, m.version, m.options.Wait)
	if err != nil {
		return fault.Wrap(err, "poll", m.options.Prefix)
	}
	if len(changes.Objects) > 0 {
		m.options.Sink.Apply(changes.Objects)
	}
	m.options.Sink.Confirm(asked)
	m.version = max(m.version, changes.Version)
	if len(changes.Objects) > 0 {
		_ = pause.For(ctx, m.options.Gather)
	}
	return nil
}

// failed logs the first failure of a series and pauses.
func (m *Mirror) failed(ctx context.Context, err error) {
	if !m.lost {
		m.lost = true
		m.options.Log.Warn().Err(err).Str("prefix", m.options.Prefix).Msg("mirror: store lost")
	}
	m.options.Sink.Interrupted()
	_ = pause.For(ctx, m.pause/2+rand.N(m.pause/2))
	m.pause = min(2*m.pause, maxPause)
}

func (m *Mirror) succeeded() {
	m.pause = minPause
	if m.lost {
		m.lost = false
		m.options.Log.Info().Str("prefix", m.options.Prefix).Int64("version", m.version).Msg("mirror: store regained")
	}
}
