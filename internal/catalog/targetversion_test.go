package catalog

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

const testStalenessLimit = 10 * time.Second

// A version that has been known for longer than any retention stays binding when the next one is
// published.
func TestOldVersionStaysBindingWhenNextIsPublished(t *testing.T) {
	for _, pause := range []time.Duration{11 * time.Second, 90 * time.Second, 24 * time.Hour} {
		c, start := New(), bootclock.Instant(time.Hour)
		c.SetTargetVersions(nil, start)
		c.SetTargetVersions(map[string]int64{"m": 4}, start)
		c.SetTargetVersions(map[string]int64{"m": 5}, start.Add(time.Second))
		named := start.Add(time.Second).Add(pause)
		c.SetTargetVersions(map[string]int64{"m": 6}, named)
		target := c.TargetVersion("m")
		for _, age := range []time.Duration{0, time.Second, 9 * time.Second} {
			if got := target.MinVersion(named.Add(age), testStalenessLimit); got != 5 {
				t.Errorf("version 6 was published %v after 5: minimum version %v later is %d, want 5", pause, age, got)
			}
		}
		if at, ok := target.OutdatedAt(4, testStalenessLimit); !ok || named.Before(at) {
			t.Errorf("version 4 is out of date at %v (%v), want before %v, when 6 was published", at, ok, named)
		}
	}
}

// The versions that are kept do not become more with time.
func TestSupersededVersionsAreDropped(t *testing.T) {
	c, at := New(), bootclock.Instant(time.Hour)
	c.SetStalenessLimit(testStalenessLimit)
	c.SetTargetVersions(nil, at)
	for version := range int64(1000) {
		at = at.Add(4 * time.Second)
		c.SetTargetVersions(map[string]int64{"m": version + 1}, at)
	}
	if got := len(c.TargetVersion("m").DatedVersions()); got > 4 {
		t.Errorf("%d versions are kept, want the target and those of the last %v with the one before them", got, testStalenessLimit)
	}
}

// What a process read when it started stays binding when the next version is published, at the
// latest from the bound after the reading on.
func TestVersionReadAtStartStaysBindingWhenNextIsPublished(t *testing.T) {
	for name, learn := range map[string]func(c *Catalog, at bootclock.Instant){
		"from the store": func(c *Catalog, at bootclock.Instant) { c.SetTargetVersions(map[string]int64{"m": 6}, at) },
		"from a peer": func(c *Catalog, at bootclock.Instant) {
			c.MergeVersionAge("m", DatedVersion{Version: 6, KnownSince: at})
		},
	} {
		c, start := New(), bootclock.Instant(time.Hour)
		c.SetTargetVersions(map[string]int64{"m": 5}, start)
		learn(c, start.Add(20*time.Second))
		target := c.TargetVersion("m")
		for _, age := range []time.Duration{20 * time.Second, 29 * time.Second} {
			if got := target.CertainMinVersion(start.Add(age), testStalenessLimit); got != 5 {
				t.Errorf("%s: minimum version %v after the start is %d, want 5", name, age, got)
			}
		}
		if got := target.CertainMinVersion(start.Add(30*time.Second), testStalenessLimit); got != 6 {
			t.Errorf("%s: minimum version 30s after the start is %d, want 6", name, got)
		}
	}
}

// A version whose age is unknown is binding from the bound after it was first read on: no lack of
// newer weights lifts that. Before, it is only preferred.
func TestUnknownAgeIsBindingOnceReadLongAgo(t *testing.T) {
	c, start := New(), bootclock.Instant(time.Hour)
	c.SetTargetVersions(map[string]int64{"m": 5}, start)
	target := c.TargetVersion("m")
	for age, want := range map[time.Duration]int64{0: 0, 9 * time.Second: 0, 10 * time.Second: 5} {
		if got := target.CertainMinVersion(start.Add(age), testStalenessLimit); got != want {
			t.Errorf("%v after the start %d is certain to be the minimum version, want %d", age, got, want)
		}
		if got := target.MinVersion(start.Add(age), testStalenessLimit); got != 5 {
			t.Errorf("%v after the start the minimum version is %d, want 5", age, got)
		}
	}
	if at, ok := target.OutdatedAt(4, testStalenessLimit); !ok || at != start.Add(testStalenessLimit) {
		t.Errorf("version 4 is out of date at %v (%v), want 10s after the start", at.Sub(start), ok)
	}
}

// Gateways that all started again tell each other when they read a version, which does not make
// its age known.
func TestPeersReadingAtStartLeavesAgeUnknown(t *testing.T) {
	start := bootclock.Instant(time.Hour)
	first, second := New(), New()
	first.SetTargetVersions(map[string]int64{"m": 5}, start)
	second.SetTargetVersions(map[string]int64{"m": 5}, start.Add(3*time.Second))
	for _, dated := range first.TargetVersion("m").DatedVersions() {
		second.MergeVersionAge("m", dated)
	}
	target := second.TargetVersion("m")
	if !target.AgeAssumed || target.MinVersion(start, testStalenessLimit) != 5 {
		t.Errorf("target %+v, want version 5 of an assumed age", target)
	}
	if got := target.CertainMinVersion(start.Add(testStalenessLimit), testStalenessLimit); got != 5 {
		t.Errorf("10s after the first reading the minimum version is %d, want 5", got)
	}
}

// A list of engines that is read after the target version does not make its age forgotten.
func TestAgeOfVersionStaysWhenEnginesStateNewerOne(t *testing.T) {
	c, start := New(), bootclock.Now()
	c.SetTargetVersions(map[string]int64{"m": 5}, start)
	c.MergeVersionAge("m", DatedVersion{Version: 5, KnownSince: start.Add(-testStalenessLimit)})
	c.SetConfig(&Config{Version: 1, Pools: map[string]*Pool{"llm": {Name: "llm", Engine: &Engine{Models: []string{"m"}}}}})
	c.SetUpstreams([]*Upstream{{ID: "a", Pool: "llm", ModelVersions: map[string]int64{"m": 7}}})
	if got := c.TargetVersion("m").CertainMinVersion(start, testStalenessLimit); got != 5 {
		t.Errorf("minimum version %d, want 5, which is known for 10s", got)
	}
}
