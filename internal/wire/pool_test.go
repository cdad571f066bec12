package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
)

// echo sends each received frame back until the stream ends.
func echo(_ context.Context, _ Request, stream *Stream) {
	message := new(wirepb.Refusal)
	for stream.Recv(message) == nil {
		_ = stream.Send(message)
	}
}

// newCountingPool returns a pool with the given idle timeout and a counter of its dials.
func newCountingPool(t *testing.T, idle time.Duration) (*Pool, *atomic.Int64) {
	dials := new(atomic.Int64)
	dial := NewDialer("")
	pool := NewPool(hello("client"), func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return dial(ctx, address)
	})
	pool.idleTimeout = idle
	t.Cleanup(pool.Close)
	return pool, dials
}

// checkEcho sends a frame and waits until it is sent back. It reports an error and
// continues when that fails.
func checkEcho(t *testing.T, stream *Stream) {
	message := &wirepb.Refusal{Code: "x"}
	if err := stream.Send(message); err != nil {
		t.Error(err)
		return
	}
	if err := stream.Recv(message); err != nil {
		t.Error(err)
	}
}

// echoOnNewStream opens a stream, exchanges one frame and closes the stream.
func echoOnNewStream(t *testing.T, pool *Pool, address string) {
	stream, err := pool.Open(t.Context(), address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		t.Error(err)
		return
	}
	checkEcho(t, stream)
	_ = stream.Close()
}

// The test guards against a pool that closes a session with an open stream when the idle
// timeout passes, or that keeps a session after its last stream has been closed.
func TestPoolClosesOnlyIdleSessions(t *testing.T) {
	const idle = 5 * time.Millisecond
	_, address := startServer(t, echo)
	pool, dials := newCountingPool(t, idle)
	longStream, err := pool.Open(t.Context(), address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		t.Fatal(err)
	}
	// The idle timeout may close a session between its dial and its first stream.
	// More than one dial is therefore possible by now.
	before := dials.Load()
	for range 5 {
		echoOnNewStream(t, pool, address)
		time.Sleep(4 * idle)
		checkEcho(t, longStream)
	}
	if got := dials.Load(); got != before {
		t.Fatalf("%d more sessions were dialed while a stream was open, want none", got-before)
	}
	// The second Close must not release the use of another stream.
	_ = longStream.Close()
	_ = longStream.Close()
	for pool.Hello(address) != nil {
		time.Sleep(idle)
	}
	echoOnNewStream(t, pool, address)
	if got := dials.Load(); got <= before {
		t.Fatalf("%d dials before the idle session was closed, %d after; want more", before, got)
	}
}

// TestOpenDuringIdleClose guards against requests that fail because the idle timer
// closes the session while a stream is being opened.
func TestOpenDuringIdleClose(t *testing.T) {
	const idle = time.Millisecond
	_, address := startServer(t, echo)
	pool, dials := newCountingPool(t, idle)
	var workers sync.WaitGroup
	for worker := range 3 {
		workers.Go(func() {
			for range 300 {
				echoOnNewStream(t, pool, address)
				time.Sleep(idle + time.Duration(worker)*idle/100)
			}
		})
	}
	workers.Wait()
	if got := dials.Load(); got < 2 {
		t.Fatalf("%d dials: no session was closed as idle", got)
	}
}

// TestCancelledCallerDoesNotCancelSharedDial guards against a dial that is bound to
// the context of the caller that started it, and fails for others when that ends.
func TestCancelledCallerDoesNotCancelSharedDial(t *testing.T) {
	_, address := startServer(t, echo)
	dialing, proceed := make(chan struct{}), make(chan struct{})
	dial := NewDialer("")
	pool := NewPool(hello("client"), func(ctx context.Context, address string) (net.Conn, error) {
		close(dialing)
		select {
		case <-proceed:
			return dial(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	defer pool.Close()
	ctx, cancel := context.WithCancel(t.Context())
	openErr := make(chan error, 1)
	go func() {
		_, err := pool.Open(ctx, address, wirepb.Kind_KIND_RUN, "")
		openErr <- err
	}()
	<-dialing
	cancel()
	if err := <-openErr; !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	close(proceed)
	echoOnNewStream(t, pool, address)
}

// TestOpenToUnresponsivePeerHonorsDeadline covers a peer that accepts connections
// and sends no Hello, such as a stopped process.
func TestOpenToUnresponsivePeerHonorsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(hello("client"), func(context.Context, string) (net.Conn, error) {
			client, _ := net.Pipe()
			return client, nil
		})
		defer pool.Close()
		const timeout = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		start := time.Now()
		_, err := pool.Open(ctx, "peer", wirepb.Kind_KIND_RUN, "")
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != timeout {
			t.Fatalf("got %v after %s", err, time.Since(start))
		}
		// The dial fails after dialTimeout. The next Open returns its error at once.
		time.Sleep(dialTimeout)
		start = time.Now()
		if _, err := pool.Open(t.Context(), "peer", wirepb.Kind_KIND_RUN, ""); err == nil || time.Since(start) != 0 {
			t.Fatalf("got %v after %s", err, time.Since(start))
		}
	})
}
