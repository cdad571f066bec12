package catalog

import (
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

// DatedVersion is a version of a model's weights and when it became known.
type DatedVersion struct {
	Version int64
	// KnownSince is when the version became known, on this process's clock: the earliest
	// instant at which this process or, by its report, a peer knew of the version. It was published
	// no later.
	KnownSince bootclock.Instant
	// AgeAssumed is true if the version was published before each process started that is
	// known to know it, so that it may be older than KnownSince by any time. It is assumed to be old.
	AgeAssumed bool
	// Stated is true if the version is known from statements of engines only, and nothing shows that
	// the operator named it.
	Stated bool
}

// isKnownFor reports whether the version has been known for age, as far as that is certain.
func (d DatedVersion) isKnownFor(age time.Duration, now bootclock.Instant) bool {
	return d.Version > 0 && now.Sub(d.KnownSince) >= age
}

// merge returns what two reports on the same version tell together.
func (d DatedVersion) merge(other DatedVersion) DatedVersion {
	d.KnownSince, d.AgeAssumed = min(d.KnownSince, other.KnownSince), d.AgeAssumed && other.AgeAssumed
	d.Stated = d.Stated && other.Stated
	return d
}

// TargetVersion is the version of the weights that a model should have.
type TargetVersion struct {
	DatedVersion
	// previous holds the earlier versions that MinVersion and OutdatedAt depend on, oldest first.
	previous []DatedVersion
}

// Age returns how long the version has been known; very long if its age is assumed.
func (t TargetVersion) Age(now bootclock.Instant) time.Duration {
	if t.AgeAssumed {
		return now.Sub(0)
	}
	return now.Sub(t.KnownSince)
}

// MinVersion returns the newest version that became known at least age ago, or whose age is assumed,
// or 0 if there is none. It may be too high if AnyAgeAssumed; see CertainMinVersion.
func (t TargetVersion) MinVersion(now bootclock.Instant, age time.Duration) int64 {
	return t.newest(func(d DatedVersion) bool { return d.AgeAssumed || d.isKnownFor(age, now) })
}

// CertainMinVersion returns the newest version that certainly became known at least age ago, or 0 if
// there is none. Weights older than this version have been out of date for at least that long.
func (t TargetVersion) CertainMinVersion(now bootclock.Instant, age time.Duration) int64 {
	return t.newest(func(d DatedVersion) bool { return d.isKnownFor(age, now) })
}

// newest returns the newest version that a condition holds for, or 0.
func (t TargetVersion) newest(holds func(DatedVersion) bool) int64 {
	if holds(t.DatedVersion) {
		return t.Version
	}
	for _, dated := range slices.Backward(t.previous) {
		if holds(dated) {
			return dated.Version
		}
	}
	return 0
}

// AnyAgeAssumed reports whether the age of the target version or of an earlier one is assumed.
func (t TargetVersion) AnyAgeAssumed() bool {
	return t.AgeAssumed || slices.ContainsFunc(t.previous, func(d DatedVersion) bool { return d.AgeAssumed })
}

// OutdatedAt returns when weights of a version will certainly have been out of date for age: age
// after the first of the newer versions became known. ok is false if no newer version is known.
func (t TargetVersion) OutdatedAt(version int64, age time.Duration) (at bootclock.Instant, ok bool) {
	for _, dated := range t.DatedVersions() {
		if dated.Version > version && (!ok || dated.KnownSince.Add(age).Before(at)) {
			at, ok = dated.KnownSince.Add(age), true
		}
	}
	return at, ok
}

// DatedVersions returns the versions that MinVersion and OutdatedAt depend on, oldest first, with the
// target version last.
func (t TargetVersion) DatedVersions() []DatedVersion {
	dated := slices.Clone(t.previous)
	if t.Version > 0 {
		dated = append(dated, t.DatedVersion)
	}
	return dated
}
