package wire

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/slope"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"google.golang.org/protobuf/proto"
)

// BenchmarkTokenFrame measures frames of a few tokens, each received and sent back
// before the next one is sent. cpu-us/frame is the CPU time of both ends.
func BenchmarkTokenFrame(b *testing.B) {
	_, address := startServer(b, func(_ context.Context, _ Request, stream *Stream) {
		event := new(wirepb.RunEvent)
		for stream.Recv(event) == nil {
			if stream.Send(event) != nil {
				return
			}
		}
	})
	pool := NewPool(hello("client"), NewDialer(""))
	defer pool.Close()
	stream, err := pool.Open(b.Context(), address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	event := &wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: &wirepb.RunTokens{Offset: 7, Count: 1, Text: []byte("abcd")}}}
	reply := new(wirepb.RunEvent)
	before := slope.Read()
	b.ReportAllocs()
	for b.Loop() {
		if err := stream.Send(event); err != nil {
			b.Fatal(err)
		}
		if err := stream.Recv(reply); err != nil {
			b.Fatal(err)
		}
	}
	spent := slope.Read().CPU - before.CPU
	// Each iteration transfers two frames.
	b.ReportMetric(float64(spent.Microseconds())/float64(2*b.N), "cpu-us/frame")
}

// BenchmarkTokenStep measures the token events that one step of an engine produces:
// one event on each of several streams of a session, at the same time. cpu-us/token
// is the CPU time of both ends.
func BenchmarkTokenStep(b *testing.B) {
	b.Run("at-once", func(b *testing.B) { benchmarkStep(b, (*Stream).Send) })
	b.Run("gathered", func(b *testing.B) { benchmarkStep(b, (*Stream).SendCoalesced) })
}

func benchmarkStep(b *testing.B, send func(*Stream, proto.Message) error) {
	const (
		streams      = 6
		stepInterval = 10 * time.Millisecond
	)
	var steps [streams]chan struct{}
	for i := range steps {
		steps[i] = make(chan struct{})
	}
	_, address := startServer(b, func(_ context.Context, request Request, stream *Stream) {
		event := &wirepb.RunEvent{Event: &wirepb.RunEvent_Tokens{Tokens: &wirepb.RunTokens{Offset: 7, Count: 1, Text: []byte("abcd")}}}
		for range steps[request.ID[0]-'a'] {
			if send(stream, event) != nil {
				return
			}
		}
	})
	pool := NewPool(hello("client"), NewDialer(""))
	defer pool.Close()
	var received sync.WaitGroup
	for i := range streams {
		stream, err := pool.Open(b.Context(), address, wirepb.Kind_KIND_RUN, string(rune('a'+i)))
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = stream.Close() }()
		go func() {
			for event := new(wirepb.RunEvent); stream.Recv(event) == nil; {
				received.Done()
			}
		}()
	}
	before := slope.Read()
	b.ReportAllocs()
	for b.Loop() {
		received.Add(streams)
		for _, step := range steps {
			step <- struct{}{}
		}
		received.Wait()
		time.Sleep(stepInterval)
	}
	spent := slope.Read().CPU - before.CPU
	b.ReportMetric(float64(spent.Microseconds())/float64(streams*b.N), "cpu-us/token")
	for _, step := range steps {
		close(step)
	}
}
