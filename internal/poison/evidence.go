package poison

import (
	"slices"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const (
	// evidenceTTL is the age at which a crash stops being evidence.
	evidenceTTL = 10 * time.Minute
	// episodeWindow is the time within which crashes count as one episode, because one
	// cause outside the requests, such as a loss of power, can end many upstreams.
	episodeWindow = 150 * time.Millisecond
)

// crashID identifies a crash: each incarnation of an upstream crashes at most once.
type crashID struct {
	upstream      string
	startedMillis int64
}

// crash is a crash that this gateway or a peer observed.
type crash struct {
	id crashID
	// at is the earliest instant that an observer has stated.
	at bootclock.Instant
	// keys are the keys that were in flight. A key that is cleared stays in it, so that
	// a repeated report adds no evidence.
	keys map[Key]struct{}
	// requests are the last keys of the requests that were in flight.
	requests map[Key]struct{}
	// explained reports whether a convicted key was in flight. An explained crash is no
	// evidence against any key.
	explained bool

	// ownAt is the instant of this gateway's first observation. It is valid if
	// ownRequests isn't empty.
	ownAt bootclock.Instant
	// ownRequests are the keys of this gateway's lost requests.
	ownRequests [][]Key
}

// addOwn records a lost request of this gateway. The crash keeps keys.
func (c *crash) addOwn(keys []Key, now bootclock.Instant) {
	if len(c.ownRequests) == 0 {
		c.ownAt = now
	}
	known := 0
	for _, request := range c.ownRequests {
		if slices.Equal(request, keys) {
			return
		}
		known += len(request)
	}
	if known+len(keys) <= maxKeysPerCrash {
		c.ownRequests = append(c.ownRequests, keys)
	}
}

// evidence is a crash that counts against a key.
type evidence struct {
	crash *crash
	// learnedAt is the instant at which this gateway learned that the key was in flight.
	learnedAt bootclock.Instant
	// requests are the last keys of the requests with the key.
	requests []Key
}

// suspect is a key with evidence against it.
type suspect struct {
	evidence []evidence
	// wider are the keys that come before this one in every request with it that is
	// part of the evidence.
	wider []Key
}

// latest returns the instant of the latest crash.
func (s *suspect) latest() bootclock.Instant {
	var latest bootclock.Instant
	for _, e := range s.evidence {
		latest = max(latest, e.crash.at)
	}
	return latest
}

// episodes returns the number of episodes of the crashes. A crash begins an episode if it
// is at least episodeWindow after the begin of the last one.
func (s *suspect) episodes() int {
	instants := make([]bootclock.Instant, 0, len(s.evidence))
	for _, e := range s.evidence {
		instants = append(instants, e.crash.at)
	}
	slices.Sort(instants)
	count := 0
	var start bootclock.Instant
	for _, at := range instants {
		if count == 0 || at.Sub(start) >= episodeWindow {
			count++
			start = at
		}
	}
	return count
}

// isRequest reports whether the key stands for a whole request and not for a part that
// requests share.
func (s *suspect) isRequest(key Key) bool {
	_, ok := s.requests()[key]
	return ok
}

// requests returns the last keys of the requests in the evidence.
func (s *suspect) requests() map[Key]struct{} {
	requests := make(map[Key]struct{})
	for _, e := range s.evidence {
		for _, last := range e.requests {
			requests[last] = struct{}{}
		}
	}
	return requests
}

// sharesCrash reports whether a crash is evidence against both s and other.
func (s *suspect) sharesCrash(other *suspect) bool {
	return slices.ContainsFunc(s.evidence, func(e evidence) bool {
		return slices.ContainsFunc(other.evidence, func(o evidence) bool { return o.crash == e.crash })
	})
}

// crash returns the crash with this id, which an observer dates at. t.mu must be held.
func (t *Tracker) crash(id crashID, at bootclock.Instant) *crash {
	c, ok := t.crashes[id]
	if !ok {
		c = &crash{id: id, at: at, keys: make(map[Key]struct{}), requests: make(map[Key]struct{})}
		t.crashes[id] = c
		return c
	}
	if at.Before(c.at) {
		c.at = at
		for key := range c.keys {
			t.clear(key, t.clearedAt(key))
		}
	}
	return c
}

// addRequest records that a request with these keys was in flight at the crash. The
// tracker keeps keys. t.mu must be held.
func (t *Tracker) addRequest(c *crash, keys []Key, now bootclock.Instant) {
	last := keys[len(keys)-1]
	if _, known := c.requests[last]; known || len(c.keys)+len(keys) > maxKeysPerCrash {
		return
	}
	c.requests[last] = struct{}{}
	for i := range keys {
		t.addKey(c, keys, i, now)
	}
	i := slices.IndexFunc(keys, func(key Key) bool { return t.explains(key, c) })
	switch {
	case i == len(keys)-1:
		t.explain(c, keys[:i])
	case i >= 0:
		t.explain(c, nil)
	}
}

// addKey records that the key at position i of a request was in flight at the crash. t.mu
// must be held.
func (t *Tracker) addKey(c *crash, keys []Key, i int, now bootclock.Instant) {
	key, wider, last := keys[i], keys[:i], keys[len(keys)-1]
	_, known := c.keys[key]
	c.keys[key] = struct{}{}
	if c.explained || c.at.Before(t.clearedAt(key)) {
		return
	}
	s := t.suspects[key]
	if s == nil {
		if known {
			return
		}
		s = &suspect{wider: wider}
		t.suspects[key] = s
	}
	s.wider = intersection(s.wider, wider)
	if !known {
		s.evidence = append(s.evidence, evidence{crash: c, learnedAt: now})
	}
	for j := range s.evidence {
		if s.evidence[j].crash == c {
			s.evidence[j].requests = append(s.evidence[j].requests, last)
		}
	}
}

// intersection returns the keys of a that are in b, in the order of a.
func intersection(a, b []Key) []Key {
	return slices.DeleteFunc(slices.Clone(a), func(key Key) bool { return !slices.Contains(b, key) })
}

// explain removes the crash for good from the evidence against all keys but the spared
// ones. t.mu must be held.
func (t *Tracker) explain(c *crash, spared []Key) {
	c.explained = true
	t.removeCrash(c, spared)
}

// dropCrash forgets the crash. t.mu must be held.
func (t *Tracker) dropCrash(c *crash) {
	t.removeCrash(c, nil)
	delete(t.crashes, c.id)
}

// removeCrash removes the crash from the evidence against all keys but the spared ones.
// t.mu must be held.
func (t *Tracker) removeCrash(c *crash, spared []Key) {
	for key := range c.keys {
		if slices.Contains(spared, key) {
			continue
		}
		t.removeEvidence(key, func(e evidence) bool { return e.crash == c })
	}
}

// removeEvidence removes the evidence against a key that remove selects. A key without
// evidence is no longer a suspect. t.mu must be held.
func (t *Tracker) removeEvidence(key Key, remove func(evidence) bool) {
	s := t.suspects[key]
	if s == nil {
		return
	}
	s.evidence = slices.DeleteFunc(s.evidence, remove)
	if len(s.evidence) == 0 {
		delete(t.suspects, key)
	}
}
