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
