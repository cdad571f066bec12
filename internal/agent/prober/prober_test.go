package prober

import (
	"context"
	"testing"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

type fixed Status

func (f fixed) Status() Status { return Status(f) }

type shelf int

func (shelf) Wanted([]uint64) {}

func (s shelf) Importable(context.Context, uint64, []uint64, int) (int, float64) {
	return int(s), 1_000
}

func TestAnswer(t *testing.T) {
	serving := Status{Serving: true, Weights: []string{"v2"}, Incarnation: 1, BlockTokens: 2_000}
	request := &wirepb.ProbeRequest{Weights: "v2", BlockHashes: []uint64{1, 2, 3}, PromptTokens: 6_500}
	for _, test := range []struct {
		name       string
		change     func(*Status)
		cached     int64
		importable int64
		available  bool
	}{
		{"cached and importable", func(*Status) {}, 4_000, 2_000, true},
		{"engine restarted since", func(s *Status) { s.Incarnation = 2 }, 0, 6_000, true},
		{"older weights", func(s *Status) { s.Weights = []string{"v1"} }, 0, 0, false},
		{"engine down", func(s *Status) { s.Serving = false }, 0, 0, false},
	} {
		index := cacheindex.New()
		index.Started(1, []uint64{1, 2})
		status := serving
		test.change(&status)
		p := New(Options{
			Index:     index,
			Queue:     fairqueue.New(fairqueue.DefaultOptions(32)),
			Status:    fixed(status),
			Transfers: shelf(3),
		})
		reply := p.Answer(t.Context(), request)
		if reply.Unavailable == test.available || reply.CachedTokens != test.cached || reply.ImportableTokens != test.importable {
			t.Errorf("%s: %v", test.name, reply)
		}
	}
}
