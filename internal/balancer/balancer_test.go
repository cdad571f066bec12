package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const testModel = "m"

// testFleet is a balancer over some engines with a clock that the tests set.
type testFleet struct {
	now       bootclock.Instant
	balancer  *Balancer
	upstreams []*catalog.Upstream
}

// newTestFleet returns a fleet whose engines are in the zone of the balancer and have
// weights version 1.
func newTestFleet(engines int) *testFleet {
	f := &testFleet{now: 1_000_000_000_000}
	f.balancer = New("a", func() bootclock.Instant { return f.now })
	for i := range engines {
		f.upstreams = append(f.upstreams, &catalog.Upstream{
			ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Capacity: 64,
			StartedMillis: 1, ModelVersions: map[string]int64{testModel: 1},
		})
	}
	f.balancer.SyncUpstreams(catalog.NewUpstreams(f.upstreams))
	return f
}

// testRequest returns a request with a prompt of three parts: one that is common to all
// requests, one that the requests on a topic share, and one of its own.
func testRequest(topic string) *Request {
	return &Request{
		Model: testModel, Salt: func(v int64) string { return fmt.Sprint("w", v) }, PromptTokens: 9000, CacheTokens: 160_000,
		Parts: []Part{{"rules", 2500}, {topic, 3800}, {topic + "-own", 2700}},
	}
}

// always returns a Request.MinVersion that is the same at each instant.
func always(version int64) func(bootclock.Instant) int64 {
	return func(bootclock.Instant) int64 { return version }
}

// pick returns the choice for a request and fails the test when there is none.
func (f *testFleet) pick(t *testing.T, r *Request) Choice {
	t.Helper()
	choice, ok := f.balancer.Pick(f.upstreams, r)
	if !ok {
		t.Fatalf("no upstream can take the request: %v", choice.Excluded)
	}
	return choice
}

// begin picks an upstream for a request and begins an attempt there.
func (f *testFleet) begin(t *testing.T, r *Request) (Choice, *Attempt) {
	choice := f.pick(t, r)
	return choice, f.balancer.Begin(choice, r)
}

// Requests with a common prefix must go to the engine that has it cached, until the queue
// delay there exceeds the cost of another prefill. Otherwise several engines prefill the
// prefix, or one engine becomes overloaded.
func TestSharedPrefixStaysAtOneEngineUntilItIsBusy(t *testing.T) {
	f := newTestFleet(6)
	first, attempt := f.begin(t, testRequest("x"))
	attempt.RecordFirstResponse()
	attempt.Done()
	for range 5 {
		choice, attempt := f.begin(t, testRequest("x"))
		if choice.Upstream.ID != first.Upstream.ID {
			t.Fatalf("request went to %s, but the prefix is cached at %s", choice.Upstream.ID, first.Upstream.ID)
		}
		attempt.RecordFirstResponse()
		attempt.Done()
	}
	moved := false
	for range 60 {
		choice, _ := f.begin(t, testRequest("x"))
		moved = moved || choice.Upstream.ID != first.Upstream.ID
	}
	if !moved {
		t.Error("all of 60 waiting requests went to one engine")
	}
}

// Requests that share only a short prefix must not gather at the engine that has it
// cached.
func TestLoadIsSpread(t *testing.T) {
	f := newTestFleet(6)
	count := make(map[string]int)
	for i := range 120 {
		choice, _ := f.begin(t, testRequest(fmt.Sprint("thing", i)))
		count[choice.Upstream.ID]++
	}
	for id, n := range count {
		if n > 40 {
			t.Errorf("%s got %d of the 120 requests, want at most 40", id, n)
		}
	}
	if len(count) != 6 {
		t.Errorf("%d of 6 engines got requests, want all", len(count))
	}
}

// Cached parts are valid only for the weights with which they were computed. An engine
// must not copy parts of another version, nor parts that its source has dropped because
// of new weights.
func TestPartsAreCopiedOnlyUnderTheSameWeights(t *testing.T) {
	f := newTestFleet(2)
	first, attempt := f.begin(t, testRequest("x"))
	attempt.RecordFirstResponse()
	for range 30 {
		f.balancer.Begin(first, testRequest("other"))
	}
	choice := f.pick(t, testRequest("x"))
	if choice.Upstream.ID == first.Upstream.ID || choice.CopySource != first.Upstream.Address {
		t.Fatalf("picked %s with a copy from %q, want an idle engine that copies from the busy one", choice.Upstream.ID, choice.CopySource)
	}
	f.balancer.RecordVersion(choice.Upstream.ID, testModel, 2)
	if choice := f.pick(t, testRequest("x")); choice.Version == 2 && choice.CopySource != "" {
		t.Errorf("an engine with weights version 2 copies parts of version 1 from %q", choice.CopySource)
	}
	f.balancer.RecordVersion(first.Upstream.ID, testModel, 2)
	if choice := f.pick(t, testRequest("x")); choice.CopySource != "" {
		t.Errorf("parts are copied from %q after new weights dropped them there", choice.CopySource)
	}
}

// An engine evicts parts without a report. After it has prefilled many other prompts, the
// parts must count as evicted.
func TestPartsCountAsEvictedAfterOtherPrompts(t *testing.T) {
	f := newTestFleet(1)
	_, attempt := f.begin(t, testRequest("x"))
	attempt.RecordFirstResponse()
	attempt.Done()
	if got := f.pick(t, testRequest("x")).MissingTokens; got != 0 {
		t.Errorf("%d tokens of the prompt missing after its prefill, want 0", got)
	}
	for i := range 12 {
		_, attempt := f.begin(t, testRequest(fmt.Sprint("y", i)))
		attempt.Done()
	}
	if got := f.pick(t, testRequest("x")).MissingTokens; got < 6000 {
		t.Errorf("%d tokens missing after 12 other prompts, want at least 6000", got)
	}
}

// A store is asked once to save a prompt, is the source of a copy while it holds all
// leading parts, and is not used after it was disabled.
func TestStoreIsUsedWhileEnabled(t *testing.T) {
	f := newTestFleet(1)
	store := &catalog.CacheStore{Address: "10.9.9.9:1", TokensPerMS: 1000}
	f.balancer.EnableStore(*store)
	if choice := f.pick(t, testRequest("x")); choice.SaveStore != store.Address || choice.CopySource != "" {
		t.Errorf("choice for a prompt that is not stored: %+v, want a save and no copy", choice)
	}
	if choice := f.pick(t, testRequest("x")); choice.SaveStore != "" {
		t.Error("a second save was requested before the first one could finish")
	}
	for _, part := range []string{"rules", "x"} {
		f.balancer.RecordStoredPart(store.Address, "w1", part, true)
	}
	if choice := f.pick(t, testRequest("x")); choice.CopySource != store.Address || choice.CopyTokens != 6300 {
		t.Errorf("choice for a prompt in the store: %+v, want a copy of 6300 tokens", choice)
	}
	f.balancer.RecordStoredPart(store.Address, "w1", "rules", false)
	if choice := f.pick(t, testRequest("x")); choice.CopySource != "" {
		t.Error("a copy was planned although the store dropped the first part")
	}
	f.balancer.RecordStoredPart(store.Address, "w1", "rules", true)
	f.balancer.DisableStore(store.Address)
	if choice := f.pick(t, testRequest("x")); choice.CopySource != "" || choice.SaveStore != "" {
		t.Error("a disabled store is used")
	}
}

// Each prompt is saved in one of several stores. When a store is disabled, only its own
// prompts may move; otherwise the parts in the other stores are no longer found.
func TestPromptsAreDividedAmongStores(t *testing.T) {
	f := newTestFleet(1)
	for i := range 3 {
		f.balancer.EnableStore(catalog.CacheStore{Address: fmt.Sprintf("10.9.9.%d:1", i), TokensPerMS: 1000})
	}
	storeByTopic := make(map[string]string)
	count := make(map[string]int)
	for i := range 60 {
		topic := fmt.Sprint("x", i)
		storeByTopic[topic] = f.pick(t, testRequest(topic)).SaveStore
		count[storeByTopic[topic]]++
	}
	if len(count) != 3 || count[""] > 0 {
		t.Errorf("prompts per store: %v, want three stores with all prompts", count)
	}
	const disabled = "10.9.9.0:1"
	f.balancer.DisableStore(disabled)
	f.now = f.now.Add(2 * saveRetryInterval)
	for topic, store := range storeByTopic {
		if got := f.pick(t, testRequest(topic)).SaveStore; store != disabled && got != store || got == disabled || got == "" {
			t.Errorf("%s moved from store %s to store %s after one store was disabled", topic, store, got)
		}
	}
}

// In a large fleet the changes of a store arrive late. Gateways therefore also request
// parts that the store is not known to hold, but only long ones and only while the link
// of the store is free. In a small fleet they do not.
func TestLargeFleetsCopySpeculativelyFromStore(t *testing.T) {
	f := newTestFleet(4)
	store := catalog.CacheStore{Address: "10.9.9.9:1", Zone: "a", TokensPerMS: 1000}
	f.balancer.EnableStore(store)
	f.balancer.SetGatewayCount(32)
	choice, _ := f.begin(t, testRequest("x"))
	if choice.CopySource != store.Address || choice.CopyTokens != 0 || choice.MissingTokens != 9000 {
		t.Errorf("choice in a large fleet: %+v, want a speculative copy from the store", choice)
	}
	if choice := f.pick(t, testRequest("y")); choice.CopySource != "" {
		t.Error("a copy was planned while the link of the store is busy with the first one")
	}
	f.now = f.now.Add(time.Second)
	shortRequest := testRequest("z")
	shortRequest.Parts = []Part{{"style", 100}, {"z-own", 900}}
	if choice := f.pick(t, shortRequest); choice.CopySource != "" {
		t.Error("a speculative copy of a short part was planned")
	}
	f.balancer.SetGatewayCount(5)
	if choice := f.pick(t, testRequest("z")); choice.CopySource != "" {
		t.Error("a speculative copy was planned in a small fleet")
	}
}

// A failing upstream is avoided. Its failure rate must decay without new outcomes, since
// an upstream that gets no requests has none, and would never be tried again.
func TestFailureRateDecays(t *testing.T) {
	f := newTestFleet(2)
	for range 3 {
		attempt := f.balancer.Begin(Choice{Upstream: f.upstreams[0]}, &Request{})
		attempt.RecordFailure()
		attempt.Done()
	}
	plainRequest := &Request{}
	if choice := f.pick(t, plainRequest); choice.Upstream.ID != "e01" {
		t.Errorf("picked %s, which failed three times", choice.Upstream.ID)
	}
	f.now = f.now.Add(time.Minute)
	seen := make(map[string]bool)
	for range 100 {
		choice, attempt := f.begin(t, plainRequest)
		attempt.Done()
		seen[choice.Upstream.ID] = true
	}
	if !seen["e00"] {
		t.Error("an upstream that failed a minute ago is not tried again")
	}
}

// A new incarnation of an upstream must start with an empty cache and the listed
// versions, which may be older than those of the previous one. Otherwise requests go
// there for parts and weights that it does not have.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	f := newTestFleet(1)
	_, attempt := f.begin(t, testRequest("x"))
	attempt.RecordFirstResponse()
	f.balancer.RecordVersion("e00", testModel, 3)
	restarted := *f.upstreams[0]
	restarted.StartedMillis, restarted.ModelVersions = 2, map[string]int64{testModel: 2}
	f.upstreams[0] = &restarted
	f.balancer.SyncUpstreams(catalog.NewUpstreams(f.upstreams))
	choice := f.pick(t, testRequest("x"))
	if choice.Version != 2 || choice.MissingTokens != 9000 {
		t.Errorf("got version %d and %d missing tokens, want version 2 and 9000", choice.Version, choice.MissingTokens)
	}
}

// A gateway must use the cache reports of another one, and each report is returned only
// once.
func TestCacheReportsReachOtherGateways(t *testing.T) {
	f, other := newTestFleet(2), newTestFleet(2)
	_, attempt := f.begin(t, testRequest("x"))
	attempt.RecordFirstResponse()
	cacheReports, next := f.balancer.CacheReportsSince(0)
	if len(cacheReports) != 1 {
		t.Fatalf("got %d cache reports, want 1", len(cacheReports))
	}
	for _, r := range cacheReports {
		other.balancer.ApplyCacheReport(r)
	}
	if choice := other.pick(t, testRequest("x")); choice.MissingTokens > 0 && choice.CopySource == "" {
		t.Errorf("the cache report was not used: %+v", choice)
	}
	if again, _ := f.balancer.CacheReportsSince(next); len(again) != 0 {
		t.Errorf("%d cache reports were returned a second time", len(again))
	}
}

// BenchmarkPick measures a Pick among the 60 engines of a large fleet.
func BenchmarkPick(b *testing.B) {
	fleet := newTestFleet(60)
	for i := range 200 {
		r := testRequest(fmt.Sprint("thing", i))
		choice, _ := fleet.balancer.Pick(fleet.upstreams, r)
		attempt := fleet.balancer.Begin(choice, r)
		attempt.RecordFirstResponse()
		attempt.Done()
	}
	r := testRequest("thing7")
	b.ReportAllocs()
	for b.Loop() {
		fleet.balancer.Pick(fleet.upstreams, r)
	}
}

// Requests can be picked for an upstream between the arrival of a list and SyncUpstreams.
// With an unknown version, parts of all versions would have one salt.
func TestListedVersionIsKnownBeforeListIsSynced(t *testing.T) {
	f := newTestFleet(1)
	added := &catalog.Upstream{ID: "added", StartedMillis: 5, ModelVersions: map[string]int64{testModel: 3}}
	choice, ok := f.balancer.Pick([]*catalog.Upstream{added}, testRequest("x"))
	if !ok || choice.Version != 3 {
		t.Errorf("picked %v with version %d, want version 3", ok, choice.Version)
	}
}
