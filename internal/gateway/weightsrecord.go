package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/rs/zerolog"
)

// weightsBasis states why a request was allowed on the weights of its engine.
type weightsBasis string

const (
	// weightsNewest means that no newer version was known.
	weightsNewest weightsBasis = "newest"
	// weightsRecent means that the newer versions had not been known for long enough.
	weightsRecent weightsBasis = "recent"
	// weightsUnknownAge means that it was not known when the newer versions were published, and no
	// engine with them could take the request.
	weightsUnknownAge weightsBasis = "unknown-age"
)

// weightsRecord is the decision on the weights of a request's last send.
type weightsRecord struct {
	basis weightsBasis
	// version is that of the chosen engine, minVersion the oldest one that was allowed.
	version, minVersion int64
	// left is how long after the send the weights will be out of date for longer than is allowed;
	// isBound is false if no such time is known.
	left    time.Duration
	isBound bool
	// known describes the versions that were known and their ages.
	known string
}

// newWeightsRecord describes the decision to send a request at now to an engine with weights of a
// version. minVersion is the oldest version that was allowed for requests that begin at once.
func newWeightsRecord(version, minVersion int64, target catalog.TargetVersion, limit time.Duration, now bootclock.Instant) *weightsRecord {
	w := &weightsRecord{basis: weightsNewest, version: version, minVersion: minVersion, known: formatVersionAges(target, now)}
	switch {
	case version >= target.Version:
		return w
	case version < minVersion:
		w.basis = weightsUnknownAge
	default:
		w.basis = weightsRecent
	}
	if outdatedAt, ok := target.OutdatedAt(version, limit); ok {
		w.left, w.isBound = outdatedAt.Sub(now), true
	}
	return w
}

// isOlder reports whether the request was sent to older weights than the newest ones.
func (w *weightsRecord) isOlder() bool { return w != nil && w.basis != weightsNewest }

// logFields adds the record to a log line.
func (w *weightsRecord) logFields(line *zerolog.Event) *zerolog.Event {
	line = line.Str("weights", string(w.basis)).Int64("min_version", w.minVersion).Str("versions", w.known)
	if w.isBound {
		line = line.Dur("weights_left_ms", w.left)
	}
	return line
}

// formatVersionAges returns each known version with the milliseconds since it became known, oldest
// first; a question mark follows a time since which the version was certainly known, while it may be older.
func formatVersionAges(target catalog.TargetVersion, now bootclock.Instant) string {
	var b strings.Builder
	for _, dated := range target.DatedVersions() {
		fmt.Fprintf(&b, "%d=%d", dated.Version, now.Sub(dated.KnownSince).Milliseconds())
		if dated.AgeAssumed {
			b.WriteByte('?')
		}
		b.WriteByte(' ')
	}
	return strings.TrimSpace(b.String())
}
