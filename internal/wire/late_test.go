package wire

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// Answers that come after their call has ended, and answers too many, must not be taken for those
// to other calls on the session, also with the same request ID.
func TestLateAndRepeatedAnswersReachNoOtherCall(t *testing.T) {
	release := make(chan struct{})
	_, address := startServer(t, func(_ context.Context, _ Request, stream *Stream) {
		request := new(wirepb.RunRequest)
		if stream.Recv(request) != nil {
			return
		}
		if request.Customer == "late" {
			<-release
		}
		for range 3 {
			_ = stream.Send(&wirepb.Refusal{Code: request.Customer})
		}
	})
	pool := newTestPool(t)
	call := func(ctx context.Context, customer string) (string, error) {
		reply := new(wirepb.Refusal)
		err := pool.Call(ctx, address, wirepb.Kind_KIND_RUN, "same", &wirepb.RunRequest{Customer: customer}, reply)
		return reply.Code, err
	}
	for range 25 {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Millisecond)
		if got, err := call(ctx, "late"); err == nil {
			t.Fatalf("the call returned %q before its answer was sent", got)
		}
		cancel()
	}
	close(release)
	for i := range 200 {
		want := strconv.Itoa(i)
		if got, err := call(t.Context(), want); err != nil || got != want {
			t.Fatal(errors.Join(err, fmt.Errorf("got %q, want %q", got, want)))
		}
	}
}
