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

func startEngine(t *testing.T, o Options) (*Manager, *httpengine.Driver) {
	t.Helper()
	m := New(o)
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Stop)
	driver := httpengine.New("http://" + o.Address)
	t.Cleanup(driver.Close)
	return m, driver
}

func prompt(blocks int) []byte {
	return bytes.Repeat([]byte("p"), blocks*testBlockTokens*answer.BytesPerToken)
}

// collect returns the text and the end event of a run, or the error that ended it.
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
			t.Fatalf("run %d: text %q, end %+v, error %v", i, text, end, err)
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
		t.Fatalf("resumed: text %q, end %+v, error %v", text, end, err)
	}
	if got := m.Stats().ComputedTokens; got != 2*3*testBlockTokens+2 {
		t.Fatalf("computed %d tokens", got)
	}
}

func TestCrashOnPoisonLosesStreamsAndCache(t *testing.T) {
	cases := []struct {
		marker string
		resume int64
		tokens int
	}{{"POISON", 0, 0}, {"POISON3.", 0, 3}, {"POISON3.", 3, 0}}
	for _, c := range cases {
		m, driver := startEngine(t, testOptions(t))
		before, err := driver.Load(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		poison := append(prompt(1), c.marker...)
		run, err := driver.Run(context.Background(), engine.RunRequest{RequestID: "p", Weights: "v1", Prompt: poison, MaxTokens: 5, ResumeOffset: c.resume})
		text := ""
		if err == nil {
			text, _, err = collect(run)
		}
		if !errors.Is(err, engine.ErrLost) || len(text) > c.tokens*answer.BytesPerToken {
			t.Fatalf("%+v: %q, %v", c, text, err)
		}
		for {
			after, err := driver.Load(context.Background())
			if err == nil && after.Incarnation > before.Incarnation {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if stats := m.Stats(); stats.Crashes != 1 || len(stats.Poisoned) != 1 {
			t.Fatalf("%+v: stats %+v", c, stats)
		}
	}
}

func TestCancelFreesThePlace(t *testing.T) {
	o := testOptions(t)
	o.BatchLimit = 1
	_, driver := startEngine(t, o)
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
	if _, _, err := collect(long); !errors.Is(err, engine.ErrLost) {
		t.Fatalf("cancelled run: %v", err)
	}
}

func TestRefusals(t *testing.T) {
	_, driver := startEngine(t, testOptions(t))
	ctx := context.Background()
	if _, err := driver.Run(ctx, engine.RunRequest{RequestID: "w", Weights: "v9"}); !errors.Is(err, engine.ErrNotLoaded) {
		t.Fatalf("other weights: %v", err)
	}
	if err := driver.Order(ctx, engine.Order{Kind: engine.OrderRole, Fence: 5}); err != nil {
		t.Fatal(err)
	}
	if err := driver.Order(ctx, engine.Order{Kind: engine.OrderRole, Fence: 4}); !errors.Is(err, engine.ErrStaleFence) {
		t.Fatalf("stale order: %v", err)
	}
	absent := httpengine.New("http://" + testhost.Free(t))
	if _, err := absent.Run(ctx, engine.RunRequest{RequestID: "x"}); !errors.Is(err, engine.ErrUnreachable) {
		t.Fatalf("no engine: %v", err)
	}
}

func TestBlocksTravelThroughTheKVStore(t *testing.T) {
	store := kvstore.New(kvstore.Options{Blocks: 10, BlockTokens: testBlockTokens, TokensPerSecond: 1e6})
	first := testOptions(t)
	first.KV = store
	_, source := startEngine(t, first)
	second := testOptions(t)
	second.KV = store
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
		t.Fatalf("stored %d, %v", stored, err)
	}
	if transfer, err := target.Import(ctx, 1, hashes); err != nil || transfer.Blocks != 3 {
		t.Fatalf("imported %+v, %v", transfer, err)
	}
	run, err = target.Run(ctx, engine.RunRequest{RequestID: "b", Salt: 1, Prompt: text, MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, end, err := collect(run); err != nil || end.CachedTokens != 3*testBlockTokens {
		t.Fatalf("end %+v, %v", end, err)
	}
}

func TestCacheEvictsLeastRecentlyUsedFromTheEnd(t *testing.T) {
	c := newCache(3)
	now := time.Now()
	c.insert(1, []uint64{1, 2, 3}, now)
	stored, evicted := c.insert(1, []uint64{1, 9}, now.Add(time.Second))
	if len(stored) != 1 || len(evicted) != 1 || evicted[0].hash != 3 {
		t.Fatalf("stored %v, evicted %v", stored, evicted)
	}
	if idle := c.evictIdle(now.Add(time.Millisecond)); len(idle) != 1 || idle[0].hash != 2 {
		t.Fatalf("idle %v", idle)
	}
	if c.leading([]uint64{1, 9, 2}) != 2 {
		t.Fatal("blocks in use were evicted")
	}
}

func TestEventsComeLateInOrderAndWithGaps(t *testing.T) {
	const total = 5000
	log := newEventLog(Options{Seed: 3, EventLoss: 0.02, EventGapMax: 20}, 1)
	for range total {
		log.add(engine.CacheStored, 1, []uint64{1})
	}
	events, _, _ := log.ready(0)
	var last uint64
	for _, event := range events {
		if event.Sequence <= last || event.Sequence-last > 2*20+1 {
			t.Fatalf("sequence %d after %d", event.Sequence, last)
		}
		last = event.Sequence
	}
	if lost := total - len(events); lost < total/200 || lost > total/20 {
		t.Fatalf("lost %d of %d", lost, total)
	}
	late := newEventLog(Options{Seed: 3, EventDelayMin: time.Hour, EventDelayMax: 2 * time.Hour}, 1)
	late.add(engine.CacheStored, 1, []uint64{1})
	if ready, wait, _ := late.ready(0); len(ready) != 0 || wait < time.Minute {
		t.Fatalf("ready %v, wait %v", ready, wait)
	}
}
