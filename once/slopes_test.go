package once

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/slope"
	"github.com/greengagegate/greengagegate/store"
	"github.com/rs/zerolog"
)

var slopes = flag.Bool("slopes", false, "print what keys and claims cost at several sizes as JSON lines")

const (
	loadTime     = 4 * time.Second
	storeLatency = 3 * time.Millisecond
)

// countingStore is a store that counts calls and written bytes. It keeps only the value
// of the shard table.
type countingStore struct {
	store.Store
	latency time.Duration
	version atomic.Int64
	calls   atomic.Int64
	bytes   atomic.Int64
	mu      sync.Mutex
	table   *store.Object
}

func (c *countingStore) Get(_ context.Context, key string) (store.Object, error) {
	c.calls.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil || key != c.table.Key {
		return store.Object{}, store.ErrNotFound
	}
	return *c.table, nil
}

func (c *countingStore) List(context.Context, string) ([]store.Object, int64, error) {
	c.calls.Add(1)
	return nil, c.version.Load(), nil
}

func (c *countingStore) Delete(context.Context, string, int64) error { c.calls.Add(1); return nil }

func (c *countingStore) Put(_ context.Context, key string, value []byte, _ int64) (int64, error) {
	c.calls.Add(1)
	c.bytes.Add(int64(len(key) + len(value)))
	time.Sleep(c.latency)
	version := c.version.Add(1)
	if key == shardTableKey(testPool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.table = &store.Object{Key: key, Value: value, Version: version}
	}
	return version, nil
}

// newFourShardManager returns a manager that owns its four shards. commitsPerSecond is
// Options.CommitsPerSecond; 0 means the default.
func newFourShardManager(t *testing.T, st *countingStore, commitsPerSecond float64) *Manager {
	self := Peer{Process: "a1", Address: "10.0.0.1:7000", Incarnation: 1}
	m := NewManager(Options{
		Store: st, Pool: testPool, Self: self, CommitsPerSecond: commitsPerSecond, MaxKeys: 1 << 30,
		Peers:   func() []Peer { return []Peer{self} },
		Shards:  func() int { return 4 },
		Horizon: func() time.Duration { return time.Hour },
		Log:     zerolog.Nop(),
	})
	m.Start()
	t.Cleanup(m.StopWithoutHandover)
	for len(m.OwnedShards()) < 4 {
		time.Sleep(20 * time.Millisecond)
	}
	return m
}

// numberedOutcome returns an outcome with an answer of 120 bytes.
func numberedOutcome(i int) Outcome {
	return Outcome{State: StateRan, Answer: fmt.Appendf(nil, "%0120d", i)}
}

// offerLoad sends calls with new keys at a rate in calls per second for loadTime. It
// does not wait for an answer before the next call.
func offerLoad(t *testing.T, m *Manager, rate int) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var group sync.WaitGroup
	for i := range int(loadTime.Seconds()) * rate {
		<-ticker.C
		group.Go(func() {
			if _, err := m.Do(t.Context(), chargeRequest(fmt.Sprint("key-", i)), func() Outcome { return numberedOutcome(i) }); err != nil {
				t.Errorf("call failed: %v", err)
			}
		})
	}
	group.Wait()
}

// TestSlopes measures the store calls, bytes, processor time and heap of keyed calls at
// several rates, and the heap of remembered keys at several counts. It runs only with
// -slopes.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("runs only with -slopes")
	}
	for _, rate := range []int{5, 20, 80, 320} {
		st := &countingStore{latency: storeLatency}
		m := newFourShardManager(t, st, 0)
		before, calls, bytes := slope.Read(), st.calls.Load(), st.bytes.Load()
		startedAt := time.Now()
		offerLoad(t, m, rate)
		seconds := time.Since(startedAt).Seconds()
		after := slope.Read()
		printPoint(t, slope.Point{
			Name: "once.keyed_calls", Size: float64(rate), Unit: "calls/s",
			BytesPerSecond:     float64(st.bytes.Load()-bytes) / seconds,
			CPUMicrosPerSecond: float64((after.CPU - before.CPU).Microseconds()) / seconds,
			HeapBytes:          float64(after.Heap) - float64(before.Heap),
		})
		printPoint(t, slope.Point{
			Name: "once.store_calls", Size: float64(rate), Unit: "calls/s, bytes_per_s holds store calls per second",
			BytesPerSecond: float64(st.calls.Load()-calls) / seconds,
		})
		m.StopWithoutHandover()
	}
	for _, keys := range []int{20_000, 80_000, 320_000} {
		st := &countingStore{}
		m := newFourShardManager(t, st, 1e9)
		before := slope.Read()
		fillKeys(t, m, keys)
		after := slope.Read()
		printPoint(t, slope.Point{
			Name: "once.remembered_keys", Size: float64(keys), Unit: "keys with an answer of 120 bytes",
			HeapBytes: float64(after.Heap) - float64(before.Heap),
		})
		m.StopWithoutHandover()
	}
}

func printPoint(t *testing.T, p slope.Point) {
	t.Helper()
	if err := slope.Print(os.Stdout, p); err != nil {
		t.Error(err)
	}
}

// fillKeys makes a number of calls with new keys, 512 at a time.
func fillKeys(t *testing.T, m *Manager, keys int) {
	const callers = 512
	var next atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for i := int(next.Add(1)); i <= keys; i = int(next.Add(1)) {
				if _, err := m.Do(t.Context(), chargeRequest(fmt.Sprint("key-", i)), func() Outcome { return numberedOutcome(i) }); err != nil {
					t.Errorf("call failed: %v", err)
				}
			}
		})
	}
	group.Wait()
}
