package wire

import (
	"context"
	"testing"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// A message on which a handler panics ends its own stream only.
func TestPanicOfHandlerEndsItsStreamOnly(t *testing.T) {
	server, address := startServer(t, func(context.Context, Request, *Stream) { panic("malformed message") })
	server.Handle(wirepb.Kind_KIND_STATUS, func(_ context.Context, _ Request, stream *Stream) {
		var request wirepb.Hello
		if stream.Recv(&request) == nil {
			_ = stream.Send(&request)
		}
	})
	pool := newTestPool(t)
	for range 3 {
		var reply wirepb.Hello
		if err := pool.Call(t.Context(), address, wirepb.Kind_KIND_RUN, "", &wirepb.Hello{}, &reply); err == nil {
			t.Error("a call whose handler panicked got a reply")
		}
		if err := pool.Call(t.Context(), address, wirepb.Kind_KIND_STATUS, "", &wirepb.Hello{Process: "a"}, &reply); err != nil || reply.Process != "a" {
			t.Errorf("the next call got %q and error %v", reply.Process, err)
		}
	}
}
