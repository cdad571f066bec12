package catalog

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
)

func TestRoutePrefersLongestPrefixOfHost(t *testing.T) {
	config := &Config{}
	config.SetRoutes([]*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long", "/y/": ""} {
		got := ""
		if route := config.Route("a.Example", path); route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s: route %q, want %q", path, got, want)
		}
	}
}

func TestSetConfigIgnoresOlderVersions(t *testing.T) {
	c := New()
	for _, step := range []struct {
		version  int64
		accepted bool
	}{{4, true}, {4, false}, {3, false}, {9, true}} {
		if got := c.SetConfig(&Config{Version: step.version}); got != step.accepted {
			t.Errorf("SetConfig with version %d returned %v, want the opposite", step.version, got)
		}
	}
	if got := c.Config().Version; got != 9 {
		t.Errorf("current version is %d, want 9", got)
	}
}

func TestConfirmConfigKeepsLatestInstant(t *testing.T) {
	c := New()
	c.ConfirmConfig(100)
	c.ConfirmConfig(50)
	if age := c.ConfigEvidenceAge(bootclock.Instant(100).Add(time.Second)); age != time.Second {
		t.Errorf("evidence age is %v, want 1s", age)
	}
}

// The age of a version counts from when it became known, also when a newer version
// follows. Setting an older version again has no effect.
func TestMinVersionCountsPreviousVersions(t *testing.T) {
	c := New()
	start := bootclock.Instant(1_000_000_000_000)
	at := func(s int) bootclock.Instant { return start.Add(time.Duration(s) * time.Second) }
	c.SetTargetVersions(nil, at(0))
	c.SetTargetVersions(map[string]int64{"m": 2}, at(1))
	c.SetTargetVersions(map[string]int64{"m": 3}, at(6))
	c.SetTargetVersions(map[string]int64{"m": 2}, at(7))
	for second, want := range map[int]int64{5: 0, 10: 0, 12: 2, 16: 2, 18: 3} {
		if got := c.TargetVersion("m").MinVersion(at(second), 11*time.Second); got != want {
			t.Errorf("minimum version at %d s: %d, want %d", second, got, want)
		}
	}
}

// A version that was published before this process started counts as old until a peer
// reports its age.
func TestInitialTargetVersionsCountAsOld(t *testing.T) {
	c := New()
	now := bootclock.Instant(1_000_000_000_000)
	c.SetTargetVersions(map[string]int64{"m": 5}, now)
	if got := c.TargetVersion("m"); !got.AgeAssumed || got.MinVersion(now, time.Minute) != 5 {
		t.Errorf("%+v", got)
	}
	c.MergeVersionAge("m", DatedVersion{Version: 4, KnownSince: now})
	if got := c.TargetVersion("m"); !got.AgeAssumed {
		t.Error("the age of an earlier version was applied to the target version")
	}
	c.MergeVersionAge("m", DatedVersion{Version: 5, KnownSince: now.Add(-time.Second)})
	if got := c.TargetVersion("m"); got.AgeAssumed || got.MinVersion(now, 2*time.Second) != 0 {
		t.Errorf("%+v", got)
	}
	c.MergeVersionAge("m", DatedVersion{Version: 5, KnownSince: now})
	if got := c.TargetVersion("m"); got.KnownSince != now.Add(-time.Second) {
		t.Error("a report from a peer that learned of the version later moved KnownSince to a later time")
	}
}

// A process that starts after a newer version was published learns of the versions
// before it from its peers, so its minimum version is the same as theirs.
func TestPeersReportAgesOfPreviousVersions(t *testing.T) {
	start := bootclock.Instant(1_000_000_000_000)
	at := func(s int) bootclock.Instant { return start.Add(time.Duration(s) * time.Second) }
	peer, restarted := New(), New()
	peer.SetTargetVersions(nil, at(0))
	peer.SetTargetVersions(map[string]int64{"m": 2}, at(2))
	peer.SetTargetVersions(map[string]int64{"m": 3}, at(10))
	restarted.SetTargetVersions(map[string]int64{"m": 3}, at(11))
	for _, dated := range peer.TargetVersion("m").DatedVersions() {
		restarted.MergeVersionAge("m", dated)
	}
	for second, want := range map[int]int64{13: 0, 17: 2, 23: 2, 25: 3} {
		if got := restarted.TargetVersion("m").MinVersion(at(second), 14*time.Second); got != want {
			t.Errorf("minimum version at %d s: %d, want %d", second, got, want)
		}
	}
	restarted.SetTargetVersions(map[string]int64{"m": 4}, at(12))
	if got := restarted.TargetVersion("m").MinVersion(at(17), 14*time.Second); got != 2 {
		t.Errorf("minimum version after a newer version was published: %d, want 2", got)
	}
}

// Gateways that start take the newest version that the store names or that an engine states for the
// target, in whatever order they learn of them, and count it as old.
func TestTargetIsNoOlderThanWeightsOfEngines(t *testing.T) {
	start := bootclock.Instant(1_000_000_000_000)
	config := &Config{Version: 1, Pools: map[string]*Pool{"llm": {Name: "llm", Engine: &Engine{Models: []string{"m"}}}, "plain": {Name: "plain"}}}
	list := []*Upstream{
		{ID: "a", Pool: "llm", ModelVersions: map[string]int64{"m": 7, "other": 90}},
		{ID: "b", Pool: "plain", ModelVersions: map[string]int64{"m": 91}},
		{ID: "c", Pool: "unknown", ModelVersions: map[string]int64{"m": 92}},
	}
	steps := map[string]func(*Catalog){
		"config":    func(c *Catalog) { c.SetConfig(config) },
		"upstreams": func(c *Catalog) { c.SetUpstreams(list) },
		"versions":  func(c *Catalog) { c.SetTargetVersions(map[string]int64{"m": 5}, start) },
	}
	for _, order := range [][]string{
		{"config", "upstreams", "versions"},
		{"config", "versions", "upstreams"},
		{"upstreams", "config", "versions"},
		{"upstreams", "versions", "config"},
		{"versions", "config", "upstreams"},
		{"versions", "upstreams", "config"},
	} {
		c := New()
		for _, step := range order {
			steps[step](c)
		}
		if got := c.TargetVersion("m"); got.Version != 7 || !got.AgeAssumed {
			t.Errorf("%v: target %+v, want version 7 of an assumed age", order, got)
		}
		if got := c.TargetVersion("other"); got.Version != 0 {
			t.Errorf("%v: target %+v of a model that the pool does not have, want none", order, got)
		}
		c.SetTargetVersions(map[string]int64{"m": 6}, start)
		if got := c.TargetVersion("m").Version; got != 7 {
			t.Errorf("%v: target %d after the store named an older version, want 7", order, got)
		}
	}
}

// A gateway that is started again alone learns of the newest version from the others, too, when no
// engine has it yet.
func TestNewerTargetOfPeerIsTakenOver(t *testing.T) {
	c, now := New(), bootclock.Instant(1_000_000_000_000)
	c.SetTargetVersions(map[string]int64{"m": 4}, now)
	c.MergeVersionAge("m", DatedVersion{Version: 5, KnownSince: now.Add(-time.Second)})
	if got := c.TargetVersion("m"); got.Version != 5 || got.AgeAssumed || got.KnownSince != now.Add(-time.Second) {
		t.Errorf("target %+v, want version 5 since a second ago", got)
	}
}
