package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/catalog"
)

const testModel = "m"

// bench is a chooser over some engines with a clock that tests move.
type bench struct {
	now      bootclock.Instant
	balancer *Balancer
	list     []*catalog.Upstream
}

func newBench(engines int) *bench {
	b := &bench{now: 1_000_000_000_000}
	b.balancer = New("a", func() bootclock.Instant { return b.now })
	for i := range engines {
		b.list = append(b.list, &catalog.Upstream{
			ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Capacity: 64,
			StartedMillis: 1, ModelVersions: map[string]int64{testModel: 1},
		})
	}
	b.balancer.Retain(catalog.NewUpstreams(b.list))
	return b
}

func request(thing string) *Request {
	return &Request{
		Model: testModel, Salt: func(v int64) string { return fmt.Sprint("w", v) }, PromptTokens: 9000, CacheTokens: 160_000,
		Parts: []Part{{"rules", 2500}, {thing, 3800}, {thing + "-own", 2700}},
	}
}

func (b *bench) pick(t *testing.T, r *Request) Choice {
	t.Helper()
	choice, ok := b.balancer.Pick(b.list, r)
	if !ok {
		t.Fatalf("no upstream: %v", choice.Excluded)
	}
	return choice
}

func (b *bench) run(t *testing.T, r *Request) (Choice, *Attempt) {
	choice := b.pick(t, r)
	return choice, b.balancer.Begin(choice, r)
}

// Prompts with a common prefix go where it was read, until that engine has more
// work ahead than reading it again costs.
func TestPrefixesStayAtTheirEngineUntilItIsBusy(t *testing.T) {
	b := newBench(6)
	first, attempt := b.run(t, request("x"))
	attempt.RecordFirstResponse()
	attempt.Done()
	for range 5 {
		choice, attempt := b.run(t, request("x"))
		if choice.Upstream.ID != first.Upstream.ID {
			t.Fatalf("went to %s, the prefix is at %s", choice.Upstream.ID, first.Upstream.ID)
		}
		attempt.RecordFirstResponse()
		attempt.Done()
	}
	moved := false
	for range 60 {
		choice, _ := b.run(t, request("x"))
		moved = moved || choice.Upstream.ID != first.Upstream.ID
	}
	if !moved {
		t.Error("60 waiting requests stayed at one engine")
	}
}

func TestLoadIsSpread(t *testing.T) {
	b := newBench(6)
	count := make(map[string]int)
	for i := range 120 {
		choice, _ := b.run(t, request(fmt.Sprint("thing", i)))
		count[choice.Upstream.ID]++
	}
	for id, n := range count {
		if n > 40 {
			t.Errorf("%s got %d of 120", id, n)
		}
	}
	if len(count) != 6 {
		t.Errorf("%d of 6 engines were used", len(count))
	}
}

func TestPartsAreCopiedOnlyUnderTheSameWeights(t *testing.T) {
	b := newBench(2)
	first, attempt := b.run(t, request("x"))
	attempt.RecordFirstResponse()
	for range 30 {
		b.balancer.Begin(first, request("other"))
	}
	choice := b.pick(t, request("x"))
	if choice.Upstream.ID == first.Upstream.ID || choice.CopySource != first.Upstream.Address {
		t.Fatalf("chose %s with a copy from %q", choice.Upstream.ID, choice.CopySource)
	}
	b.balancer.RecordVersion(choice.Upstream.ID, testModel, 2)
	if choice := b.pick(t, request("x")); choice.Version == 2 && choice.CopySource != "" {
		t.Errorf("weights 2 copy parts of weights 1 from %q", choice.CopySource)
	}
	b.balancer.RecordVersion(first.Upstream.ID, testModel, 2)
	if choice := b.pick(t, request("x")); choice.CopySource != "" {
		t.Errorf("parts that were dropped are copied from %q", choice.CopySource)
	}
}

// An engine's parts are not relied on once much else was read there.
func TestPartsAreForgottenAsMemoryTurnsOver(t *testing.T) {
	b := newBench(1)
	_, attempt := b.run(t, request("x"))
	attempt.RecordFirstResponse()
	attempt.Done()
	if got := b.pick(t, request("x")).MissingTokens; got != 0 {
		t.Errorf("%d tokens missing right after", got)
	}
	for i := range 12 {
		_, attempt := b.run(t, request(fmt.Sprint("y", i)))
		attempt.Done()
	}
	if got := b.pick(t, request("x")).MissingTokens; got < 6000 {
		t.Errorf("%d tokens missing after 12 other prompts, want the part at least", got)
	}
}

func TestStoreOfPartsIsUsedWhileItLives(t *testing.T) {
	b := newBench(1)
	store := &catalog.CacheStore{Address: "10.9.9.9:1", TokensPerMS: 1000}
	b.balancer.EnableStore(*store)
	if choice := b.pick(t, request("x")); choice.SaveStore != store.Address || choice.CopySource != "" {
		t.Errorf("first prompt: %+v", choice)
	}
	if choice := b.pick(t, request("x")); choice.SaveStore != "" {
		t.Error("saved twice at once")
	}
	for _, part := range []string{"rules", "x"} {
		b.balancer.RecordStoredPart(store.Address, "w1", part, true)
	}
	if choice := b.pick(t, request("x")); choice.CopySource != store.Address || choice.CopyTokens != 6300 {
		t.Errorf("stored prompt: %+v", choice)
	}
	b.balancer.RecordStoredPart(store.Address, "w1", "rules", false)
	if choice := b.pick(t, request("x")); choice.CopySource != "" {
		t.Error("copied although the first part was dropped")
	}
	b.balancer.RecordStoredPart(store.Address, "w1", "rules", true)
	b.balancer.DisableStore(store.Address)
	if choice := b.pick(t, request("x")); choice.CopySource != "" || choice.SaveStore != "" {
		t.Error("a store that is gone is used")
	}
}

// Several stores share the prompts, each of which has one store; a store that is
// lost leaves the prompts of the others where they are.
func TestStoresSharePrompts(t *testing.T) {
	b := newBench(1)
	for i := range 3 {
		b.balancer.EnableStore(catalog.CacheStore{Address: fmt.Sprintf("10.9.9.%d:1", i), TokensPerMS: 1000})
	}
	saved := make(map[string]string)
	count := make(map[string]int)
	for i := range 60 {
		thing := fmt.Sprint("x", i)
		saved[thing] = b.pick(t, request(thing)).SaveStore
		count[saved[thing]]++
	}
	if len(count) != 3 || count[""] > 0 {
		t.Errorf("prompts are saved in %v, want three stores", count)
	}
	const lost = "10.9.9.0:1"
	b.balancer.DisableStore(lost)
	b.now = b.now.Add(2 * saveAgain)
	for thing, store := range saved {
		if got := b.pick(t, request(thing)).SaveStore; store != lost && got != store || got == lost || got == "" {
			t.Errorf("%s moved from %s to %s after another store was lost", thing, store, got)
		}
	}
}

// In a large fleet the news of a store come late, and it is asked for parts that it
// is not known to hold, as far as its link allows.
func TestStoresAreAskedBlindlyInLargeFleets(t *testing.T) {
	b := newBench(4)
	store := catalog.CacheStore{Address: "10.9.9.9:1", Zone: "a", TokensPerMS: 1000}
	b.balancer.EnableStore(store)
	b.balancer.SetGatewayCount(32)
	choice, _ := b.run(t, request("x"))
	if choice.CopySource != store.Address || choice.CopyTokens != 0 || choice.MissingTokens != 9000 {
		t.Errorf("first prompt: %+v", choice)
	}
	if choice := b.pick(t, request("y")); choice.CopySource != "" {
		t.Error("the store is asked while its link is busy with what was asked for")
	}
	b.now = b.now.Add(time.Second)
	short := request("z")
	short.Parts = []Part{{"style", 100}, {"z-own", 900}}
	if choice := b.pick(t, short); choice.CopySource != "" {
		t.Error("the store is asked for a short part")
	}
	b.balancer.SetGatewayCount(5)
	if choice := b.pick(t, request("z")); choice.CopySource != "" {
		t.Error("the store is asked blindly in a small fleet")
	}
}

func TestUnusableUpstreamsAreLeftOut(t *testing.T) {
	b := newBench(6)
	b.list[0].Draining = true
	b.balancer.HoldUntil("e01", b.now.Add(time.Second))
	_, attempt := b.pick(t, request("x")), b.balancer.Begin(Choice{Upstream: b.list[2]}, request("x"))
	attempt.MarkUnreachable()
	b.balancer.Begin(Choice{Upstream: b.list[3]}, request("x")).RecordRefusal(time.Second)
	b.balancer.RecordVersion("e04", testModel, 2)
	b.balancer.RecordVersion("e05", testModel, 2)
	r := request("x")
	r.TargetVersion, r.MinVersion, r.Tried = 2, 2, []string{"e05"}
	choice := b.pick(t, r)
	if want := (Excluded{Draining: 1, Down: 1, Resting: 1, Held: 1, Tried: 1}); choice.Upstream.ID != "e04" || choice.Excluded != want {
		t.Errorf("chose %s, excluded %v", choice.Upstream.ID, choice.Excluded)
	}
	r.Tried = []string{"e04", "e05"}
	if _, ok := b.balancer.Pick(b.list, r); ok {
		t.Error("something was chosen")
	}
	b.balancer.MarkReachable("e02")
	b.now = b.now.Add(2 * time.Second)
	r.MinVersion = 0
	if choice := b.pick(t, r); choice.Usable != 3 {
		t.Errorf("%d usable after their rest, want 3: %v", choice.Usable, choice.Excluded)
	}
}

// What an upstream accepts in connections is divided among the gateways, each of
// which may open one at least.
func TestConnectionsAreDividedAmongGateways(t *testing.T) {
	b := newBench(2)
	b.balancer.SetGatewayCount(4)
	r := &Request{MaxConnections: 8}
	var attempts []*Attempt
	for range 4 {
		_, attempt := b.run(t, r)
		attempts = append(attempts, attempt)
	}
	choice, ok := b.balancer.Pick(b.list, r)
	if ok || choice.Excluded != (Excluded{Full: 2}) {
		t.Errorf("a fifth connection was allowed, or excluded %v", choice.Excluded)
	}
	attempts[0].Done()
	b.pick(t, r)
	b.balancer.SetGatewayCount(100)
	attempts[1].Done()
	attempts[2].Done()
	attempts[3].Done()
	_, attempt := b.run(t, r)
	defer attempt.Done()
	if choice := b.pick(t, r); choice.Usable != 1 {
		t.Errorf("%d usable with one connection for each of many gateways: %v", choice.Usable, choice.Excluded)
	}
}

// An upstream whose address answers for another life gets nothing more until it
// is listed anew.
func TestEndedLifeIsLeftOut(t *testing.T) {
	b := newBench(2)
	attempt := b.balancer.Begin(Choice{Upstream: b.list[0]}, request("x"))
	if !attempt.MarkReplaced() || attempt.MarkReplaced() {
		t.Error("the end of a life is news once")
	}
	b.now = b.now.Add(time.Hour)
	choice := b.pick(t, request("x"))
	if choice.Upstream.ID != "e01" || choice.Excluded != (Excluded{Ended: 1}) || !b.balancer.IsReplaced("e00") {
		t.Errorf("chose %s, excluded %v", choice.Upstream.ID, choice.Excluded)
	}
	again := *b.list[0]
	again.StartedMillis = 2
	b.balancer.Retain(catalog.NewUpstreams([]*catalog.Upstream{&again, b.list[1]}))
	if choice := b.pick(t, request("x")); choice.Usable != 2 {
		t.Errorf("%d usable after a new life was listed: %v", choice.Usable, choice.Excluded)
	}
	b.balancer.MarkReplaced("e01", 7)
	if b.balancer.IsReplaced("e01") {
		t.Error("the end of a life that is not listed ended the one that is")
	}
	b.balancer.MarkReplaced("e01", 1)
	moved := *b.list[1]
	moved.Address = "10.0.0.9:1"
	b.balancer.Retain(catalog.NewUpstreams([]*catalog.Upstream{&moved}))
	if b.balancer.IsReplaced("e01") {
		t.Error("an upstream with a new address is still left out")
	}
}

// A floor that is only assumed does not refuse what could be served.
func TestAssumedFloorYields(t *testing.T) {
	b := newBench(2)
	r := request("x")
	r.MinVersion, r.TargetVersion = 2, 2
	if _, ok := b.balancer.Pick(b.list, r); ok {
		t.Error("older weights than the floor were chosen")
	}
	r.MinVersionAssumed = true
	b.pick(t, r)
	b.balancer.RecordVersion("e01", testModel, 2)
	if choice := b.pick(t, r); choice.Upstream.ID != "e01" {
		t.Errorf("chose %s beside one with the wanted weights", choice.Upstream.ID)
	}
}

func TestFailuresAreForgottenWithTime(t *testing.T) {
	b := newBench(2)
	for range 3 {
		attempt := b.balancer.Begin(Choice{Upstream: b.list[0]}, &Request{})
		attempt.RecordFailure()
		attempt.Done()
	}
	plain := &Request{}
	if choice := b.pick(t, plain); choice.Upstream.ID != "e01" {
		t.Errorf("chose the failing %s", choice.Upstream.ID)
	}
	b.now = b.now.Add(time.Minute)
	seen := make(map[string]bool)
	for range 100 {
		choice, attempt := b.run(t, plain)
		attempt.Done()
		seen[choice.Upstream.ID] = true
	}
	if !seen["e00"] {
		t.Error("an upstream that failed a minute ago is never tried again")
	}
}

func TestNewLifeKnowsNothing(t *testing.T) {
	b := newBench(1)
	_, attempt := b.run(t, request("x"))
	attempt.RecordFirstResponse()
	b.balancer.RecordVersion("e00", testModel, 3)
	reborn := *b.list[0]
	reborn.StartedMillis, reborn.ModelVersions = 2, map[string]int64{testModel: 2}
	b.list[0] = &reborn
	b.balancer.Retain(catalog.NewUpstreams(b.list))
	choice := b.pick(t, request("x"))
	if choice.Version != 2 || choice.MissingTokens != 9000 {
		t.Errorf("version %d with %d tokens missing", choice.Version, choice.MissingTokens)
	}
}

func TestReadingsReachOtherGateways(t *testing.T) {
	b, other := newBench(2), newBench(2)
	_, attempt := b.run(t, request("x"))
	attempt.RecordFirstResponse()
	cacheReports, next := b.balancer.CacheReportsSince(0)
	if len(cacheReports) != 1 {
		t.Fatalf("%d readings", len(cacheReports))
	}
	for _, r := range cacheReports {
		other.balancer.ApplyCacheReport(r)
	}
	if choice := other.pick(t, request("x")); choice.MissingTokens > 0 && choice.CopySource == "" {
		t.Errorf("the reading was not used: %+v", choice)
	}
	if again, _ := b.balancer.CacheReportsSince(next); len(again) != 0 {
		t.Errorf("%d readings were told twice", len(again))
	}
}

// BenchmarkChoose tells what a choice among the engines of a large fleet costs.
func BenchmarkChoose(b *testing.B) {
	bench := newBench(60)
	for i := range 200 {
		r := request(fmt.Sprint("thing", i))
		choice, _ := bench.balancer.Pick(bench.list, r)
		attempt := bench.balancer.Begin(choice, r)
		attempt.RecordFirstResponse()
		attempt.Done()
	}
	r := request("thing7")
	b.ReportAllocs()
	for b.Loop() {
		bench.balancer.Pick(bench.list, r)
	}
}
