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

// store is an engine beside a KV store with a serial bandwidth of 100,000 tokens a second.
type store struct {
	engine.Driver
	held   []uint64
	freeAt time.Time
	asked  int
}

func (s *store) Stored(_ context.Context, _ uint64, hashes []uint64) (int, error) {
	s.asked++
	n := 0
	for n < len(hashes) && slices.Contains(s.held, hashes[n]) {
		n++
	}
	return n, nil
}

func (s *store) copy(blocks int) {
	if now := time.Now(); s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(blocks) * 20 * time.Millisecond)
	time.Sleep(time.Until(s.freeAt) + setupTime)
}

func (s *store) Import(ctx context.Context, salt uint64, hashes []uint64) (engine.Transfer, error) {
	n, _ := s.Stored(ctx, salt, hashes)
	s.copy(n)
	return engine.Transfer{Blocks: n}, nil
}

func (s *store) Export(ctx context.Context, salt uint64, hashes []uint64) (engine.Transfer, error) {
	n, _ := s.Stored(ctx, salt, hashes)
	s.copy(len(hashes) - n)
	s.held = append(s.held, hashes[n:]...)
	return engine.Transfer{Blocks: len(hashes)}, nil
}

func newManager(s *store) *Manager {
	return New(Options{Driver: s, BlockTokens: func() int64 { return 2_000 }, Log: zerolog.Nop()})
}

func TestOnlyBlocksWantedAgainAreExported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		m := newManager(s)
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		ask := func(hashes ...uint64) {
			m.Wanted(hashes)
			m.Served(1, hashes)
		}
		ask(1, 2, 3)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(s.held) != 0 {
			t.Fatalf("exported at first sight: %v", s.held)
		}
		ask(1, 2, 4)
		time.Sleep(time.Second)
		synctest.Wait()
		if !slices.Equal(s.held, []uint64{1, 2}) {
			t.Fatalf("store holds %v, want the shared blocks", s.held)
		}
		time.Sleep(2 * wantWindow)
		s.held = nil
		ask(1, 2, 4)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(s.held) != 0 {
			t.Fatalf("exported after the window: %v", s.held)
		}
		cancel()
	})
}

func TestBusyStoreLooksSlowUntilItIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{held: []uint64{1, 2, 3, 4, 5}}
		m := newManager(s)
		hashes := []uint64{1, 2, 3, 4, 5, 6}
		if held := m.Import(t.Context(), 1, hashes, 0); held != 5 {
			t.Fatalf("%d blocks imported", held)
		}
		blocks, idle := m.Importable(t.Context(), 1, hashes, 0)
		if blocks != 5 || idle < 90_000 || idle > 101_000 {
			t.Fatalf("%d blocks at %.0f tokens/s", blocks, idle)
		}
		s.freeAt = time.Now().Add(2 * time.Second)
		m.Import(t.Context(), 1, hashes, 0)
		if _, busy := m.Importable(t.Context(), 1, hashes, 0); busy > idle/5 {
			t.Fatalf("%.0f tokens/s behind a wait of 2 s", busy)
		}
		m.Wanted([]uint64{9})
		m.Wanted([]uint64{9})
		m.Served(1, []uint64{9})
		if len(m.exports) != 0 {
			t.Fatal("export queued while the store is busy")
		}
		time.Sleep(10 * time.Second)
		if _, later := m.Importable(t.Context(), 1, hashes, 0); later < idle*9/10 {
			t.Fatalf("%.0f tokens/s long after the wait", later)
		}
		if blocks, _ := m.Importable(t.Context(), 1, hashes, 5); blocks != 0 {
			t.Fatalf("%d blocks offered beyond the cached ones", blocks)
		}
	})
}

func TestOwnPartOfAPromptIsNotLookedUp(t *testing.T) {
	hashes := make([]uint64, sharedBlocks+1)
	for i := range hashes {
		hashes[i] = uint64(i + 1)
	}
	m := newManager(&store{held: hashes})
	m.Wanted(hashes)
	if blocks, _ := m.Importable(t.Context(), 1, hashes, sharedBlocks); blocks != 0 {
		t.Fatal("a block that nobody asked for before was looked up")
	}
	if blocks, _ := m.Importable(t.Context(), 1, hashes, sharedBlocks-1); blocks != len(hashes) {
		t.Fatalf("%d blocks offered for a part that is shared", blocks)
	}
	m.Wanted(hashes)
	if blocks, _ := m.Importable(t.Context(), 1, hashes, sharedBlocks); blocks != len(hashes) {
		t.Fatalf("%d blocks offered for a prompt sent again", blocks)
	}
}

func TestStoreIsAskedAgainOnlyWhenItsAnswerIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{held: []uint64{1, 2}}
		m := newManager(s)
		look := func(wantBlocks, wantAsked int, hashes ...uint64) {
			t.Helper()
			if blocks, _ := m.Importable(t.Context(), 1, hashes, 0); blocks != wantBlocks || s.asked != wantAsked {
				t.Fatalf("%d blocks after %d questions, want %d and %d", blocks, s.asked, wantBlocks, wantAsked)
			}
		}
		look(2, 1, 1, 2, 3, 4)
		look(2, 1, 1, 2, 3, 5) // Without block 3 what follows does not matter.
		look(2, 2, 1, 2, 6)
		s.held = append(s.held, 3)
		look(2, 2, 1, 2, 3, 4)
		time.Sleep(stockFor + time.Nanosecond)
		look(3, 3, 1, 2, 3, 4)
		s.held = nil
		look(3, 3, 1, 2, 3)
		time.Sleep(stockFor + time.Nanosecond)
		look(0, 4, 1, 2, 3)
		if _, err := m.exportChunk(t.Context(), 1, []uint64{1, 2, 3}, 0); err != nil {
			t.Fatal(err)
		}
		look(3, s.asked, 1, 2, 3)
	})
}
