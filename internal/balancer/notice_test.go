package balancer

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// A notice that arrives late belongs to the incarnation that sent it, not to the one that
// has replaced it under the same ID.
func TestLateNoticeDoesNotConcernNextIncarnation(t *testing.T) {
	f := newTestFleet(1)
	former := f.upstreams[0]
	next := *former
	next.StartedMillis++
	f.balancer.SyncUpstreams(catalog.NewUpstreams([]*catalog.Upstream{&next}))
	f.balancer.ApplyNotice(former, catalog.Notice{Leaving: true, RetryAfter: time.Hour})
	if !f.balancer.MayCall(next.ID) {
		t.Error("the next incarnation is left alone because of a notice of the former one")
	}
}

// An upstream may state that it is leaving before the list names it.
func TestNoticeBeforeFirstListingHolds(t *testing.T) {
	f := newTestFleet(1)
	f.balancer.ApplyNotice(&catalog.Upstream{ID: "new"}, catalog.Notice{Leaving: true})
	listed := append(f.upstreams, &catalog.Upstream{ID: "new", StartedMillis: 5})
	f.balancer.SyncUpstreams(catalog.NewUpstreams(f.upstreams))
	f.balancer.SyncUpstreams(catalog.NewUpstreams(listed))
	if f.balancer.MayCall("new") {
		t.Error("the upstream is called although it stated that it is leaving")
	}
}

// A shorter time that is stated later does not end a longer one.
func TestLongestPauseHolds(t *testing.T) {
	f := newTestFleet(1)
	f.balancer.ApplyNotice(f.upstreams[0], catalog.Notice{RetryAfter: 3 * time.Second})
	f.balancer.ApplyNotice(f.upstreams[0], catalog.Notice{RetryAfter: time.Second})
	f.now = f.now.Add(2 * time.Second)
	if _, ok := f.balancer.Pick(f.upstreams, testRequest("x")); ok {
		t.Error("the upstream is picked within the longer time")
	}
	f.now = f.now.Add(time.Second)
	if _, ok := f.balancer.Pick(f.upstreams, testRequest("x")); !ok {
		t.Error("the upstream is not picked after the time")
	}
}

// startingAt returns an upstream with another start time.
func startingAt(upstream *catalog.Upstream, at time.Time) *catalog.Upstream {
	next := *upstream
	next.StartedMillis = at.UnixMilli()
	return &next
}

// list makes the balancer follow a list of one upstream.
func (f *testFleet) list(upstream *catalog.Upstream) {
	f.balancer.SyncUpstreams(catalog.NewUpstreams([]*catalog.Upstream{upstream}))
}

// A store that is restored, or that carries a write out late, lists an earlier incarnation for
// a while.
func TestLeavingIsNotForgottenWhileFormerIncarnationIsListed(t *testing.T) {
	f := newTestFleet(1)
	leaving := startingAt(f.upstreams[0], time.Now().Add(-time.Minute))
	former := startingAt(f.upstreams[0], time.Now().Add(-time.Hour))
	f.list(leaving)
	f.balancer.ApplyNotice(leaving, catalog.Notice{Leaving: true, RetryAfter: time.Minute})
	for _, listed := range []*catalog.Upstream{former, leaving, former, leaving} {
		f.list(listed)
		if f.balancer.MayCall(leaving.ID) {
			t.Fatalf("the upstream is called while the list says that it started at %d", listed.StartedMillis)
		}
	}
	// The response to a request that was sent while the former incarnation was listed.
	f.list(former)
	f.balancer.ApplyNotice(former, catalog.Notice{Leaving: true})
	f.list(startingAt(leaving, time.Now().Add(time.Minute)))
	if !f.balancer.MayCall(leaving.ID) {
		t.Error("the next incarnation is left alone")
	}
}

// An upstream that came back under its ID can state that it is leaving before the list names
// it; until then its responses count for the former incarnation.
func TestLeavingBeforeNextIncarnationIsListedHolds(t *testing.T) {
	f := newTestFleet(1)
	former := startingAt(f.upstreams[0], time.Now().Add(-time.Hour))
	f.list(former)
	f.balancer.ApplyNotice(former, catalog.Notice{Leaving: true, RetryAfter: time.Minute})
	f.list(startingAt(former, time.Now().Add(-time.Minute)))
	if f.balancer.MayCall(former.ID) {
		t.Error("the incarnation that stated that it is leaving is called once it is listed")
	}
	f.list(startingAt(former, time.Now().Add(time.Minute)))
	if !f.balancer.MayCall(former.ID) {
		t.Error("the incarnation that started afterwards is left alone")
	}
}
