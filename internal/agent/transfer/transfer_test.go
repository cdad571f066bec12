package transfer

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/engine"
	"github.com/rs/zerolog"
)

// fakeEngine is an engine with a cache store that makes one copy at a time, at 100,000
// tokens per second.
type fakeEngine struct {
	engine.Driver
	stored  []uint64
	freeAt  time.Time
	lookups int
}

func (e *fakeEngine) Stored(_ context.Context, _ uint64, hashes []uint64) (int, error) {
	e.lookups++
	n := 0
	for n < len(hashes) && slices.Contains(e.stored, hashes[n]) {
		n++
	}
	return n, nil
}

// copy waits for earlier copies and then for the copy of so many blocks of 2,000 tokens.
func (e *fakeEngine) copy(blocks int) {
	if now := time.Now(); e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(time.Duration(blocks) * 20 * time.Millisecond)
	time.Sleep(time.Until(e.freeAt) + copySetupTime)
}

func (e *fakeEngine) Import(ctx context.Context, salt uint64, hashes []uint64) (engine.Transfer, error) {
	n, _ := e.Stored(ctx, salt, hashes)
	e.copy(n)
	return engine.Transfer{Blocks: n}, nil
}

func (e *fakeEngine) Export(ctx context.Context, salt uint64, hashes []uint64) (engine.Transfer, error) {
	n, _ := e.Stored(ctx, salt, hashes)
	e.copy(len(hashes) - n)
	e.stored = append(e.stored, hashes[n:]...)
	return engine.Transfer{Blocks: len(hashes)}, nil
}

func newManager(e *fakeEngine) *Manager {
	return New(Options{Driver: e, BlockTokens: func() int64 { return 2_000 }, Log: zerolog.Nop()})
}

// TestOnlyRepeatedlyRequestedBlocksAreExported guards against spending the store's
// bandwidth on blocks that no second prompt shares within repeatWindow.
func TestOnlyRepeatedlyRequestedBlocksAreExported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{}
		m := newManager(e)
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		probeAndCompute := func(hashes ...uint64) {
			m.RecordProbe(hashes)
			m.RecordPrefill(1, hashes)
		}
		probeAndCompute(1, 2, 3)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(e.stored) != 0 {
			t.Fatalf("exported after a single request: %v", e.stored)
		}
		probeAndCompute(1, 2, 4)
		time.Sleep(time.Second)
		synctest.Wait()
		if !slices.Equal(e.stored, []uint64{1, 2}) {
			t.Fatalf("store holds %v, want the shared blocks", e.stored)
		}
		time.Sleep(2 * repeatWindow)
		e.stored = nil
		probeAndCompute(1, 2, 4)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(e.stored) != 0 {
			t.Fatalf("exported although the requests were further apart than the window: %v", e.stored)
		}
		cancel()
	})
}

// TestBusyStoreLowersImportRateUntilItRecovers checks that a copy that had to wait lowers
// the reported rate and stops exports, and that the rate recovers with time.
func TestBusyStoreLowersImportRateUntilItRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{stored: []uint64{1, 2, 3, 4, 5}}
		m := newManager(e)
		hashes := []uint64{1, 2, 3, 4, 5, 6}
		if held := m.Import(t.Context(), 1, hashes, 0); held != 5 {
			t.Fatalf("import returned %d blocks, want 5", held)
		}
		blocks, idle := m.ImportableBlocks(t.Context(), 1, hashes, 0)
		if blocks != 5 || idle < 90_000 || idle > 101_000 {
			t.Fatalf("idle store: %d blocks, rate %.0f tokens/s; want 5 at about 100,000", blocks, idle)
		}
		e.freeAt = time.Now().Add(2 * time.Second)
		m.Import(t.Context(), 1, hashes, 0)
		if _, busy := m.ImportableBlocks(t.Context(), 1, hashes, 0); busy > idle/5 {
			t.Fatalf("%.0f tokens/s after a wait of 2 s, want at most a fifth of the idle rate", busy)
		}
		m.RecordProbe([]uint64{9})
		m.RecordProbe([]uint64{9})
		m.RecordPrefill(1, []uint64{9})
		if len(m.exports) != 0 {
			t.Fatal("export queued while the store is busy")
		}
		time.Sleep(10 * time.Second)
		if _, later := m.ImportableBlocks(t.Context(), 1, hashes, 0); later < idle*9/10 {
			t.Fatalf("%.0f tokens/s 10 s after the wait, want at least 9/10 of the idle rate", later)
		}
		if blocks, _ := m.ImportableBlocks(t.Context(), 1, hashes, 5); blocks != 0 {
			t.Fatalf("%d blocks offered although the cache has all stored ones", blocks)
		}
	})
}

// TestUnsharedPartOfPromptIsNotOffered checks that the part of a prompt after a shared
// prefix is not offered until it is probed again.
func TestUnsharedPartOfPromptIsNotOffered(t *testing.T) {
	hashes := make([]uint64, minSharedBlocks+1)
	for i := range hashes {
		hashes[i] = uint64(i + 1)
	}
	m := newManager(&fakeEngine{stored: hashes})
	m.RecordProbe(hashes)
	if blocks, _ := m.ImportableBlocks(t.Context(), 1, hashes, minSharedBlocks); blocks != 0 {
		t.Fatal("a block that was probed only once was offered")
	}
	if blocks, _ := m.ImportableBlocks(t.Context(), 1, hashes, minSharedBlocks-1); blocks != len(hashes) {
		t.Fatalf("%d blocks offered after a prefix shorter than a shared one, want all", blocks)
	}
	m.RecordProbe(hashes)
	if blocks, _ := m.ImportableBlocks(t.Context(), 1, hashes, minSharedBlocks); blocks != len(hashes) {
		t.Fatalf("%d blocks offered for a prompt probed again, want all", blocks)
	}
}

// TestStoreLookupIsRepeatedOnlyAfterTTL checks that answers of the store, also negative
// ones, are reused for lookupTTL, and that an export updates them.
func TestStoreLookupIsRepeatedOnlyAfterTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{stored: []uint64{1, 2}}
		m := newManager(e)
		checkImportable := func(wantBlocks, wantLookups int, hashes ...uint64) {
			t.Helper()
			if blocks, _ := m.ImportableBlocks(t.Context(), 1, hashes, 0); blocks != wantBlocks || e.lookups != wantLookups {
				t.Fatalf("%d blocks after %d lookups, want %d and %d", blocks, e.lookups, wantBlocks, wantLookups)
			}
		}
		checkImportable(2, 1, 1, 2, 3, 4)
		checkImportable(2, 1, 1, 2, 3, 5) // Block 3 is known to be missing, so later blocks do not matter.
		checkImportable(2, 2, 1, 2, 6)
		e.stored = append(e.stored, 3)
		checkImportable(2, 2, 1, 2, 3, 4)
		time.Sleep(lookupTTL + time.Nanosecond)
		checkImportable(3, 3, 1, 2, 3, 4)
		e.stored = nil
		checkImportable(3, 3, 1, 2, 3)
		time.Sleep(lookupTTL + time.Nanosecond)
		checkImportable(0, 4, 1, 2, 3)
		if _, err := m.exportChunk(t.Context(), 1, []uint64{1, 2, 3}, 0); err != nil {
			t.Fatal(err)
		}
		checkImportable(3, e.lookups, 1, 2, 3)
	})
}
