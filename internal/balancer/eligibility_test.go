package balancer

import (
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// Draining, unreachable, backing-off, held and already tried upstreams must be excluded
// and counted by reason; otherwise requests go to upstreams that cannot take them. Other
// tests cover replaced upstreams, old weights and the connection limit. Backoffs and holds
// end with time.
func TestUnusableUpstreamsAreExcluded(t *testing.T) {
	f := newTestFleet(6)
	f.upstreams[0].Draining = true
	f.balancer.HoldUntil("e01", f.now.Add(time.Second))
	_, attempt := f.pick(t, testRequest("x")), f.balancer.Begin(Choice{Upstream: f.upstreams[2]}, testRequest("x"))
	attempt.MarkUnreachable()
	f.balancer.Begin(Choice{Upstream: f.upstreams[3]}, testRequest("x")).RecordRefusal(time.Second)
	f.balancer.RecordVersion("e04", testModel, 2)
	f.balancer.RecordVersion("e05", testModel, 2)
	r := testRequest("x")
	r.TargetVersion, r.MinVersion, r.TriedUpstreams = 2, always(2), []string{"e05"}
	choice := f.pick(t, r)
	if want := (Excluded{Draining: 1, Unreachable: 1, BackingOff: 1, OnHold: 1, Tried: 1}); choice.Upstream.ID != "e04" || choice.Excluded != want {
		t.Errorf("picked %s, want e04 and one draining, unreachable, backing off, held and tried upstream each; excluded upstreams: %v", choice.Upstream.ID, choice.Excluded)
	}
	r.TriedUpstreams = []string{"e04", "e05"}
	if _, ok := f.balancer.Pick(f.upstreams, r); ok {
		t.Error("an upstream was picked although all are excluded")
	}
	f.balancer.MarkReachable("e02")
	f.now = f.now.Add(2 * time.Second)
	r.MinVersion = nil
	if choice := f.pick(t, r); choice.Usable != 3 {
		t.Errorf("%d upstreams usable after the backoff and the hold, want 3: %v", choice.Usable, choice.Excluded)
	}
}

// The connections that an upstream accepts are divided among the gateways. Each gateway
// may open at least one, even if there are more gateways than connections.
func TestConnectionsAreDividedAmongGateways(t *testing.T) {
	f := newTestFleet(2)
	f.balancer.SetGatewayCount(4)
	r := &Request{MaxConnections: 8}
	var attempts []*Attempt
	for range 4 {
		_, attempt := f.begin(t, r)
		attempts = append(attempts, attempt)
	}
	choice, ok := f.balancer.Pick(f.upstreams, r)
	if ok || choice.Excluded != (Excluded{AtConnectionLimit: 2}) {
		t.Errorf("a fifth connection was allowed or the upstreams were excluded for another reason: %v", choice.Excluded)
	}
	attempts[0].Done()
	f.pick(t, r)
	f.balancer.SetGatewayCount(100)
	attempts[1].Done()
	attempts[2].Done()
	attempts[3].Done()
	_, attempt := f.begin(t, r)
	defer attempt.Done()
	if choice := f.pick(t, r); choice.Usable != 1 {
		t.Errorf("%d upstreams usable with one connection per gateway and one connection open, want 1: %v", choice.Usable, choice.Excluded)
	}
}

// An upstream at whose address another incarnation answers must get no requests until it
// is listed with a new start time or address. Otherwise requests reach an engine with an
// unknown state.
func TestReplacedUpstreamIsExcludedUntilListedAgain(t *testing.T) {
	f := newTestFleet(2)
	attempt := f.balancer.Begin(Choice{Upstream: f.upstreams[0]}, testRequest("x"))
	if !attempt.MarkReplaced() || attempt.MarkReplaced() {
		t.Error("MarkReplaced must return true for the first call only")
	}
	f.now = f.now.Add(time.Hour)
	choice := f.pick(t, testRequest("x"))
	if choice.Upstream.ID != "e01" || choice.Excluded != (Excluded{Replaced: 1}) || !f.balancer.IsReplaced("e00") {
		t.Errorf("picked %s, want e01 and e00 excluded and marked as replaced; excluded upstreams: %v", choice.Upstream.ID, choice.Excluded)
	}
	restarted := *f.upstreams[0]
	restarted.StartedMillis = 2
	f.balancer.SyncUpstreams(catalog.NewUpstreams([]*catalog.Upstream{&restarted, f.upstreams[1]}))
	if choice := f.pick(t, testRequest("x")); choice.Usable != 2 {
		t.Errorf("%d upstreams usable after the new incarnation was listed, want 2: %v", choice.Usable, choice.Excluded)
	}
	f.balancer.MarkReplaced("e01", 7)
	if f.balancer.IsReplaced("e01") {
		t.Error("MarkReplaced for an unlisted incarnation marked the listed one")
	}
	f.balancer.MarkReplaced("e01", 1)
	moved := *f.upstreams[1]
	moved.Address = "10.0.0.9:1"
	f.balancer.SyncUpstreams(catalog.NewUpstreams([]*catalog.Upstream{&moved}))
	if f.balancer.IsReplaced("e01") {
		t.Error("an upstream with a new address still counts as replaced")
	}
}

// A minimum version that is only assumed must not cause a refusal when older weights
// could serve the request. A known minimum version must.
func TestAssumedMinVersionIsDroppedWhenNoUpstreamHasIt(t *testing.T) {
	f := newTestFleet(2)
	r := testRequest("x")
	r.MinVersion, r.TargetVersion = always(2), 2
	if _, ok := f.balancer.Pick(f.upstreams, r); ok {
		t.Error("an upstream with weights older than the minimum version was picked")
	}
	r.CertainMinVersion = always(2)
	if _, ok := f.balancer.Pick(f.upstreams, r); ok {
		t.Error("an upstream with weights older than the certain minimum version was picked")
	}
	r.CertainMinVersion = always(0)
	f.pick(t, r)
	f.balancer.RecordVersion("e01", testModel, 2)
	if choice := f.pick(t, r); choice.Upstream.ID != "e01" {
		t.Errorf("picked %s, want e01, the only upstream with the target version", choice.Upstream.ID)
	}
}

// An upstream at the limit that it states is excluded until the given time. Waiting is in vain
// only while no other reason may end sooner.
func TestUpstreamAtItsLimitIsExcluded(t *testing.T) {
	f := newTestFleet(2)
	request := testRequest("x")
	free := f.now.Add(time.Second)
	f.balancer.LimitUntil(f.upstreams[0].ID, free)
	if choice := f.pick(t, request); choice.Upstream != f.upstreams[1] || choice.Excluded.AtLimit != 1 {
		t.Errorf("picked %s, excluded %s, want the other upstream", choice.Upstream.ID, choice.Excluded)
	}
	f.balancer.LimitUntil(f.upstreams[1].ID, free.Add(time.Second))
	choice, ok := f.balancer.Pick(f.upstreams, request)
	if ok || choice.Excluded.LimitedUntil != free {
		t.Errorf("picked an upstream (%v), the first is free at %v, want none and %v", ok, choice.Excluded.LimitedUntil, free)
	}
	if !choice.Excluded.IsWaitInVain(f.now) || choice.Excluded.IsWaitInVain(free) {
		t.Error("a wait must be in vain before the first limit ends and not after it")
	}
	f.balancer.HoldUntil(f.upstreams[1].ID, free)
	f.balancer.LimitUntil(f.upstreams[1].ID, 0)
	if choice, _ := f.balancer.Pick(f.upstreams, request); choice.Excluded.IsWaitInVain(f.now) {
		t.Error("a wait must not be in vain while an upstream is held, which may end sooner")
	}
	f.now = free
	f.pick(t, request)
}

// A request that continues a stream goes to upstreams of its software version only. Waiting is
// in vain if none of them can become usable soon.
func TestPinnedSoftwareVersion(t *testing.T) {
	f := newTestFleet(3)
	f.upstreams[0].Software, f.upstreams[1].Software, f.upstreams[2].Software = "v1", "v2", "v2"
	request := testRequest("x")
	request.SoftwarePinned, request.Software = true, "v1"
	if choice := f.pick(t, request); choice.Upstream != f.upstreams[0] || choice.Excluded.OtherSoftware != 2 {
		t.Errorf("picked %s, excluded %s, want the only upstream of the version", choice.Upstream.ID, choice.Excluded)
	}
	f.balancer.HoldUntil(f.upstreams[0].ID, f.now.Add(time.Second))
	if choice, ok := f.balancer.Pick(f.upstreams, request); ok || choice.Excluded.IsWaitInVain(f.now) {
		t.Error("want no upstream, and a wait for the one that is held")
	}
	f.balancer.HoldUntil(f.upstreams[0].ID, 0)
	request.TriedUpstreams = []string{f.upstreams[0].ID}
	if choice, ok := f.balancer.Pick(f.upstreams, request); ok || !choice.Excluded.IsWaitInVain(f.now) {
		t.Error("want no upstream and no wait, since the only one of the version was tried")
	}
}

// A connection to the former incarnation that breaks after the next one is listed must not exclude
// that one, which no probe would bring back.
func TestAttemptAtFormerIncarnationDoesNotExcludeTheNext(t *testing.T) {
	f := newTestFleet(2)
	request := testRequest("x")
	broken := f.balancer.Begin(Choice{Upstream: f.upstreams[0]}, request)
	misdirected := f.balancer.Begin(Choice{Upstream: f.upstreams[0]}, request)
	restarted := *f.upstreams[0]
	restarted.StartedMillis = 2
	f.balancer.SyncUpstreams(catalog.NewUpstreams([]*catalog.Upstream{&restarted, f.upstreams[1]}))
	if broken.MarkUnreachable() || misdirected.MarkReplaced() {
		t.Error("an attempt at the former incarnation marked the next one")
	}
	if choice := f.pick(t, testRequest("x")); choice.Usable != 2 {
		t.Errorf("%d upstreams usable after the restart, want 2: %v", choice.Usable, choice.Excluded)
	}
}
