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
