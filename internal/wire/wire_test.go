package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

func hello(name string) *wirepb.Hello { return &wirepb.Hello{Process: name} }

// startServer serves handler for KIND_RUN and returns the server and its address.
func startServer(t testing.TB, handler Handler) (*Server, string) {
	server := NewServer(hello("server"), zerolog.Nop())
	server.Handle(wirepb.Kind_KIND_RUN, handler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return server, listener.Addr().String()
}

func newTestPool(t *testing.T) *Pool {
	pool := NewPool(hello("client"), NewDialer(""))
	t.Cleanup(pool.Close)
	return pool
}

func TestStreamCarriesFramesRequestIDAndDeadline(t *testing.T) {
	_, address := startServer(t, func(ctx context.Context, request Request, stream *Stream) {
		got := new(wirepb.RunRequest)
		if err := stream.Recv(got); err != nil {
			return
		}
		deadline := "none"
		if _, ok := ctx.Deadline(); ok {
			deadline = "some"
		}
		_ = stream.Send(&wirepb.Refusal{Code: request.ID, Message: request.Peer.Process + got.Customer, Step: deadline})
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	stream, err := newTestPool(t).Open(ctx, address, wirepb.Kind_KIND_RUN, "id-1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(&wirepb.RunRequest{Customer: "/pilots"}); err != nil {
		t.Fatal(err)
	}
	reply := new(wirepb.Refusal)
	if err := stream.Recv(reply); err != nil {
		t.Fatal(err)
	}
	if reply.Code != "id-1" || reply.Message != "client/pilots" || reply.Step != "some" {
		t.Fatalf("got %v", reply)
	}
	if err := stream.Recv(reply); !errors.Is(err, io.EOF) || fault.Peer(err) != address {
		t.Fatalf("receive after the last frame: got %v, want io.EOF with the address of the peer", err)
	}
}

func TestShutdownLetsStreamsFinishAndRefusesNewOnes(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	server, address := startServer(t, func(_ context.Context, _ Request, stream *Stream) {
		close(entered)
		<-proceed
		_ = stream.Send(&wirepb.Refusal{Code: "finished"})
	})
	pool := newTestPool(t)
	stream, err := pool.Open(t.Context(), address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		t.Fatal(err)
	}
	<-entered
	done := make(chan error, 1)
	go func() { done <- server.Shutdown(context.Background()) }()
	waitForClosing(server)
	// New streams fail on the existing session and on a new one. These failures do not
	// affect the stream in flight.
	for range 3 {
		if extra, err := pool.Open(t.Context(), address, wirepb.Kind_KIND_RUN, ""); err == nil {
			if err := extra.Recv(new(wirepb.Refusal)); err == nil {
				t.Fatal("a new stream received an answer during shutdown")
			}
		}
	}
	close(proceed)
	reply := new(wirepb.Refusal)
	if err := stream.Recv(reply); err != nil || reply.Code != "finished" {
		t.Fatalf("the stream in flight ended before its answer: %v", err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// waitForClosing blocks until Shutdown rejects new streams.
func waitForClosing(server *Server) {
	for {
		server.mu.Lock()
		closing := server.closing
		server.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestContextCancellationEndsPendingReceive(t *testing.T) {
	_, address := startServer(t, func(ctx context.Context, _ Request, _ *Stream) { <-ctx.Done() })
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := newTestPool(t).Open(ctx, address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	cancel()
	if err := stream.Recv(new(wirepb.Refusal)); err == nil {
		t.Fatal("Recv returned no error after the context ended")
	}
}

// TestStalledStreamIsBoundedAndBlocksNoOtherStream guards against a receiver that does
// not read: the sender must not send more than the receive window, and other streams of
// the session must continue.
func TestStalledStreamIsBoundedAndBlocksNoOtherStream(t *testing.T) {
	const frame = 64 << 10
	sent := make(chan int, 1)
	_, address := startServer(t, func(_ context.Context, _ Request, stream *Stream) {
		// Recv returns when the peer closes the stream; closing this side ends a blocked Send.
		go func() {
			_ = stream.Recv(new(wirepb.Open))
			_ = stream.Close()
		}()
		count := 0
		for stream.Send(&wirepb.RunTokens{Text: make([]byte, frame)}) == nil {
			count++
		}
		sent <- count
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	pool := newTestPool(t)
	stalled, err := pool.Open(ctx, address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		t.Fatal(err)
	}
	// The stalled stream does not block a second stream of the same session.
	active, err := pool.Open(ctx, address, wirepb.Kind_KIND_RUN, "")
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if err := active.Recv(new(wirepb.RunTokens)); err != nil {
			t.Fatal(err)
		}
	}
	_ = stalled.Close()
	if count := <-sent; count > 2*streamWindowBytes/frame {
		t.Fatalf("%d frames were sent to a stalled receiver, more than its window holds", count)
	}
	_ = active.Close()
}

func TestProtocolVersionMismatchIsRejected(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	go func() { _ = writeFrame(server, &wirepb.Hello{Version: Version + 1}) }()
	if _, err := newSession(client, hello("client"), "peer"); !errors.Is(err, ErrVersion) {
		t.Fatalf("got %v", err)
	}
}

func TestOversizedFrameIsRejected(t *testing.T) {
	err := writeFrame(io.Discard, &wirepb.RunTokens{Text: make([]byte, MaxFrameBytes+1)})
	if !errors.Is(err, ErrFrameTooLarge) {
		t.Fatalf("got %v", err)
	}
}
