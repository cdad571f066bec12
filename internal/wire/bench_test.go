package wire

import (
	"context"
	"testing"

	"github.com/greengagegate/greengagegate/internal/slope"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// BenchmarkTokenFrame measures one frame of a few tokens, sent on its own and
// received before the next one is sent. cpu-us/op is the processor time of both ends.
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
	// Each iteration moves two frames.
	b.ReportMetric(float64(spent.Microseconds())/float64(2*b.N), "cpu-us/frame")
}
