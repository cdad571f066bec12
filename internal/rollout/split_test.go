package rollout

import (
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// The split must follow the share, keep a stream on the target while the share grows, and be
// independent of the split between pools, which hashes the same ID.
func TestToTarget(t *testing.T) {
	const ids = 20_000
	var low, high, lowOfPool, pool int
	for i := range ids {
		id := fmt.Sprint("stream-", i)
		if ToTarget(id, 0) || !ToTarget(id, 1) {
			t.Fatalf("%s: the shares 0 and 1 are not exact", id)
		}
		if ToTarget(id, 0.05) {
			low++
			if !ToTarget(id, 0.3) {
				t.Errorf("%s left the target when the share grew", id)
			}
		}
		if ToTarget(id, 0.3) {
			high++
		}
		if xxhash.Sum64String(id)%10_000 < 1000 {
			pool++
			if ToTarget(id, 0.3) {
				lowOfPool++
			}
		}
	}
	for _, c := range []struct {
		got, of int
		want    float64
	}{{low, ids, 0.05}, {high, ids, 0.3}, {lowOfPool, pool, 0.3}} {
		if got := float64(c.got) / float64(c.of); math.Abs(got-c.want) > 0.07*c.want {
			t.Errorf("got a share of %.4f, want %.2f", got, c.want)
		}
	}
}

// A canary must get about the load of an upstream of the others, so that faults under load show.
func TestCanaryCount(t *testing.T) {
	for _, c := range []struct {
		share                 float64
		others, targets, want int
	}{
		{0, 10, 10, 1},
		{0.05, 10, 10, 1},
		{0.05, 100, 100, 5},
		{0.1, 10, 10, 1},
		{0.6, 10, 10, 10},
		{0.3, 10, 2, 2},
		{1, 10, 7, 7},
		{0.5, 0, 3, 3},
		{0.5, 4, 0, 1},
	} {
		if got := CanaryCount(c.share, c.others, c.targets); got != c.want {
			t.Errorf("share %v, %d others, %d targets: got %d canaries, want %d", c.share, c.others, c.targets, got, c.want)
		}
	}
	few, more := Canaries("order", []string{"a", "b", "c"}, 1), Canaries("order", []string{"c", "b", "a"}, 2)
	if len(few) != 1 || len(more) != 2 || few[0] != more[0] {
		t.Errorf("got %v and %v, want the first canary kept", few, more)
	}
}
