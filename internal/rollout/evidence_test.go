package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Buckets must be ordered, narrow enough to tell 1.7 times a duration from it, and cover 1 ms to
// 60 s; otherwise slow responses are counted as usual ones.
func TestBuckets(t *testing.T) {
	last := 0
	for d := time.Millisecond; d <= time.Minute; d += d / 50 {
		bucket := BucketOf(d)
		if bucket < last || bucket >= BucketCount {
			t.Fatalf("%v: got bucket %d after %d", d, bucket, last)
		}
		if low, high := BucketBound(bucket), BucketBound(bucket+1); d+time.Nanosecond < low || d > high {
			t.Errorf("%v: got a bucket from %v to %v", d, low, high)
		}
		last = bucket
	}
	if got := []int{BucketOf(-1), BucketOf(0), BucketOf(time.Hour)}; got[0] != 0 || got[1] != 0 || got[2] != BucketCount-1 {
		t.Errorf("got buckets %v for durations outside of the range", got)
	}
}

// The pooled counts must be the sum over all incarnations whatever the order in which reports
// arrive, also when some are repeated or lost, and must never fall.
func TestPoolSumsReorderedReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	type report struct {
		gateway     string
		incarnation int64
		evidence    Evidence
	}
	var reports []report
	want := make(Evidence)
	for gateway := range 3 {
		for incarnation := range int64(3) {
			counted := make(Evidence)
			for range 5 {
				counts := counted.Of("r", GroupTarget)
				counts.Sent += 2
				counts.Total++
				counts.Durations[gateway]++
				reports = append(reports, report{fmt.Sprint(gateway), incarnation, counted.Clone()})
			}
			reports = append(reports, reports[len(reports)-1])
			want.Add(counted)
		}
	}
	for range 50 {
		random.Shuffle(len(reports), func(i, k int) { reports[i], reports[k] = reports[k], reports[i] })
		var pool PooledEvidence
		var last int64
		for _, r := range reports {
			pool.Merge(r.gateway, r.incarnation, r.evidence)
			if sent := pool.Sum().Sent(GroupTarget); sent < last {
				t.Fatalf("sent requests fell from %d to %d", last, sent)
			} else {
				last = sent
			}
		}
		if got := pool.Sum(); *got["r"] != *want["r"] {
			t.Fatalf("got %v, want %v", *got["r"], *want["r"])
		}
	}
}
