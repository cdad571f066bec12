package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// maxStatedVersions bounds the versions of a model that are known from statements only.
	maxStatedVersions = 32
	// refusalRetention is how long a refused version is remembered while no engine states it.
	refusalRetention = time.Minute
)

// modelVersions is all that is known of the versions of a model's weights. The operator names
// versions in the store. What an engine states is evidence that a version was named: the store may
// name an older one again. A list entry can also come from a writer that knows nothing of the
// operator's versions, so a statement counts only while a listed engine makes it and no other
// engine has refused to load the version.
type modelVersions struct {
	// known holds each version once, oldest first.
	known []DatedVersion
	// stated holds the versions that listed engines state now, oldest first.
	stated []int64
	// refused holds when an engine last refused an order to load a version, as one that was never
	// named.
	refused map[int64]bootclock.Instant
}

// newestNamed returns the newest version that was named, or 0.
func (m *modelVersions) newestNamed() int64 {
	for _, dated := range slices.Backward(m.known) {
		if !dated.Stated {
			return dated.Version
		}
	}
	return 0
}

// newestStated returns the newest version that a listed engine states and none has refused, or 0.
func (m *modelVersions) newestStated() int64 {
	for _, version := range slices.Backward(m.stated) {
		if _, refused := m.refused[version]; !refused {
			return version
		}
	}
	return 0
}

// counts reports whether a known version counts. An older version than one that counts does,
// because versions only increase.
func (m *modelVersions) counts(dated DatedVersion) bool {
	if !dated.Stated || dated.Version <= m.newestNamed() {
		return true
	}
	_, refused := m.refused[dated.Version]
	return !refused && dated.Version <= m.newestStated()
}

// target returns the target version with the earlier versions that still matter.
func (m *modelVersions) target() TargetVersion {
	var counting []DatedVersion
	for _, dated := range m.known {
		if m.counts(dated) {
			counting = append(counting, dated)
		}
	}
	return targetOf(counting)
}

// targetOf returns the target version among versions that are sorted, oldest first.
func targetOf(versions []DatedVersion) TargetVersion {
	if len(versions) == 0 {
		return TargetVersion{}
	}
	last := len(versions) - 1
	return TargetVersion{DatedVersion: versions[last], previous: versions[:last:last]}
}

// add merges a report. When a version that did not count turns out to be named, the time since
// which it was stated says nothing about its age.
func (m *modelVersions) add(reported DatedVersion) {
	i, found := slices.BinarySearchFunc(m.known, reported, func(a, b DatedVersion) int { return cmp.Compare(a.Version, b.Version) })
	switch {
	case !found:
		m.known = slices.Insert(m.known, i, reported)
		m.limitStated()
	case reported.Stated && !m.known[i].Stated:
	case !reported.Stated && !m.counts(m.known[i]):
		m.known[i] = reported
	default:
		m.known[i] = m.known[i].merge(reported)
	}
	if !reported.Stated {
		delete(m.refused, reported.Version)
	}
}

// limitStated drops a version that was only stated if there are too many: one that does not count if
// there is one, else the oldest.
func (m *modelVersions) limitStated() {
	count, oldest, ignored := 0, -1, -1
	for i, dated := range m.known {
		if !dated.Stated {
			continue
		}
		count++
		if oldest < 0 {
			oldest = i
		}
		if ignored < 0 && !m.counts(dated) {
			ignored = i
		}
	}
	if count <= maxStatedVersions {
		return
	}
	if ignored >= 0 {
		oldest = ignored
	}
	m.known = slices.Delete(m.known, oldest, oldest+1)
}

// prune drops earlier versions on which nothing depends any more at ages of up to limit, because a
// newer one that was named had been known for so long when the newest became known. A version that
// is merely old stays, and so does one whose age is assumed.
func (m *modelVersions) prune(limit time.Duration) {
	named := targetOf(slices.DeleteFunc(slices.Clone(m.known), func(dated DatedVersion) bool { return dated.Stated }))
	binding := named.CertainMinVersion(named.KnownSince, limit)
	m.known = slices.DeleteFunc(m.known, func(dated DatedVersion) bool { return dated.Version < binding })
}

// setStated replaces the versions that listed engines state. assumed is true if they may have
// been named at any time before now.
func (m *modelVersions) setStated(stated []int64, now bootclock.Instant, assumed bool) {
	m.stated = stated
	for version := range m.refused {
		if slices.Contains(stated, version) {
			m.refused[version] = now
		}
	}
	maps.DeleteFunc(m.refused, func(_ int64, at bootclock.Instant) bool { return now.Sub(at) >= refusalRetention })
	newestNamed := m.newestNamed()
	for _, version := range stated {
		if version > newestNamed && !m.knows(version) {
			m.add(DatedVersion{Version: version, KnownSince: now, AgeAssumed: assumed, Stated: true})
		}
	}
}

// knows reports whether a version is among the known ones.
func (m *modelVersions) knows(version int64) bool {
	return slices.ContainsFunc(m.known, func(dated DatedVersion) bool { return dated.Version == version })
}

// refuse records that an engine refused to load a version at an instant. A version that was named is
// not affected.
func (m *modelVersions) refuse(version int64, at bootclock.Instant) {
	if version <= m.newestNamed() {
		return
	}
	if m.refused == nil {
		m.refused = make(map[int64]bootclock.Instant)
	}
	m.refused[version] = max(m.refused[version], at)
}

// confirm records that a version which was only stated was named, and reports whether it counted. One
// that did not is left as it is, unless the time since which it was stated is its age all the same.
func (m *modelVersions) confirm(version int64, withAge bool) bool {
	for i, dated := range m.known {
		if dated.Version == version && dated.Stated && (withAge || m.counts(dated)) {
			m.known[i].Stated = false
			delete(m.refused, version)
			return true
		}
	}
	return false
}
