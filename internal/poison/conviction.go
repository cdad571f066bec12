package poison

import (
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/metrics"
)

const (
	// minEpisodes is the number of episodes from which a key is convicted.
	minEpisodes = 3
	// minCrashes is the number of crashes from which a key is convicted. At three, chance
	// can lose all sound requests with some rare part.
	minCrashes = 4
	// minSettledCrashes is the number of these crashes whose evidence must have settled.
	minSettledCrashes = 3
	// trialCrashes is the number of crashes from which on a whole request runs alone. One
	// crash loses many sound requests, two in a row hardly any.
	trialCrashes = 2
	// minRequests is the number of different requests that must have been lost to convict
	// a key that they share. A sound request that is sent once more after each crash would
	// count against its parts each time.
	minRequests = 3
	// maxTiedEpisodes is the number of episodes from which a key is convicted although a
	// key of other requests has the same evidence.
	maxTiedEpisodes = 5
	// convictionTTL is how long the first conviction of a key lasts. Each further one lasts
	// twice as long, up to maxConvictionTTL, so that a wrong conviction is short and a
	// right one costs few upstreams.
	convictionTTL    = 2 * time.Minute
	maxConvictionTTL = time.Hour
	// probationTTL is how long a key is on probation after its conviction.
	probationTTL = 10 * time.Minute

	// settlingTime is the age from which a crash is settled. Until then, completions can
	// clear the sound keys that were in flight.
	settlingTime = time.Second
	// learningTime is the time from which evidence counts after this gateway learned of
	// it, unless minCrashes are settled. It spans two exchanges, in which the peers report
	// their evidence and clearances.
	learningTime = 500 * time.Millisecond
)

// conviction is the conviction of a key, or the probation that follows it.
type conviction struct {
	// end is the end of the conviction and the begin of the probation.
	end bootclock.Instant
	// ttl is the length of the conviction; 0 if a peer decided it.
	ttl time.Duration
	// expired reports whether the end has been logged.
	expired bool
}

// expireConvictions logs the convictions that ended and drops those whose probation
// ended. t.mu must be held.
func (t *Tracker) expireConvictions(now bootclock.Instant) {
	for key, v := range t.convictions {
		if now.Before(v.end) {
			continue
		}
		if !v.expired {
			t.log.Info().Str("key", string(key)).Dur("probation", probationTTL).Msg("poison: a conviction expired")
		}
		v.expired = true
		t.convictions[key] = v
		if now.Sub(v.end) >= probationTTL {
			delete(t.convictions, key)
		}
	}
}

// isConvicted reports whether the key is convicted now. t.mu must be held.
func (t *Tracker) isConvicted(key Key, now bootclock.Instant) bool {
	v, ok := t.convictions[key]
	return ok && now.Before(v.end)
}

// explains reports whether the key's conviction explains the crash. t.mu must be held.
func (t *Tracker) explains(key Key, c *crash) bool {
	v, ok := t.convictions[key]
	return ok && c.at.Before(v.end)
}

// decide convicts the keys that have become due. t.mu must be held.
func (t *Tracker) decide(now bootclock.Instant) {
	for {
		key, ok := t.due(now)
		if !ok {
			return
		}
		t.convict(key, now)
	}
}

// due returns a key that must be convicted now. t.mu must be held.
func (t *Tracker) due(now bootclock.Instant) (Key, bool) {
	for key := range t.convictions {
		if t.suspects[key] != nil && !t.isConvicted(key, now) {
			return key, true
		}
	}
	rivals := t.rivals()
	for _, rival := range rivals {
		if !rival.suspect.suffices(rival.key, now) {
			continue
		}
		due := newRival(rival.key, rival.suspect.heard(now))
		if !slices.ContainsFunc(rivals, due.yieldsTo) {
			return due.key, true
		}
	}
	return "", false
}

// heard returns the suspect with the evidence only that the peers have had the time to
// complete.
func (s *suspect) heard(now bootclock.Instant) *suspect {
	fresh := func(e evidence) bool { return now.Sub(e.learnedAt) < learningTime }
	return &suspect{evidence: slices.DeleteFunc(slices.Clone(s.evidence), fresh), wider: s.wider}
}

// settled returns the number of settled crashes.
func (s *suspect) settled(now bootclock.Instant) int {
	count := 0
	for _, e := range s.evidence {
		if now.Sub(e.crash.at) >= settlingTime && now.Sub(e.learnedAt) >= learningTime {
			count++
		}
	}
	return count
}

// suffices reports whether the evidence against the key suffices for a conviction. What
// hasn't been heard counts only if minCrashes are settled.
func (s *suspect) suffices(key Key, now bootclock.Instant) bool {
	counted := s
	if s.settled(now) < minCrashes {
		counted = s.heard(now)
	}
	if len(counted.evidence) < minCrashes || counted.settled(now) < minSettledCrashes || counted.episodes() < minEpisodes {
		return false
	}
	return counted.isRequest(key) || len(counted.requests()) >= minRequests
}

// rival is a suspect whose evidence is compared with that of others.
type rival struct {
	key      Key
	suspect  *suspect
	episodes int
}

func newRival(key Key, s *suspect) rival {
	return rival{key: key, suspect: s, episodes: s.episodes()}
}

// rivals returns the suspects with evidence from at least minSettledCrashes. t.mu must be
// held.
func (t *Tracker) rivals() []rival {
	var rivals []rival
	for key, s := range t.suspects {
		if len(s.evidence) >= minSettledCrashes {
			rivals = append(rivals, newRival(key, s))
		}
	}
	return rivals
}

// yieldsTo reports whether a isn't convicted because of b: b has more episodes, or it has
// as many and is the narrower one. If neither is narrower because they come from different
// requests, the one with fewer crashes yields. While these are as many too, both wait for
// a crash or a completion that tells them apart, up to maxTiedEpisodes.
func (a rival) yieldsTo(b rival) bool {
	switch {
	case a.key == b.key:
		return false
	case a.episodes != b.episodes:
		return a.episodes < b.episodes
	case slices.Contains(b.suspect.wider, a.key):
		return true
	case slices.Contains(a.suspect.wider, b.key) || !a.suspect.sharesCrash(b.suspect):
		return false
	case len(a.suspect.evidence) != len(b.suspect.evidence):
		return len(a.suspect.evidence) < len(b.suspect.evidence)
	case a.episodes < maxTiedEpisodes:
		return true
	case len(a.suspect.wider) != len(b.suspect.wider):
		return len(a.suspect.wider) < len(b.suspect.wider)
	}
	return a.key > b.key
}

// convict convicts a suspect. The crashes in its evidence are explained. t.mu must be
// held.
func (t *Tracker) convict(key Key, now bootclock.Instant) {
	s := t.suspects[key]
	var upstreams []string
	for _, e := range s.evidence {
		upstreams = append(upstreams, e.crash.id.upstream)
	}
	slices.Sort(upstreams)
	upstreams = slices.Compact(upstreams)
	episodes := s.episodes()
	ttl := min(max(convictionTTL, 2*t.convictions[key].ttl), maxConvictionTTL)
	t.setConviction(key, conviction{end: now.Add(ttl), ttl: ttl})
	metrics.Counter("poison.convictions").Inc(1)
	t.log.Warn().Str("key", string(key)).Strs("upstreams", upstreams).Int("episodes", episodes).Dur("ttl", ttl).
		Msg("poison: a content is convicted of crashing upstreams")
}

// adopt takes over a peer's conviction of the key. t.mu must be held.
func (t *Tracker) adopt(key Key, remaining time.Duration, now bootclock.Instant) {
	if remaining < minAdoptedRemaining || t.isConvicted(key, now) {
		return
	}
	remaining = min(remaining, maxConvictionTTL)
	t.setConviction(key, conviction{end: now.Add(remaining)})
	t.log.Info().Str("key", string(key)).Dur("remaining", remaining).Msg("poison: a conviction is adopted from a peer")
}

// setConviction sets the key's conviction and explains the crashes in its
// evidence. The conviction of a whole request leaves the evidence against its parts: one of
// them may crash the next request with it, too. t.mu must be held.
func (t *Tracker) setConviction(key Key, v conviction) {
	t.convictions[key] = v
	s := t.suspects[key]
	if s == nil {
		return
	}
	var spared []Key
	if s.isRequest(key) {
		spared = s.wider
	}
	for _, e := range slices.Clone(s.evidence) {
		t.explain(e.crash, spared)
	}
}
