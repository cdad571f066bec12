package prober

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/greengagegate/greengagegate/internal/agent/cacheindex"
	"github.com/greengagegate/greengagegate/internal/agent/fairqueue"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

type fixedStatus Status

func (f fixedStatus) Status() Status { return Status(f) }

// fakeTransfers is the number of leading blocks that the cache store holds of every prompt.
type fakeTransfers int

func (fakeTransfers) RecordProbe([]uint64) {}

func (f fakeTransfers) ImportableBlocks(context.Context, uint64, []uint64, int) (int, float64) {
	return int(f), 1_000
}

// TestAnswer checks that a probe counts cached blocks only for the current incarnation
// of the engine, and that an engine that cannot serve the weights is unavailable.
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
		{"engine unreachable", func(s *Status) { s.Serving = false }, 0, 0, false},
	} {
		index := cacheindex.New()
		index.AddStarted(1, []uint64{1, 2})
		status := serving
		test.change(&status)
		p := New(Options{
			Index:     index,
			Queue:     fairqueue.New(fairqueue.DefaultOptions(32)),
			Status:    fixedStatus(status),
			Transfers: fakeTransfers(3),
		})
		reply := p.Answer(t.Context(), request)
		if reply.Unavailable == test.available || reply.CachedTokens != test.cached || reply.ImportableTokens != test.importable {
			t.Errorf("%s: unexpected reply %v", test.name, reply)
		}
	}
}

// TestDrainClosesProbeStreams guards against a graceful stop that waits for probe
// streams, which routers keep open.
func TestDrainClosesProbeStreams(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	p := New(Options{
		Index:  cacheindex.New(),
		Queue:  fairqueue.New(fairqueue.DefaultOptions(32)),
		Status: fixedStatus(Status{Serving: true}),
	})
	server := wire.NewServer(&wirepb.Hello{}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_PROBE, p.Handle)
	go func() { _ = server.Serve(listener) }()
	pool := wire.NewPool(&wirepb.Hello{}, wire.NewDialer(""))
	defer pool.Close()
	stream, err := pool.Open(t.Context(), listener.Addr().String(), wirepb.Kind_KIND_PROBE, "")
	if err != nil {
		t.Fatal(err)
	}
	replies := make(map[uint64]bool)
	for sequence := range uint64(5) {
		if err := stream.Send(&wirepb.ProbeRequest{Sequence: sequence}); err != nil {
			t.Fatal(err)
		}
	}
	for range 5 {
		reply := new(wirepb.ProbeReply)
		if err := stream.Recv(reply); err != nil {
			t.Fatal(err)
		}
		replies[reply.Sequence] = true
	}
	if len(replies) != 5 {
		t.Fatalf("replies to probes %v, want one for each of 5", replies)
	}
	p.Drain()
	if err := stream.Recv(new(wirepb.ProbeReply)); !errors.Is(err, io.EOF) {
		t.Fatalf("error %v after Drain, want EOF", err)
	}
	_ = stream.Close()
	if err := server.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
}
