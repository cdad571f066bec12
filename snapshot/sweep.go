package snapshot

import (
	"context"
	"strconv"
	"strings"

	"github.com/greengagegate/greengagegate/store"
)

const (
	// sweepIntervalRevisions is the number of revisions from one sweep to the next.
	sweepIntervalRevisions = 64
	// maxSweepDeletions is the largest number of objects that one sweep deletes.
	maxSweepDeletions = 128
)

// sweep deletes orphaned buckets: those of writers that stopped before they wrote
// the head, and those that an earlier deletion failed to remove. It does so at
// every sweepIntervalRevisions-th revision.
//
// A bucket is orphaned if its key has a revision up to that of the head and
// the head does not retain it. No head that refers to it can be written any
// more: each write is conditional on the previous head, and a writer keeps only
// references of the head that it replaces. Buckets of later revisions may belong
// to active writers and are kept. Errors are ignored; the objects are left for the next sweep.
func (r *Repository) sweep(ctx context.Context, h head) {
	if h.Revision%sweepIntervalRevisions != 0 {
		return
	}
	objects, _, err := r.store.List(ctx, r.prefix+bucketPrefix)
	if err != nil {
		return
	}
	retained := h.retainedKeys()
	deleted := 0
	for _, object := range objects {
		revision, ok := r.bucketRevision(object)
		if !ok || revision > h.Revision || retained[object.Key] {
			continue
		}
		if deleted == maxSweepDeletions {
			return
		}
		_ = r.store.Delete(ctx, object.Key, object.Version)
		deleted++
	}
}

// retainedKeys returns the keys of the buckets that the head refers to and of the replaced
// buckets that readers of recent revisions may still load.
func (h head) retainedKeys() map[string]bool {
	keys := make(map[string]bool)
	for _, ref := range h.Buckets {
		keys[ref.Object] = true
	}
	for _, entry := range h.History {
		for _, key := range entry.ReplacedBuckets {
			keys[key] = true
		}
	}
	return keys
}

// bucketRevision returns the revision that a bucket was written for, and false
// if the object's key has no revision.
func (r *Repository) bucketRevision(object store.Object) (uint64, bool) {
	name := strings.TrimPrefix(object.Key, r.prefix+bucketPrefix)
	digits, _, hasSeparator := strings.Cut(name, "-")
	revision, err := strconv.ParseUint(digits, 10, 64)
	return revision, hasSeparator && err == nil
}
