package snapshot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/greengagegate/greengagegate/internal/pause"
	"github.com/greengagegate/greengagegate/store"
)

// Commit publishes next on top of current, the state that next was made from.
// base is the snapshot of current, and next must have the revision after it.
// The caller sets the entry's Nonce, Author, Note and At; Commit sets the rest.
// Commit blocks until the outcome is known or cannot be found out any more.
//
// A nil error means that the write of the head took effect. After a lost answer,
// a later publication may already have replaced that head. ErrHeadChanged,
// ErrTooLarge and store.ErrUnavailable mean that this call changed nothing and
// never will. ErrUnknownOutcome means that ctx ended before the outcome was known,
// or that the head's history no longer reaches back to the revision.
//
// If the store's answer to the write of the head is lost, Commit looks for the
// nonce in the head's history. It repeats the write only while the head still
// has the version that the first write was conditional on, so at most one of
// the two writes takes effect.
//
// The returned State has the head that Commit wrote. If an answer was lost, its
// version may be that of a later head. Therefore it must not be the current of
// another Commit; the head must be read again first.
//
// preCommit, if not nil, is called after the buckets are stored and immediately
// before the head is written. If it fails, nothing is changed and Commit
// returns its error.
func (r *Repository) Commit(ctx context.Context, current State, base, next *Snapshot, entry Entry, preCommit func() error) (State, error) {
	if next.revision != current.head.Revision+1 {
		return State{}, fmt.Errorf("revision %d does not follow %d", next.revision, current.head.Revision)
	}
	newHead := current.head
	newHead.Revision = next.revision
	newHead.Hash = next.Hash()
	if err := r.writeBuckets(ctx, &newHead, base, next, &entry); err != nil {
		r.deleteNewBuckets(ctx, current.head, newHead)
		return State{}, wrapBucketError(err)
	}
	setChangedRecords(&entry, base.Diff(next))
	entry.Revision = next.revision
	newHead.History = prependEntry(entry, current.head.History)
	version, err := r.replaceHead(ctx, current.version, newHead, entry, preCommit)
	switch {
	case err == nil:
		r.deleteExpiredBuckets(ctx, newHead)
		r.sweep(ctx, newHead)
	case !errors.Is(err, ErrUnknownOutcome):
		r.deleteNewBuckets(ctx, current.head, newHead)
	}
	return State{head: newHead, version: version}, err
}

// replaceHead calls preCommit, if not nil, and then writes the head if its
// version is still expected. It returns the head's new version, or an error of
// preCommit, of encoding the head or of putHead.
func (r *Repository) replaceHead(ctx context.Context, expected int64, newHead head, entry Entry, preCommit func() error) (int64, error) {
	value, err := json.Marshal(newHead)
	if err != nil {
		return 0, err
	}
	if preCommit != nil {
		if err := preCommit(); err != nil {
			return 0, err
		}
	}
	return r.putHead(ctx, value, expected, entry)
}

// prependEntry returns a copy of the history with the entry in front, cut to
// HistoryLimit entries. It clears ReplacedBuckets of entries whose replaced
// buckets have been deleted.
func prependEntry(entry Entry, history []Entry) []Entry {
	extended := append([]Entry{entry}, history...)
	if len(extended) > HistoryLimit {
		extended = extended[:HistoryLimit]
	}
	for i := range extended {
		if extended[i].Revision+retainedRevisions < entry.Revision {
			extended[i].ReplacedBuckets = nil
		}
	}
	return extended
}

// deleteNewBuckets deletes the buckets that newHead refers to and oldHead does
// not. It must be called only if it is certain that newHead was not and will not be
// written. Errors are ignored; a bucket that could not be deleted is left for sweep.
func (r *Repository) deleteNewBuckets(ctx context.Context, oldHead, newHead head) {
	for i, ref := range newHead.Buckets {
		if ref.Object != "" && ref.Object != oldHead.Buckets[i].Object {
			r.tryDelete(ctx, ref.Object)
		}
	}
}

// tryDelete deletes the object with the given key. Errors are ignored.
func (r *Repository) tryDelete(ctx context.Context, key string) {
	object, err := r.store.Get(ctx, key)
	if err != nil {
		return
	}
	_ = r.store.Delete(ctx, key, object.Version)
}

// wrapBucketError returns the error of Commit for a failure to write the
// buckets. Except for ErrTooLarge it wraps store.ErrUnavailable: the head was
// not written yet, so it is certain that nothing was changed.
func wrapBucketError(err error) error {
	if errors.Is(err, ErrTooLarge) {
		return err
	}
	return fmt.Errorf("%w: write buckets: %w", store.ErrUnavailable, err)
}

// setChangedRecords sets the entry's number of changed records and the keys
// of the first maxChangedKeys of them.
func setChangedRecords(entry *Entry, changes []Change) {
	entry.ChangedCount = len(changes)
	for i, change := range changes {
		if i == maxChangedKeys {
			break
		}
		entry.Changed = append(entry.Changed, change.Key)
	}
}

// writeBuckets stores each bucket in which next differs from base and sets its
// reference in newHead. It adds the buckets that are replaced to the entry. The
// keys of the new buckets contain the entry's nonce, so no other writer refers
// to them.
func (r *Repository) writeBuckets(ctx context.Context, newHead *head, base, next *Snapshot, entry *Entry) error {
	for i := range next.buckets {
		if next.buckets[i].hash == base.buckets[i].hash {
			continue
		}
		if replacedKey := newHead.Buckets[i].Object; replacedKey != "" {
			entry.ReplacedBuckets = append(entry.ReplacedBuckets, replacedKey)
		}
		ref, err := r.writeBucket(ctx, next.revision, entry.Nonce, next.buckets[i])
		if err != nil {
			return err
		}
		newHead.Buckets[i] = ref
	}
	return nil
}

// writeBucket stores one bucket and returns its reference, which is the zero
// reference for an empty bucket. A conflict means that an earlier write with
// the same nonce stored the bucket: its answer was lost, or the store's driver
// repeated the write.
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
	key := fmt.Sprintf("%s%s%d-%s/%s", r.prefix, bucketPrefix, revision, nonce, b.hash)
	_, err = r.store.Put(ctx, key, value, store.VersionAbsent)
	if errors.Is(err, store.ErrUnknownOutcome) {
		_, err = r.store.Put(ctx, key, value, store.VersionAbsent)
	}
	if errors.Is(err, store.ErrConflict) {
		err = nil
	}
	return BucketRef{Object: key, Hash: b.hash}, err
}

// putHead writes the head if its version equals expected and returns the new
// version. After a lost answer it reads the head to find out whether the write
// took effect. It does the same after a conflict, because a driver may have
// repeated a write whose answer was lost, and the repeated write conflicted with
// the first. It returns ErrHeadChanged, ErrUnknownOutcome or store.ErrUnavailable.
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
		version, resolved, err := r.resolveWrite(ctx, expected, entry)
		if resolved {
			return version, err
		}
	}
}

// resolveWrite reads the head until it is known whether the write with the
// entry's nonce took effect, or until ctx ends. resolved is false if the head
// still has the expected version; the write may then be repeated. Otherwise the
// result is the head's version, or ErrHeadChanged or ErrUnknownOutcome.
func (r *Repository) resolveWrite(ctx context.Context, expected int64, entry Entry) (version int64, resolved bool, err error) {
	for {
		state, err := r.Head(ctx)
		switch {
		case err == nil && state.Find(entry.Nonce) != nil:
			return state.version, true, nil
		case err == nil && state.version == expected:
			return 0, false, nil
		case err == nil && isOutsideHistory(state, entry.Revision):
			return 0, true, ErrUnknownOutcome
		case err == nil:
			return 0, true, ErrHeadChanged
		}
		if pause.For(ctx, headPollInterval) != nil {
			// The cause is not wrapped: callers would take store.ErrUnavailable
			// as proof that nothing was changed.
			return 0, true, fmt.Errorf("%w: %v", ErrUnknownOutcome, err)
		}
	}
}

// isOutsideHistory reports whether the history no longer reaches back to the
// given revision because too many publications followed it.
func isOutsideHistory(state State, revision uint64) bool {
	history := state.head.History
	return len(history) > 0 && history[len(history)-1].Revision > revision
}

// deleteExpiredBuckets deletes the buckets that were replaced retainedRevisions
// ago. No head refers to them and none will again, because a writer keeps only
// references of the head that it replaces. Errors are ignored; a bucket that
// could not be deleted is left for sweep.
func (r *Repository) deleteExpiredBuckets(ctx context.Context, h head) {
	if h.Revision <= retainedRevisions {
		return
	}
	for _, entry := range h.History {
		if entry.Revision != h.Revision-retainedRevisions {
			continue
		}
		for _, key := range entry.ReplacedBuckets {
			r.tryDelete(ctx, key)
		}
	}
}
