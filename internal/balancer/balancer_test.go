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
	now     bootclock.Instant
	chooser *Chooser
	list    []*catalog.Upstream
}

func newBench(engines int) *bench {
	b := &bench{now: 1_000_000_000_000}
	b.chooser = New("a", func() bootclock.Instant { return b.now })
	for i := range engines {
		b.list = append(b.list, &catalog.Upstream{
			ID: fmt.Sprintf("e%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Capacity: 64,
			BornMillis: 1, Weights: map[string]int64{testModel: 1},
		})
	}
	b.chooser.Retain(catalog.NewUpstreams(b.list))
	return b
}

func work(thing string) *Work {
	return &Work{
		Model: testModel, Salt: func(v int64) string { return fmt.Sprint("w", v) }, Prefill: 9000, CacheTokens: 160_000,
		Parts: []Part{{"rules", 2500}, {thing, 3800}, {thing + "-own", 2700}},
	}
}

func (b *bench) choose(t *testing.T, w *Work) Choice {
	t.Helper()
	choice, ok := b.chooser.Choose(b.list, w)
	if !ok {
		t.Fatalf("no upstream: %v", choice.Excluded)
	}
	return choice
}

func (b *bench) run(t *testing.T, w *Work) (Choice, *Visit) {
	choice := b.choose(t, w)
	return choice, b.chooser.Sent(choice, w)
}

// Prompts with a common prefix go where it was read, until that engine has more
// work ahead than reading it again costs.
func TestPrefixesStayAtTheirEngineUntilItIsBusy(t *testing.T) {
	b := newBench(6)
	first, visit := b.run(t, work("x"))
	visit.Started()
	visit.Left()
	for range 5 {
		choice, visit := b.run(t, work("x"))
		if choice.Upstream.ID != first.Upstream.ID {
			t.Fatalf("went to %s, the prefix is at %s", choice.Upstream.ID, first.Upstream.ID)
		}
		visit.Started()
		visit.Left()
	}
	moved := false
	for range 60 {
		choice, _ := b.run(t, work("x"))
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
		choice, _ := b.run(t, work(fmt.Sprint("thing", i)))
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
	first, visit := b.run(t, work("x"))
	visit.Started()
	for range 30 {
		b.chooser.Sent(first, work("other"))
	}
	choice := b.choose(t, work("x"))
	if choice.Upstream.ID == first.Upstream.ID || choice.Source != first.Upstream.Address {
		t.Fatalf("chose %s with a copy from %q", choice.Upstream.ID, choice.Source)
	}
	b.chooser.NoteVersion(choice.Upstream.ID, testModel, 2)
	if choice := b.choose(t, work("x")); choice.Version == 2 && choice.Source != "" {
		t.Errorf("weights 2 copy parts of weights 1 from %q", choice.Source)
	}
	b.chooser.NoteVersion(first.Upstream.ID, testModel, 2)
	if choice := b.choose(t, work("x")); choice.Source != "" {
		t.Errorf("parts that were dropped are copied from %q", choice.Source)
	}
}

// An engine's parts are not relied on once much else was read there.
func TestPartsAreForgottenAsMemoryTurnsOver(t *testing.T) {
	b := newBench(1)
	_, visit := b.run(t, work("x"))
	visit.Started()
	visit.Left()
	if got := b.choose(t, work("x")).Missing; got != 0 {
		t.Errorf("%d tokens missing right after", got)
	}
	for i := range 12 {
		_, visit := b.run(t, work(fmt.Sprint("y", i)))
		visit.Left()
	}
	if got := b.choose(t, work("x")).Missing; got < 6000 {
		t.Errorf("%d tokens missing after 12 other prompts, want the part at least", got)
	}
}

func TestStoreOfPartsIsUsedWhileItLives(t *testing.T) {
	b := newBench(1)
	store := &catalog.CacheStore{Address: "10.9.9.9:1", TokensPerMS: 1000}
	b.chooser.UseStore(*store)
	if choice := b.choose(t, work("x")); choice.Save != store.Address || choice.Source != "" {
		t.Errorf("first prompt: %+v", choice)
	}
	if choice := b.choose(t, work("x")); choice.Save != "" {
		t.Error("saved twice at once")
	}
	for _, part := range []string{"rules", "x"} {
		b.chooser.NoteStored(store.Address, "w1", part, true)
	}
	if choice := b.choose(t, work("x")); choice.Source != store.Address || choice.Copied != 6300 {
		t.Errorf("stored prompt: %+v", choice)
	}
	b.chooser.NoteStored(store.Address, "w1", "rules", false)
	if choice := b.choose(t, work("x")); choice.Source != "" {
		t.Error("copied although the first part was dropped")
	}
	b.chooser.NoteStored(store.Address, "w1", "rules", true)
	b.chooser.LeaveStore(store.Address)
	if choice := b.choose(t, work("x")); choice.Source != "" || choice.Save != "" {
		t.Error("a store that is gone is used")
	}
}

// Several stores share the prompts, each of which has one store; a store that is
// lost leaves the prompts of the others where they are.
func TestStoresSharePrompts(t *testing.T) {
	b := newBench(1)
	for i := range 3 {
		b.chooser.UseStore(catalog.CacheStore{Address: fmt.Sprintf("10.9.9.%d:1", i), TokensPerMS: 1000})
	}
	saved := make(map[string]string)
	count := make(map[string]int)
	for i := range 60 {
		thing := fmt.Sprint("x", i)
		saved[thing] = b.choose(t, work(thing)).Save
		count[saved[thing]]++
	}
	if len(count) != 3 || count[""] > 0 {
		t.Errorf("prompts are saved in %v, want three stores", count)
	}
	const lost = "10.9.9.0:1"
	b.chooser.LeaveStore(lost)
	b.now = b.now.Add(2 * saveAgain)
	for thing, store := range saved {
		if got := b.choose(t, work(thing)).Save; store != lost && got != store || got == lost || got == "" {
			t.Errorf("%s moved from %s to %s after another store was lost", thing, store, got)
		}
	}
}

// In a large fleet the news of a store come late, and it is asked for parts that it
// is not known to hold, as far as its link allows.
func TestStoresAreAskedBlindlyInLargeFleets(t *testing.T) {
	b := newBench(4)
	store := catalog.CacheStore{Address: "10.9.9.9:1", Zone: "a", TokensPerMS: 1000}
	b.chooser.UseStore(store)
	b.chooser.SetGateways(32)
	choice, _ := b.run(t, work("x"))
	if choice.Source != store.Address || choice.Copied != 0 || choice.Missing != 9000 {
		t.Errorf("first prompt: %+v", choice)
	}
	if choice := b.choose(t, work("y")); choice.Source != "" {
		t.Error("the store is asked while its link is busy with what was asked for")
	}
	b.now = b.now.Add(time.Second)
	short := work("z")
	short.Parts = []Part{{"style", 100}, {"z-own", 900}}
	if choice := b.choose(t, short); choice.Source != "" {
		t.Error("the store is asked for a short part")
	}
	b.chooser.SetGateways(5)
	if choice := b.choose(t, work("z")); choice.Source != "" {
		t.Error("the store is asked blindly in a small fleet")
	}
}

func TestUnusableUpstreamsAreLeftOut(t *testing.T) {
	b := newBench(6)
	b.list[0].Draining = true
	b.chooser.Hold("e01", b.now.Add(time.Second))
	_, visit := b.choose(t, work("x")), b.chooser.Sent(Choice{Upstream: b.list[2]}, work("x"))
	visit.Unreachable()
	b.chooser.Sent(Choice{Upstream: b.list[3]}, work("x")).Full(time.Second)
	b.chooser.NoteVersion("e04", testModel, 2)
	b.chooser.NoteVersion("e05", testModel, 2)
	w := work("x")
	w.Wanted, w.Floor, w.Tried = 2, 2, []string{"e05"}
	choice := b.choose(t, w)
	if want := (Excluded{Draining: 1, Down: 1, Resting: 1, Held: 1, Tried: 1}); choice.Upstream.ID != "e04" || choice.Excluded != want {
		t.Errorf("chose %s, excluded %v", choice.Upstream.ID, choice.Excluded)
	}
	w.Tried = []string{"e04", "e05"}
	if _, ok := b.chooser.Choose(b.list, w); ok {
		t.Error("something was chosen")
	}
	b.chooser.Reached("e02")
	b.now = b.now.Add(2 * time.Second)
	w.Floor = 0
	if choice := b.choose(t, w); choice.Usable != 3 {
		t.Errorf("%d usable after their rest, want 3: %v", choice.Usable, choice.Excluded)
	}
}

// What an upstream accepts in connections is divided among the gateways, each of
// which may open one at least.
func TestConnectionsAreDividedAmongGateways(t *testing.T) {
	b := newBench(2)
	b.chooser.SetGateways(4)
	w := &Work{MaxConnections: 8}
	var visits []*Visit
	for range 4 {
		_, visit := b.run(t, w)
		visits = append(visits, visit)
	}
	choice, ok := b.chooser.Choose(b.list, w)
	if ok || choice.Excluded != (Excluded{Full: 2}) {
		t.Errorf("a fifth connection was allowed, or excluded %v", choice.Excluded)
	}
	visits[0].Left()
	b.choose(t, w)
	b.chooser.SetGateways(100)
	visits[1].Left()
	visits[2].Left()
	visits[3].Left()
	_, visit := b.run(t, w)
	defer visit.Left()
	if choice := b.choose(t, w); choice.Usable != 1 {
		t.Errorf("%d usable with one connection for each of many gateways: %v", choice.Usable, choice.Excluded)
	}
}

// An upstream whose address answers for another life gets nothing more until it
// is listed anew.
func TestEndedLifeIsLeftOut(t *testing.T) {
	b := newBench(2)
	visit := b.chooser.Sent(Choice{Upstream: b.list[0]}, work("x"))
	if !visit.Ended() || visit.Ended() {
		t.Error("the end of a life is news once")
	}
	b.now = b.now.Add(time.Hour)
	choice := b.choose(t, work("x"))
	if choice.Upstream.ID != "e01" || choice.Excluded != (Excluded{Ended: 1}) || !b.chooser.Ended("e00") {
		t.Errorf("chose %s, excluded %v", choice.Upstream.ID, choice.Excluded)
	}
	again := *b.list[0]
	again.BornMillis = 2
	b.chooser.Retain(catalog.NewUpstreams([]*catalog.Upstream{&again, b.list[1]}))
	if choice := b.choose(t, work("x")); choice.Usable != 2 {
		t.Errorf("%d usable after a new life was listed: %v", choice.Usable, choice.Excluded)
	}
	b.chooser.End("e01", 7)
	if b.chooser.Ended("e01") {
		t.Error("the end of a life that is not listed ended the one that is")
	}
	b.chooser.End("e01", 1)
	moved := *b.list[1]
	moved.Address = "10.0.0.9:1"
	b.chooser.Retain(catalog.NewUpstreams([]*catalog.Upstream{&moved}))
	if b.chooser.Ended("e01") {
		t.Error("an upstream with a new address is still left out")
	}
}

// A floor that is only assumed does not refuse what could be served.
func TestAssumedFloorYields(t *testing.T) {
	b := newBench(2)
	w := work("x")
	w.Floor, w.Wanted = 2, 2
	if _, ok := b.chooser.Choose(b.list, w); ok {
		t.Error("older weights than the floor were chosen")
	}
	w.FloorAssumed = true
	b.choose(t, w)
	b.chooser.NoteVersion("e01", testModel, 2)
	if choice := b.choose(t, w); choice.Upstream.ID != "e01" {
		t.Errorf("chose %s beside one with the wanted weights", choice.Upstream.ID)
	}
}

func TestFailuresAreForgottenWithTime(t *testing.T) {
	b := newBench(2)
	for range 3 {
		visit := b.chooser.Sent(Choice{Upstream: b.list[0]}, &Work{})
		visit.Failed()
		visit.Left()
	}
	plain := &Work{}
	if choice := b.choose(t, plain); choice.Upstream.ID != "e01" {
		t.Errorf("chose the failing %s", choice.Upstream.ID)
	}
	b.now = b.now.Add(time.Minute)
	seen := make(map[string]bool)
	for range 100 {
		choice, visit := b.run(t, plain)
		visit.Left()
		seen[choice.Upstream.ID] = true
	}
	if !seen["e00"] {
		t.Error("an upstream that failed a minute ago is never tried again")
	}
}

func TestNewLifeKnowsNothing(t *testing.T) {
	b := newBench(1)
	_, visit := b.run(t, work("x"))
	visit.Started()
	b.chooser.NoteVersion("e00", testModel, 3)
	reborn := *b.list[0]
	reborn.BornMillis, reborn.Weights = 2, map[string]int64{testModel: 2}
	b.list[0] = &reborn
	b.chooser.Retain(catalog.NewUpstreams(b.list))
	choice := b.choose(t, work("x"))
	if choice.Version != 2 || choice.Missing != 9000 {
		t.Errorf("version %d with %d tokens missing", choice.Version, choice.Missing)
	}
}

func TestReadingsReachOtherGateways(t *testing.T) {
	b, other := newBench(2), newBench(2)
	_, visit := b.run(t, work("x"))
	visit.Started()
	readings, next := b.chooser.Readings(0)
	if len(readings) != 1 {
		t.Fatalf("%d readings", len(readings))
	}
	for _, r := range readings {
		other.chooser.Hear(r)
	}
	if choice := other.choose(t, work("x")); choice.Missing > 0 && choice.Source == "" {
		t.Errorf("the reading was not used: %+v", choice)
	}
	if again, _ := b.chooser.Readings(next); len(again) != 0 {
		t.Errorf("%d readings were told twice", len(again))
	}
}

// BenchmarkChoose tells what a choice among the engines of a large fleet costs.
func BenchmarkChoose(b *testing.B) {
	bench := newBench(60)
	for i := range 200 {
		w := work(fmt.Sprint("thing", i))
		choice, _ := bench.chooser.Choose(bench.list, w)
		visit := bench.chooser.Sent(choice, w)
		visit.Started()
		visit.Left()
	}
	w := work("thing7")
	b.ReportAllocs()
	for b.Loop() {
		bench.chooser.Choose(bench.list, w)
	}
}
