package store

import (
	"context"
	"errors"
	"sync"
)

// A store may be restored from an older copy of itself. Changes that it has acknowledged
// are lost then, and its revisions fall and are given out again. Each restore begins a new
// era. A version therefore consists of the era and of the revision within the era, so
// that versions rise across eras and are never equal in two of them.

// revisionBits is the number of low bits of a version that hold the revision.
const revisionBits = 40

// MaxEra and MaxRevision are the largest numbers that a version can hold.
const (
	MaxEra      int64 = 1<<(63-revisionBits) - 1
	MaxRevision int64 = 1<<revisionBits - 1
)

// MakeVersion returns the version that stands for a revision of an era. In era 0, which
// stands for a store without eras, versions equal revisions.
func MakeVersion(era, revision int64) int64 { return era<<revisionBits | revision }

// EraOf returns the era of a version.
func EraOf(version int64) int64 { return version >> revisionBits }

// RevisionOf returns the revision of a version within its era.
func RevisionOf(version int64) int64 { return version & MaxRevision }

// ErrEraEnded means that the store was restored while a call was under way, or that the
// response belongs to an era which has ended. Drivers join it with the error for what is
// known of the call: ErrUnavailable for a read, ErrUnknownOutcome for a write that was
// sent. Such a write may have met its condition only because the store has given out the
// expected revision again.
var ErrEraEnded = errors.New("the store was restored from an older copy")

// EraSource is implemented by drivers of stores that can be restored from an older copy.
type EraSource interface {
	// Era returns the highest era that a response has stated, or 0 if none has.
	Era() int64
}

// CurrentEra returns the era of a store, or 0 if its driver reports none.
func CurrentEra(s any) int64 {
	if source, ok := s.(EraSource); ok {
		return source.Era()
	}
	return 0
}

// EraTracker keeps the highest era that the responses of a store have stated. Drivers use
// it to implement EraSource. The zero value is ready for use. It is safe for concurrent
// use.
type EraTracker struct {
	mu      sync.Mutex
	era     int64
	changed chan struct{} // closed when the era rises; nil before the first Changed
}

// Era implements EraSource.
func (t *EraTracker) Era() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Observe records the era that a response states. current is false if a later era is
// known, so that the response must be dropped. rose is true if the era is later than all
// others so far.
func (t *EraTracker) Observe(era int64) (current, rose bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return era == t.era, false
	}
	t.era = era
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	return true, true
}

// UntilChange returns a context that ends with ctx or when the era rises above the given
// one. The caller must call cancel.
func (t *EraTracker) UntilChange(ctx context.Context, era int64) (derived context.Context, cancel context.CancelFunc) {
	derived, cancel = context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.era > era {
		cancel()
		return derived, cancel
	}
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	changed := t.changed
	go func() {
		select {
		case <-changed:
			cancel()
		case <-derived.Done():
		}
	}()
	return derived, cancel
}
