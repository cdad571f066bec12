package roster

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/pause"
)

const (
	// maintainInterval is the interval between checks of the entries.
	maintainInterval = 5 * time.Second
	// renewAfterSilence is how long a gateway must be silent, which means that it is
	// neither heard from nor renews its entry, before all running gateways renew their
	// entries. The renewal distinguishes a gateway that only its peers can't
	// reach from one that has stopped.
	renewAfterSilence = 20 * time.Second
	// removeAfterSilence is how long a gateway must be silent before its entry is
	// removed. If it still runs but is cut off from everything, its evidence for keys
	// has been stale for long by then, so it serves no customer with a limit.
	removeAfterSilence = 45 * time.Second
)

// RecordContact records that a gateway was heard from.
func (r *Roster) RecordContact(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact[name] = r.options.Now()
}

// Maintain renews this gateway's entry while another gateway is silent, rewrites it
// after it was removed, and removes the entries of stopped gateways, until ctx ends.
//
// Load pattern: hosts are removed for good without notice. Unless the entry of such a
// gateway is removed, its share of customers' limits and of the retry budget is lost.
func (r *Roster) Maintain(ctx context.Context) {
	for pause.For(ctx, maintainInterval) == nil {
		r.maintainOnce(ctx)
	}
}

func (r *Roster) maintainOnce(ctx context.Context) {
	renew, stopped := r.entriesDue()
	if renew {
		if err := r.writeEntry(ctx); err != nil {
			r.options.Log.Warn().Err(err).Msg("roster: this gateway's entry was not renewed; trying again at the next check")
			return
		}
	}
	for name, version := range stopped {
		r.removeEntry(ctx, name, version)
	}
}

// entriesDue returns whether this gateway must write its own entry again, and the names
// and entry versions of the stopped gateways whose entries it must remove. Of the
// gateways that hear each other, only the first by name removes entries.
func (r *Roster) entriesDue() (renew bool, stopped map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownVersion == 0 || r.hasLeft {
		return false, nil
	}
	now := r.options.Now()
	_, present := r.entries[r.options.Name]
	renew = !present
	stopped = make(map[string]int64)
	isFirst := true
	for name, known := range r.entries {
		if name == r.options.Name {
			continue
		}
		silence := r.sinceContact(name, known, now)
		if silence >= removeAfterSilence {
			stopped[name] = known.version
		}
		if silence >= renewAfterSilence {
			renew = true
			continue
		}
		isFirst = isFirst && r.options.Name < name
	}
	if !isFirst {
		stopped = nil
	}
	return renew, stopped
}

// removeEntry removes the entry of another gateway unless its version has changed.
func (r *Roster) removeEntry(ctx context.Context, name string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	silence := r.TimeSinceContact()[name]
	if err := r.options.Store.Delete(ctx, Prefix+name, version); err != nil {
		r.options.Log.Warn().Err(err).Str("name", name).Msg("roster: entry of an unreachable gateway was not removed; trying again at the next check")
		return
	}
	r.options.Log.Info().Str("name", name).Int64("version", version).Dur("silent_ms", silence).
		Msg("roster: entry of an unreachable gateway removed")
}

// TimeSinceContact returns, for each other gateway by name, the time since it was last
// heard from or since its current entry was first seen, whichever is shorter.
func (r *Roster) TimeSinceContact() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	silences := make(map[string]time.Duration, len(r.entries))
	for name, known := range r.entries {
		if name != r.options.Name {
			silences[name] = r.sinceContact(name, known, now)
		}
	}
	return silences
}

// sinceContact returns how long a gateway has neither been heard from nor renewed its
// entry. It must be called with r.mu held.
func (r *Roster) sinceContact(name string, known knownEntry, now bootclock.Instant) time.Duration {
	return now.Sub(max(r.lastContact[name], known.firstSeen))
}
