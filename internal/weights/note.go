package weights

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
	"github.com/rs/zerolog"
)

// The holder writes into the record of the orders lease since when it knows which versions. After a
// restart of all gateways nobody else could tell that older weights have been out of date for long.

// versionNote is one known version in the note of the lease's record.
type versionNote struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// AgeMS is how long the version had been known when the note was written.
	AgeMS int64 `json:"age_ms"`
	// Named is true if the operator is known to have named the version. Without it, the version is
	// known from statements of engines, or the note was written by a build that did not tell.
	Named bool `json:"named,omitempty"`
}

// encodeNote returns the note on what is known of the versions at now.
func encodeNote(targets map[string]catalog.TargetVersion, now bootclock.Instant) []byte {
	notes := []versionNote{}
	for model, target := range targets {
		for _, dated := range target.DatedVersions() {
			notes = append(notes, versionNote{Model: model, Version: dated.Version, AgeMS: now.Sub(dated.KnownSince).Milliseconds(), Named: !dated.Stated})
		}
	}
	note, err := json.Marshal(notes)
	if err != nil {
		return nil
	}
	return note
}

// noteReader merges the notes that are read into a catalog.
type noteReader struct {
	versions *catalog.Catalog
	log      zerolog.Logger
	// first logs the first note, which is that of a former holder.
	first sync.Once
}

// read merges a note that was read by now. The time since it was written is not known, so the
// versions may be older than they seem.
func (r *noteReader) read(note []byte) {
	var notes []versionNote
	err := json.Unmarshal(note, &notes)
	r.first.Do(func() {
		r.log.Info().Err(err).RawJSON("versions", validJSON(note)).Msg("weights: read what the last holder of the orders lease knew of the versions")
	})
	now := bootclock.Now()
	for _, known := range notes {
		knownSince := now.Add(-time.Duration(max(0, known.AgeMS)) * time.Millisecond)
		r.versions.MergeVersionAge(known.Model, catalog.DatedVersion{Version: known.Version, KnownSince: knownSince, AgeAssumed: true, Stated: !known.Named})
	}
}

// validJSON returns a note for the log, or null if it is no JSON.
func validJSON(note []byte) []byte {
	if json.Valid(note) {
		return note
	}
	return []byte("null")
}
