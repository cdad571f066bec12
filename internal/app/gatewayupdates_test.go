package app

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

// A peer learns which ages are known and which are assumed: to report an assumed one as known would
// make weights of any age look recent after a restart of all gateways.
func TestPeersLearnWhichAgesAreAssumed(t *testing.T) {
	sender, receiver, now := catalog.New(), catalog.New(), bootclock.Now()
	sender.SetTargetVersions(map[string]int64{"m": 5}, now.Add(-8*time.Second))
	sender.SetTargetVersions(map[string]int64{"m": 6}, now.Add(-2*time.Second))
	receiver.SetTargetVersions(map[string]int64{"m": 5}, now)
	known, assumed := encodeTargetVersions(sender.TargetVersions(), now)
	for _, message := range known {
		receiver.MergeVersionAge(message.Model, decodeDatedVersion(message, now, false))
	}
	for _, message := range assumed {
		receiver.MergeVersionAge(message.Model, decodeDatedVersion(message, now, true))
	}
	target := receiver.TargetVersion("m")
	want := []catalog.DatedVersion{
		{Version: 5, KnownSince: now.Add(-8 * time.Second), AgeAssumed: true},
		{Version: 6, KnownSince: now.Add(-2 * time.Second)},
	}
	got := target.DatedVersions()
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
