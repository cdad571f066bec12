package roster

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/pause"
)

const (
	// keepEvery is the pause between two looks at the entries.
	keepEvery = 5 * time.Second
	// silentAfter is how long a gateway is not heard until all that live renew their
	// entries, so that one which only peers can't hear is told from one that is gone.
	silentAfter = 20 * time.Second
	// goneAfter is how long a gateway is neither heard nor renews its entry until the
	// entry is removed. Evidence for keys is long out of date then, so that a
	// gateway that is cut off from all serves no customer with a limit.
	goneAfter = 45 * time.Second
)

// RecordContact notes that a gateway is alive.
func (r *Roster) RecordContact(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact[name] = r.options.Now()
}

// Maintain renews this gateway's entry while others are silent, writes it anew when it
// was removed, and removes entries of gateways that are gone, until ctx ends.
//
// Load pattern: hosts are removed for good without notice. What such a gateway is
// owed of limits and repeats would be lost for ever.
func (r *Roster) Maintain(ctx context.Context) {
	for pause.For(ctx, keepEvery) == nil {
		r.keep(ctx)
	}
}

func (r *Roster) keep(ctx context.Context) {
	renew, gone := r.look()
	if renew {
		if err := r.write(ctx); err != nil {
			r.options.Log.Warn().Err(err).Msg("roster: entry not renewed")
			return
		}
	}
	for name, version := range gone {
		r.remove(ctx, name, version)
	}
}

// look returns whether the own entry is to be written again, and the entries
// that this gateway is to remove, with their versions. Of those that hear each
// other the first by name removes.
func (r *Roster) look() (renew bool, gone map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own == 0 || r.left {
		return false, nil
	}
	now := r.options.Now()
	_, present := r.entries[r.options.Name]
	renew = !present
	gone = make(map[string]int64)
	first := true
	for name, known := range r.entries {
		if name == r.options.Name {
			continue
		}
		silent := r.silent(name, known, now)
		if silent >= goneAfter {
			gone[name] = known.version
		}
		if silent >= silentAfter {
			renew = true
			continue
		}
		first = first && r.options.Name < name
	}
	if !first {
		gone = nil
	}
	return renew, gone
}

func (r *Roster) remove(ctx context.Context, name string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	silence := r.TimeSinceContact()[name]
	if err := r.options.Store.Delete(ctx, Prefix+name, version); err != nil {
		r.options.Log.Warn().Err(err).Str("name", name).Msg("roster: entry of a lost gateway not removed")
		return
	}
	r.options.Log.Info().Str("name", name).Int64("version", version).Dur("silent_ms", silence).
		Msg("roster: entry of a lost gateway removed")
}

// TimeSinceContact returns for each other gateway how long ago it was heard, or its entry
// was seen first.
func (r *Roster) TimeSinceContact() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	sinceContact := make(map[string]time.Duration, len(r.entries))
	for name, known := range r.entries {
		if name != r.options.Name {
			sinceContact[name] = r.silent(name, known, now)
		}
	}
	return sinceContact
}

// silent is how long a gateway has neither been heard nor renewed its entry; r.mu is held.
func (r *Roster) silent(name string, known listed, now bootclock.Instant) time.Duration {
	return now.Sub(max(r.lastContact[name], known.since))
}
