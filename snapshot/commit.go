package snapshot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
)

// Commit publishes next on top of the state that it was made from. base is the
// snapshot of that state, and next has the following revision.
//
// nil says that the head now names next. ErrMoved and store.ErrUnavailable say
// that nothing was changed and never will be by this call. ErrUnknown says that
// the outcome could not be settled before ctx ended. A lost answer is settled
// by reading the head for the nonce; only while the head still has the version
// that the write was conditional on is that same write repeated, so at most one
// of the two can take effect.
//
// ready, when not nil, is called once the buckets are stored, right before the
// head is written; its error ends the commit with nothing changed, and is returned.
func (r *Repository) Commit(ctx context.Context, from State, base, next *Snapshot, entry Entry, ready func() error) (State, error) {
	if next.revision != from.head.Revision+1 {
		return State{}, fmt.Errorf("revision %d does not follow %d", next.revision, from.head.Revision)
	}
	to := from.head
	to.Revision = next.revision
	to.Hash = next.Hash()
	if err := r.writeBuckets(ctx, &to, base, next, &entry); err != nil {
		r.discard(ctx, from.head, to)
		return State{}, notChanged(err)
	}
	describe(&entry, base.Diff(next))
	entry.Revision = next.revision
	to.History = extend(entry, from.head.History)
	version, err := r.replaceHead(ctx, from.version, to, entry, ready)
	switch {
	case err == nil:
		r.collect(ctx, to)
		r.sweep(ctx, to)
	case !errors.Is(err, ErrUnknown):
		r.discard(ctx, from.head, to)
	}
	return State{head: to, version: version}, err
}

// replaceHead writes the head once the caller is ready.
func (r *Repository) replaceHead(ctx context.Context, expected int64, to head, entry Entry, ready func() error) (int64, error) {
	value, err := json.Marshal(to)
	if err != nil {
		return 0, err
	}
	if ready != nil {
		if err := ready(); err != nil {
			return 0, err
		}
	}
	return r.putHead(ctx, value, expected, entry)
}

// extend returns the history with the entry in front. Entries whose replaced
// buckets have been collected do not name them any more.
func extend(entry Entry, history []Entry) []Entry {
	extended := append([]Entry{entry}, history...)
	if len(extended) > HistoryLimit {
		extended = extended[:HistoryLimit]
	}
	for i := range extended {
		if extended[i].Revision+retainRevisions < entry.Revision {
			extended[i].Dropped = nil
		}
	}
	return extended
}

// discard deletes the buckets that were written for a head which is not in
// force and never will be. Failures leave objects behind.
func (r *Repository) discard(ctx context.Context, from, to head) {
	for i, ref := range to.Buckets {
		if ref.Object != "" && ref.Object != from.Buckets[i].Object {
			r.remove(ctx, ref.Object)
		}
	}
}

// remove deletes an object if it can.
func (r *Repository) remove(ctx context.Context, name string) {
	object, err := r.store.Get(ctx, name)
	if err != nil {
		return
	}
	_ = r.store.Delete(ctx, name, object.Version)
}

// notChanged maps a failure before the head was written: no outcome is in doubt.
func notChanged(err error) error {
	if errors.Is(err, ErrTooLarge) {
		return err
	}
	return fmt.Errorf("%w: write buckets: %w", store.ErrUnavailable, err)
}

// describe fills the names of the changed records.
func describe(entry *Entry, changes []Change) {
	entry.ChangedCount = len(changes)
	for i, change := range changes {
		if i == changedLimit {
			break
		}
		entry.Changed = append(entry.Changed, change.Key)
	}
}

// writeBuckets stores the buckets in which next differs from base under names
// of their own, so that no other writer refers to them.
func (r *Repository) writeBuckets(ctx context.Context, to *head, base, next *Snapshot, entry *Entry) error {
	for i := range next.buckets {
		if next.buckets[i].hash == base.buckets[i].hash {
			continue
		}
		if former := to.Buckets[i].Object; former != "" {
			entry.Dropped = append(entry.Dropped, former)
		}
		ref, err := r.writeBucket(ctx, next.revision, entry.Nonce, next.buckets[i])
		if err != nil {
			return err
		}
		to.Buckets[i] = ref
	}
	return nil
}

func (r *Repository) writeBucket(ctx context.Context, revision uint64, nonce string, b bucket) (BucketRef, error) {
	if len(b.records) == 0 {
		return BucketRef{}, nil
	}
	value, err := json.Marshal(b.records)
	if err != nil {
		return BucketRef{}, err
	}
	if len(value) > store.MaxValueBytes {
		return BucketRef{}, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(value))
	}
	name := fmt.Sprintf("%s%s%d-%s/%s", r.prefix, bucketPrefix, revision, nonce, b.hash)
	_, err = r.store.Put(ctx, name, value, store.VersionAbsent)
	if errors.Is(err, store.ErrUnknownOutcome) {
		_, err = r.store.Put(ctx, name, value, store.VersionAbsent)
	}
	if errors.Is(err, store.ErrConflict) {
		err = nil
	}
	return BucketRef{Object: name, Hash: b.hash}, err
}

// putHead writes the head conditionally and settles a lost answer. A conflict is
// settled in the same way, since a driver may have repeated the write.
func (r *Repository) putHead(ctx context.Context, value []byte, expected int64, entry Entry) (int64, error) {
	inDoubt := false
	for {
		version, err := r.store.Put(ctx, r.HeadKey(), value, expected)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, store.ErrUnavailable) && !inDoubt:
			return 0, err
		}
		inDoubt = true
		version, settled, err := r.settle(ctx, expected, entry)
		if settled {
			return version, err
		}
	}
}

// settle reads the head until it is known whether the write with the nonce took
// effect. It returns unsettled when the head still has the expected version.
func (r *Repository) settle(ctx context.Context, expected int64, entry Entry) (version int64, settled bool, err error) {
	for {
		state, err := r.Head(ctx)
		switch {
		case err == nil && state.Find(entry.Nonce) != nil:
			return state.version, true, nil
		case err == nil && state.version == expected:
			return 0, false, nil
		case err == nil && forgotten(state, entry.Revision):
			return 0, true, ErrUnknown
		case err == nil:
			return 0, true, ErrHeadChanged
		}
		if pause.For(ctx, settleInterval) != nil {
			// The cause is not wrapped: it must not read as a refusal.
			return 0, true, fmt.Errorf("%w: %v", ErrUnknown, err)
		}
	}
}

// forgotten reports that so many publications followed that the history has
// lost the one of the given revision.
func forgotten(state State, revision uint64) bool {
	history := state.head.History
	return len(history) > 0 && history[len(history)-1].Revision > revision
}

// collect deletes the buckets that were replaced some revisions ago. No head
// refers to them any more, and none will again, since writers only keep the
// references of the head that they replace. Failures leave an object behind.
func (r *Repository) collect(ctx context.Context, h head) {
	if h.Revision <= retainRevisions {
		return
	}
	for _, entry := range h.History {
		if entry.Revision != h.Revision-retainRevisions {
			continue
		}
		for _, name := range entry.Dropped {
			r.remove(ctx, name)
		}
	}
}
