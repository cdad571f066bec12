package snapshot

import (
	"context"
	"strconv"
	"strings"

	"github.com/greengagegate/greengagegate/store"
)

const (
	// sweepInterval is the number of revisions between two sweeps.
	sweepInterval = 64
	// sweepLimit bounds the objects that one sweep deletes.
	sweepLimit = 128
)

// sweep deletes the buckets of writers that ended between writing them and the
// head. Such a bucket carries a revision that is in force already under another
// writer, so the head that would have named it can never be written: its write
// is conditional on an older head. Buckets of later revisions may belong to
// writers at work and stay, as do those that kept revisions refer to. Failures
// leave objects for the next sweep.
func (r *Repository) sweep(ctx context.Context, h head) {
	if h.Revision%sweepInterval != 0 {
		return
	}
	objects, _, err := r.store.List(ctx, r.prefix+bucketPrefix)
	if err != nil {
		return
	}
	kept := h.kept()
	deleted := 0
	for _, object := range objects {
		revision, ok := r.revisionOf(object)
		if !ok || revision > h.Revision || kept[object.Key] {
			continue
		}
		if deleted == sweepLimit {
			return
		}
		_ = r.store.Delete(ctx, object.Key, object.Version)
		deleted++
	}
}

// kept returns the names of the buckets in force and of those that readers of
// recent revisions may still load.
func (h head) kept() map[string]bool {
	kept := make(map[string]bool)
	for _, ref := range h.Buckets {
		kept[ref.Object] = true
	}
	for _, entry := range h.History {
		for _, name := range entry.Dropped {
			kept[name] = true
		}
	}
	return kept
}

// revisionOf returns the revision that a bucket was written for.
func (r *Repository) revisionOf(object store.Object) (uint64, bool) {
	name := strings.TrimPrefix(object.Key, r.prefix+bucketPrefix)
	number, _, found := strings.Cut(name, "-")
	revision, err := strconv.ParseUint(number, 10, 64)
	return revision, found && err == nil
}
