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

// echo answers each frame until the stream ends.
func echo(_ context.Context, _ Request, stream *Stream) {
	message := new(wirepb.Refusal)
	for stream.Recv(message) == nil {
		_ = stream.Send(message)
	}
}

// newCountingPool returns a pool with a short idle time and the number of its dials.
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

// requireEcho sends a frame and receives it back.
func requireEcho(t *testing.T, stream *Stream) {
	message := &wirepb.Refusal{Code: "x"}
	if err := stream.Send(message); err != nil {
		t.Error(err)
		return
	}
	if err := stream.Recv(message); err != nil {
		t.Error(err)
	}
}

// useEcho runs one request over a stream of its own.
func useEcho(t *testing.T, pool *Pool, address string) {
	stream, err := pool.Open(t.Context(), address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		t.Error(err)
		return
	}
	requireEcho(t, stream)
	_ = stream.Close()
}

func TestIdleSessionsAreClosedAndNoStreamIsCut(t *testing.T) {
	const idle = 5 * time.Millisecond
	_, address := startServer(t, echo)
	pool, dials := newCountingPool(t, idle)
	long, err := pool.Open(t.Context(), address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		t.Fatal(err)
	}
	// A session may go idle between its dial and its first stream, so that more
	// than one was dialed by now.
	before := dials.Load()
	for range 5 {
		useEcho(t, pool, address)
		time.Sleep(4 * idle)
		requireEcho(t, long)
	}
	if got := dials.Load(); got != before {
		t.Fatalf("%d further sessions beside a stream in flight", got-before)
	}
	// A second Close must not count as another stream's.
	_ = long.Close()
	_ = long.Close()
	for pool.Hello(address) != nil {
		time.Sleep(idle)
	}
	useEcho(t, pool, address)
	if got := dials.Load(); got <= before {
		t.Fatalf("%d sessions before the idle one was closed, %d after", before, got)
	}
}

func TestOpenWhileTheSessionIsClosedAsIdle(t *testing.T) {
	const idle = time.Millisecond
	_, address := startServer(t, echo)
	pool, dials := newCountingPool(t, idle)
	var tasks sync.WaitGroup
	for worker := range 3 {
		tasks.Go(func() {
			for range 300 {
				useEcho(t, pool, address)
				time.Sleep(idle + time.Duration(worker)*idle/100)
			}
		})
	}
	tasks.Wait()
	if got := dials.Load(); got < 2 {
		t.Fatalf("%d sessions: none was closed as idle", got)
	}
}

func TestCallerThatLeavesDoesNotFailTheDialOfOthers(t *testing.T) {
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
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		_, err := pool.Open(ctx, address, wirepb.Kind_KIND_RUN, "")
		left <- err
	}()
	<-dialing
	leave()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	close(proceed)
	useEcho(t, pool, address)
}

func TestOpenToFrozenPeerEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewPool(hello("client"), func(context.Context, string) (net.Conn, error) {
			client, _ := net.Pipe()
			return client, nil
		})
		defer pool.Close()
		const patience = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		start := time.Now()
		_, err := pool.Open(ctx, "peer", wirepb.Kind_KIND_RUN, "")
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != patience {
			t.Fatalf("got %v after %s", err, time.Since(start))
		}
		// The attempt itself ends too, and its failure is told at once.
		time.Sleep(dialTimeout)
		start = time.Now()
		if _, err := pool.Open(t.Context(), "peer", wirepb.Kind_KIND_RUN, ""); err == nil || time.Since(start) != 0 {
			t.Fatalf("got %v after %s", err, time.Since(start))
		}
	})
}
