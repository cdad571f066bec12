package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// DatedVersion is a version of a model's weights and when it became known.
type DatedVersion struct {
	Version int64
	// KnownSince is when the version became known, on this process's clock: the earliest
	// instant at which this process or, by its report, a peer learned of the version.
	KnownSince bootclock.Instant
}

// TargetVersion is the version of the weights that a model should have.
type TargetVersion struct {
	DatedVersion
	// AgeAssumed is true if the age of the version is only assumed: it was published before
	// this process started, at a time that no peer has reported yet. KnownSince is 0
	// then, so the version counts as old.
	AgeAssumed bool
	// previous holds the earlier versions that MinVersion and OutdatedAt depend on, oldest first.
	previous []DatedVersion
}

// MinVersion returns the newest version that became known at least age ago, or 0 if there is none.
// Weights older than this version have been out of date for at least that long.
func (t TargetVersion) MinVersion(now bootclock.Instant, age time.Duration) int64 {
	if t.Version > 0 && now.Sub(t.KnownSince) >= age {
		return t.Version
	}
	for i := len(t.previous) - 1; i >= 0; i-- {
		if now.Sub(t.previous[i].KnownSince) >= age {
			return t.previous[i].Version
		}
	}
	return 0
}

// OutdatedAt returns when weights of a version will have been out of date for age: age
// after the first of the newer versions became known. ok is false if no newer version is known, or
// if it is only assumed when it became known.
func (t TargetVersion) OutdatedAt(version int64, age time.Duration) (at bootclock.Instant, ok bool) {
	for _, dated := range t.DatedVersions() {
		if dated.Version > version && (!ok || dated.KnownSince.Add(age).Before(at)) {
			at, ok = dated.KnownSince.Add(age), true
		}
	}
	return at, ok
}

// DatedVersions returns the versions whose ages are known, oldest first, with the
// target version last.
func (t TargetVersion) DatedVersions() []DatedVersion {
	dated := slices.Clone(t.previous)
	if t.Version > 0 && !t.AgeAssumed {
		dated = append(dated, t.DatedVersion)
	}
	return dated
}

// withReportedAge returns t updated with the age of the target version, or of an earlier
// one, that a peer reported. A newer version than the target becomes the target: the store may
// name an older one again, which only those who knew the newer one notice. Of two instants it
// keeps the earlier one; a reported instant replaces an assumed one.
func (t TargetVersion) withReportedAge(reported DatedVersion, limit time.Duration) TargetVersion {
	switch {
	case reported.Version > t.Version:
		return t.next(reported.Version, reported.KnownSince, limit)
	case reported.Version == t.Version && t.AgeAssumed:
		t.KnownSince, t.AgeAssumed = reported.KnownSince, false
	case reported.Version == t.Version:
		t.KnownSince = min(t.KnownSince, reported.KnownSince)
	default:
		t.previous = insertDatedVersion(t.previous, reported)
	}
	return t
}

// insertDatedVersion returns a copy of a list that is sorted by version, with one more
// version. Of a version that is in the list already, the earlier instant is kept.
func insertDatedVersion(list []DatedVersion, reported DatedVersion) []DatedVersion {
	list = slices.Clone(list)
	i, found := slices.BinarySearchFunc(list, reported, func(a, b DatedVersion) int { return cmp.Compare(a.Version, b.Version) })
	if found {
		list[i].KnownSince = min(list[i].KnownSince, reported.KnownSince)
		return list
	}
	return slices.Insert(list, i, reported)
}

// next returns the target version that follows t when a newer version is published. Of the earlier
// versions it drops those on which nothing depends any more at ages of up to limit, because a newer
// one has been known for so long. A version that is merely old stays.
func (t TargetVersion) next(version int64, knownSince bootclock.Instant, limit time.Duration) TargetVersion {
	next := TargetVersion{DatedVersion: DatedVersion{Version: version, KnownSince: knownSince}, previous: t.DatedVersions()}
	binding := next.MinVersion(knownSince, limit)
	next.previous = slices.DeleteFunc(next.previous, func(dated DatedVersion) bool { return dated.Version < binding })
	return next
}
