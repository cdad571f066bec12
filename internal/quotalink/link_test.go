package quotalink

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/quota"
	"github.com/rs/zerolog"
)

// All calls to an agent share a stream. A late reply, or a copy of one, must not be taken for the
// reply to another call.
func TestLateAndRepeatedRepliesReachNoOtherCall(t *testing.T) {
	server := wire.NewServer(&wirepb.Hello{Process: "server"}, zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_QUOTA, func(_ context.Context, _ wire.Request, stream *wire.Stream) {
		var former *wirepb.QuotaReply
		for {
			request := new(wirepb.QuotaRequest)
			if stream.Recv(request) != nil {
				return
			}
			reply := &wirepb.QuotaReply{Number: request.Number, Answers: []*wirepb.QuotaAnswer{{Granted: request.Asks[0].Want}}}
			if former != nil {
				_ = stream.Send(former)
			}
			if request.Asks[0].Want >= 0 {
				_ = stream.Send(reply)
			}
			former = reply
		}
	})
	listener, err := net.Listen("tcp", testhost.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	pool := wire.NewPool(&wirepb.Hello{Process: "client"}, wire.NewDialer(""))
	t.Cleanup(pool.Close)
	transport := NewTransport(t.Context(), pool)
	for i := range 40 {
		// The reply to each fifth call comes only with the next one.
		want, ctx, cancel := int64(i), t.Context(), func() {}
		if i%5 == 4 {
			want = -want
			ctx, cancel = context.WithTimeout(ctx, 5*time.Millisecond)
		}
		reply, err := transport.Call(ctx, listener.Addr().String(), &quota.Request{TokenRequests: []quota.TokenRequest{{Want: want}}})
		cancel()
		switch {
		case want < 0 && err == nil:
			t.Errorf("call %d without a reply got %v", i, reply.TokenReplies)
		case want >= 0 && (err != nil || reply.TokenReplies[0].Granted != want):
			t.Errorf("call %d got %+v (error %v), want %v", i, reply, err, want)
		}
	}
}
