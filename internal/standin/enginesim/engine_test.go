package enginesim

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/greengagegate/greengagegate/internal/engine/httpengine"
	"github.com/greengagegate/greengagegate/internal/standin/answer"
	"github.com/greengagegate/greengagegate/internal/standin/kvstore"
	"github.com/greengagegate/greengagegate/internal/testhost"
)

const testBlockTokens = 10

// testOptions returns the options of a fast engine at an unused address.
func testOptions(t *testing.T) Options {
	t.Helper()
	return Options{
		Address:      testhost.Free(t),
		Weights:      "v1",
		Seed:         1,
		BlockTokens:  testBlockTokens,
		CacheBlocks:  8,
		IdleEviction: time.Minute,
		BatchLimit:   4,
		MaxWaiting:   4,
		PrefillRate:  1e6,
		DecodeBase:   time.Millisecond,
		Restart:      20 * time.Millisecond,
		PoisonMarker: "POISON",
		ChecksFence:  true,
	}
}

// startEngine starts an engine and returns it with a driver of its HTTP interface.
func startEngine(t *testing.T, options Options) (*Manager, *httpengine.Driver) {
	t.Helper()
	m := New(options)
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Stop)
	driver := httpengine.New("http://" + options.Address)
	t.Cleanup(driver.Close)
	return m, driver
}

// prompt returns a prompt of complete blocks.
func prompt(blocks int) []byte {
	return bytes.Repeat([]byte("p"), blocks*testBlockTokens*answer.BytesPerToken)
}

// collect reads a run to its end. It returns the text, and the end event or the error that
// ended the run.
func collect(run engine.Run) (string, engine.RunEvent, error) {
	defer func() { _ = run.Close() }()
	var text bytes.Buffer
	var last engine.RunEvent
	for {
		event, err := run.Next()
		if err == io.EOF {
			return text.String(), last, nil
		}
		if err != nil {
			return text.String(), last, err
		}
		text.WriteString(event.Text)
		last = event
	}
}

// TestRunIsCachedAndResumable guards against a repeated prompt that is not served from the
// cache, a resumed run that does not continue the same text, and a cache hit across salts.
func TestRunIsCachedAndResumable(t *testing.T) {
	m, driver := startEngine(t, testOptions(t))
	request := engine.RunRequest{RequestID: "a", Salt: 1, Weights: "v1", Prompt: prompt(3), MaxTokens: 6}
	want := answer.Text(request.Prompt, request.MaxTokens)
	for i, cached := range []int64{0, 3 * testBlockTokens} {
		run, err := driver.Run(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		text, end, err := collect(run)
		if err != nil || text != want || end.CachedTokens != cached {
			t.Fatalf("run %d: text %q, end event %+v, error %v", i, text, end, err)
		}
	}
	request.ResumeOffset, request.Salt = 2, 2
	request.Generated = []byte(want[:2*answer.BytesPerToken])
	run, err := driver.Run(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	text, end, err := collect(run)
	if err != nil || text != want[2*answer.BytesPerToken:] || end.CachedTokens != 0 {
		t.Fatalf("resumed run: text %q, end event %+v, error %v", text, end, err)
	}
	if got := m.Stats().ComputedTokens; got != 2*3*testBlockTokens+2 {
		t.Fatalf("%d tokens were computed, want the prompt twice and 2 resumed tokens", got)
	}
}

// TestCrashOnPoisonEndsRunAndIncarnation guards against a poisoned prompt that does not
// crash the engine, or that crashes it at the wrong token or more than once. The number
// after the marker includes the tokens that an earlier engine generated.
func TestCrashOnPoisonEndsRunAndIncarnation(t *testing.T) {
	cases := []struct {
		marker           string
		resumeOffset     int64
		wantAtMostTokens int
	}{{"POISON", 0, 0}, {"POISON3.", 0, 3}, {"POISON3.", 3, 0}}
	for _, c := range cases {
		m, driver := startEngine(t, testOptions(t))
		before, err := driver.Load(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		poison := append(prompt(1), c.marker...)
		run, err := driver.Run(context.Background(), engine.RunRequest{RequestID: "p", Weights: "v1", Prompt: poison, MaxTokens: 5, ResumeOffset: c.resumeOffset})
		text := ""
		if err == nil {
			text, _, err = collect(run)
		}
		if !errors.Is(err, engine.ErrIncompleteAnswer) || len(text) > c.wantAtMostTokens*answer.BytesPerToken {
			t.Fatalf("case %+v: text %q, error %v, want ErrIncompleteAnswer", c, text, err)
		}
		for {
			after, err := driver.Load(context.Background())
			if err == nil && after.Incarnation > before.Incarnation {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if stats := m.Stats(); stats.Crashes != 1 || len(stats.Poisoned) != 1 {
			t.Fatalf("case %+v: got counters %+v, want one crash by one request", c, stats)
		}
	}
}

// TestCancelFreesTheBatchSlot guards against a cancelled run that keeps its batch slot, so
// that the next run waits until the engine would have generated all its tokens.
func TestCancelFreesTheBatchSlot(t *testing.T) {
	options := testOptions(t)
	options.BatchLimit = 1
	_, driver := startEngine(t, options)
	long, err := driver.Run(context.Background(), engine.RunRequest{RequestID: "long", Prompt: prompt(1), MaxTokens: maxRunTokens})
	if err != nil {
		t.Fatal(err)
	}
	next, err := driver.Run(context.Background(), engine.RunRequest{RequestID: "next", Prompt: prompt(1), MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := driver.Cancel(context.Background(), "long"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := collect(next); err != nil {
		t.Fatal(err)
	}
	if _, _, err := collect(long); !errors.Is(err, engine.ErrIncompleteAnswer) {
		t.Fatalf("cancelled run: got error %v, want ErrIncompleteAnswer", err)
	}
}

// TestRefusals guards against an engine that accepts weights that are not loaded or a stale
// fencing token, and against a driver that maps a refusal to another error.
func TestRefusals(t *testing.T) {
	_, driver := startEngine(t, testOptions(t))
	ctx := context.Background()
	if _, err := driver.Run(ctx, engine.RunRequest{RequestID: "w", Weights: "v9"}); !errors.Is(err, engine.ErrNotLoaded) {
		t.Fatalf("run with weights that are not loaded: got error %v, want ErrNotLoaded", err)
	}
	if err := driver.Order(ctx, engine.Order{Kind: engine.OrderRole, Fence: 5}); err != nil {
		t.Fatal(err)
	}
	if err := driver.Order(ctx, engine.Order{Kind: engine.OrderRole, Fence: 4}); !errors.Is(err, engine.ErrStaleFence) {
		t.Fatalf("order with a lower fencing token: got error %v, want ErrStaleFence", err)
	}
	absent := httpengine.New("http://" + testhost.Free(t))
	if _, err := absent.Run(ctx, engine.RunRequest{RequestID: "x"}); !errors.Is(err, engine.ErrUnreachable) {
		t.Fatalf("run at an address without an engine: got error %v, want ErrUnreachable", err)
	}
}

// TestBlocksAreCopiedThroughCacheStore guards against blocks that are lost between the
// export of one engine and the import of another, so that the second one computes the
// prompt again.
func TestBlocksAreCopiedThroughCacheStore(t *testing.T) {
	store := kvstore.New(kvstore.Options{Blocks: 10, BlockTokens: testBlockTokens, TokensPerSecond: 1e6})
	first := testOptions(t)
	first.CacheStore = store
	_, source := startEngine(t, first)
	second := testOptions(t)
	second.CacheStore = store
	_, target := startEngine(t, second)

	ctx := context.Background()
	text := prompt(3)
	hashes := blockHashes(first, 1, text)
	run, err := source.Run(ctx, engine.RunRequest{RequestID: "a", Salt: 1, Prompt: text, MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := collect(run); err != nil {
		t.Fatal(err)
	}
	if _, err := source.Export(ctx, 1, hashes); err != nil {
		t.Fatal(err)
	}
	if stored, err := target.Stored(ctx, 1, hashes); err != nil || stored != 3 {
		t.Fatalf("the cache store holds %d blocks, error %v, want 3", stored, err)
	}
	if transfer, err := target.Import(ctx, 1, hashes); err != nil || transfer.Blocks != 3 {
		t.Fatalf("import returned %+v, error %v, want 3 blocks", transfer, err)
	}
	run, err = target.Run(ctx, engine.RunRequest{RequestID: "b", Salt: 1, Prompt: text, MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, end, err := collect(run); err != nil || end.CachedTokens != 3*testBlockTokens {
		t.Fatalf("run after the import: end event %+v, error %v, want 3 cached blocks", end, err)
	}
}

// TestCacheEvictsLastBlocksOfPrefixFirst guards against the eviction of a prefix before
// the blocks that depend on it, and against the eviction of recently used blocks.
func TestCacheEvictsLastBlocksOfPrefixFirst(t *testing.T) {
	c := newCache(3)
	now := time.Now()
	c.insert(1, []uint64{1, 2, 3}, now)
	stored, evicted := c.insert(1, []uint64{1, 9}, now.Add(time.Second))
	if len(stored) != 1 || len(evicted) != 1 || evicted[0].hash != 3 {
		t.Fatalf("insert stored %v and evicted %v, want 9 stored and block 3 evicted", stored, evicted)
	}
	if idle := c.evictIdle(now.Add(time.Millisecond)); len(idle) != 1 || idle[0].hash != 2 {
		t.Fatalf("evictIdle evicted %v, want block 2", idle)
	}
	if c.countLeading([]uint64{1, 9, 2}) != 2 {
		t.Fatal("blocks 1 and 9 were evicted although they were used recently")
	}
}

// TestEventsAreDelayedInOrderAndHaveGaps guards against an event log that does not inject
// the configured faults: it must drop events in bounded gaps and at about the configured
// rate, keep the order, and hide events during their delay.
func TestEventsAreDelayedInOrderAndHaveGaps(t *testing.T) {
	const total = 5000
	log := newEventLog(Options{Seed: 3, EventLoss: 0.02, EventGapMax: 20}, 1)
	for range total {
		log.add(engine.CacheStored, 1, []uint64{1})
	}
	events, _, _ := log.releasedEvents(0)
	var last uint64
	for _, event := range events {
		if event.Sequence <= last || event.Sequence-last > 2*20+1 {
			t.Fatalf("event %d follows event %d: wrong order or a gap that is too long", event.Sequence, last)
		}
		last = event.Sequence
	}
	if lost := total - len(events); lost < total/200 || lost > total/20 {
		t.Fatalf("the log dropped %d of %d events, want between 1/200 and 1/20 of them", lost, total)
	}
	delayed := newEventLog(Options{Seed: 3, EventDelayMin: time.Hour, EventDelayMax: 2 * time.Hour}, 1)
	delayed.add(engine.CacheStored, 1, []uint64{1})
	if released, wait, _ := delayed.releasedEvents(0); len(released) != 0 || wait < time.Minute {
		t.Fatalf("delayed event: released %v, wait %v, want none before its delay", released, wait)
	}
}
