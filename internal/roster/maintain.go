package roster

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// maintainInterval is the interval between checks of the entries.
	maintainInterval = 5 * time.Second
	// A gateway is silent while its peers receive no updates from it and it does not
	// renew its entry. After renewAfterSilence, all running gateways renew their entries.
	// A running gateway that only its peers can't reach renews its entry as well, so this
	// distinguishes it from one that has stopped.
	renewAfterSilence = 20 * time.Second
	// removeAfterSilence is how long a gateway must be silent before its entry is
	// removed. A gateway that still runs but is cut off from its peers and the platform
	// store serves no customer with a limit by then: the evidence age of its
	// configuration has long exceeded the bound above which it refuses requests that need
	// a key.
	removeAfterSilence = 45 * time.Second
)

// RecordContact records that an update from a gateway was received.
func (r *Roster) RecordContact(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact[name] = r.options.Now()
}

// Maintain maintains the entries until ctx ends. It renews the entry of this gateway
// while another gateway is silent, writes the entry of this gateway again after another
// gateway removed it, and removes the entries of gateways that were silent for
// removeAfterSilence.
//
// Load pattern: hosts are removed for good without notice. Unless the entry of such a
// gateway is removed, its share of customers' limits and of the retry budget is lost.
func (r *Roster) Maintain(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.checkNow:
		case <-time.After(maintainInterval):
		}
		r.maintainOnce(ctx)
	}
}

func (r *Roster) maintainOnce(ctx context.Context) {
	r.dropSilentLost()
	renew, toRemove := r.plannedWrites()
	if renew {
		if err := r.writeEntry(ctx); err != nil {
			r.options.Log.Warn().Err(err).Msg("roster: this gateway's entry was not renewed; trying again at the next check")
			return
		}
	}
	for name, version := range toRemove {
		r.removeEntry(ctx, name, version)
	}
}

// plannedWrites returns whether this gateway must write its own entry again, and the
// entry versions, by name, of the silent gateways whose entries it must remove. Of the
// gateways that are not silent, only the first by name removes entries; toRemove is nil
// for the others.
func (r *Roster) plannedWrites() (renew bool, toRemove map[string]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ownVersion == 0 || r.hasLeft {
		return false, nil
	}
	now := r.options.Now()
	_, present := r.entries[r.options.Name]
	renew = !present
	toRemove = make(map[string]int64)
	isFirst := true
	for name, known := range r.entries {
		if name == r.options.Name {
			continue
		}
		silence := r.silence(name, known, now)
		if known.lost {
			continue
		}
		if silence >= removeAfterSilence {
			toRemove[name] = known.version
		}
		if silence >= renewAfterSilence {
			renew = true
			continue
		}
		isFirst = isFirst && r.options.Name < name
	}
	if !isFirst {
		toRemove = nil
	}
	return renew, toRemove
}

// dropSilentLost stops counting the gateways whose entries a restored store lacks and which
// have been silent for renewAfterSilence. A running gateway has written its entry again by
// then.
func (r *Roster) dropSilentLost() {
	r.mu.Lock()
	now := r.options.Now()
	dropped := false
	for name, known := range r.entries {
		silence := r.silence(name, known, now)
		if !known.lost || silence < renewAfterSilence {
			continue
		}
		delete(r.entries, name)
		delete(r.lastContact, name)
		dropped = true
		r.options.Log.Info().Str("name", name).Dur("silent_ms", silence).
			Msg("roster: entry was lost in a restore of the store and its gateway is silent; this gateway stops counting it")
	}
	peers := r.peers()
	r.mu.Unlock()
	if dropped {
		r.options.OnChange(peers)
	}
}

// removeEntry removes the entry of a silent gateway unless the version of the entry has
// changed. It logs a changed version as a failure as well.
func (r *Roster) removeEntry(ctx context.Context, name string, version int64) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	silence := r.TimeSinceContact()[name]
	if err := r.options.Store.Delete(ctx, Prefix+name, version); err != nil {
		r.options.Log.Warn().Err(err).Str("name", name).Msg("roster: entry of a silent gateway was not removed; trying again at the next check if the gateway is still silent")
		return
	}
	r.options.Log.Info().Str("name", name).Int64("version", version).Dur("silent_ms", silence).
		Msg("roster: entry of a silent gateway was removed; gateways stop counting it")
}

// TimeSinceContact returns, for each other gateway by name, how long it has been silent:
// the time since the last update from it or since its current entry was received,
// whichever is shorter.
func (r *Roster) TimeSinceContact() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	silences := make(map[string]time.Duration, len(r.entries))
	for name, known := range r.entries {
		if name != r.options.Name {
			silences[name] = r.silence(name, known, now)
		}
	}
	return silences
}

// silence returns how long a gateway has neither sent an update to this one nor renewed
// its entry. It must be called with r.mu held.
func (r *Roster) silence(name string, known knownEntry, now bootclock.Instant) time.Duration {
	return now.Sub(max(r.lastContact[name], known.receivedAt))
}
