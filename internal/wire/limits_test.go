package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/rs/zerolog"
)

// A peer that announces a large Hello must not be waited for, since each byte is read on its own.
func TestLargeHelloIsRefused(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		_, _ = far.Write(binary.AppendUvarint(nil, maxHelloBytes+1))
		_, _ = far.Write(make([]byte, maxHelloBytes+1))
	}()
	go func() { _, _ = bytes.NewBuffer(nil).ReadFrom(far) }()
	if _, err := exchangeHello(near, &wirepb.Hello{}); !errors.Is(err, ErrFrameTooLarge) {
		t.Errorf("error %v, want %v", err, ErrFrameTooLarge)
	}
}

// A crowd of connections must not take the place of sessions that are used.
func TestIdlestConnectionGivesWay(t *testing.T) {
	const maxEntries = 3
	table := newSessionTable(maxEntries)
	start := time.Now()
	silent, _ := table.add(nil, start.Add(time.Second))
	used, _ := table.add(nil, start)
	table.addStreams(used, 1)
	kept, _ := table.add(nil, start)
	table.addStreams(kept, 1)
	if added, removed := table.add(nil, start); added == nil || removed != silent {
		t.Errorf("%+v was removed for %+v, want the silent connection", removed, added)
	}
	if len(table.entries) != maxEntries {
		t.Errorf("%d connections, want %d", len(table.entries), maxEntries)
	}
	for entry := range table.entries {
		table.addStreams(entry, 1)
	}
	if added, removed := table.add(nil, start); added != nil || removed != nil {
		t.Errorf("%+v was removed for %+v while all have streams", removed, added)
	}
}

// muxFrame returns a yamux header.
func muxFrame(kind byte, flags uint16, id, length uint32) []byte {
	frame := []byte{0, kind}
	frame = binary.BigEndian.AppendUint16(frame, flags)
	frame = binary.BigEndian.AppendUint32(frame, id)
	return binary.BigEndian.AppendUint32(frame, length)
}

// Frames that many streams never end must not take more than the bound; the session with the most
// gives way, and what was taken or closed is no longer counted.
func TestReceivedBytesAreBounded(t *testing.T) {
	const maxBytes = 1 << 20
	budget := newReceiveBudget(maxBytes)
	var closed []int64
	small := budget.newSession(func(held int64) { t.Errorf("the small session was closed with %d bytes", held) })
	large := budget.newSession(func(held int64) { closed = append(closed, held) })
	small.scan(muxFrame(1, muxFlagOpen, 1, 0))
	small.scan(append(muxFrame(muxTypeData, 0, 1, 1000), make([]byte, 1000)...))
	for id := uint32(1); len(closed) == 0 && id < 1000; id += 2 {
		frame := append(muxFrame(muxTypeData, muxFlagOpen, id, 60_000), make([]byte, 60_000)...)
		for len(frame) > 0 {
			n := min(len(frame), 4093)
			large.scan(frame[:n])
			frame = frame[n:]
		}
	}
	if len(closed) != 1 || closed[0] > maxBytes+8<<10 {
		t.Errorf("closed with %v bytes, want one session just above %d", closed, maxBytes)
	}
	if budget.held != streamBytes+1000 {
		t.Errorf("%d bytes held, want those of the small session", budget.held)
	}
	small.take(1, 1000)
	small.endStream(1)
	if budget.held != 0 {
		t.Errorf("%d bytes held after the end of the stream", budget.held)
	}
	small.scan(muxFrame(1, muxFlagClose, 1, 0))
	large.end()
	if budget.held != 0 || len(small.streams) != 0 {
		t.Errorf("%d bytes held at the end", budget.held)
	}
}

// Streams that have ended must not count any more, or a session with many short ones would be closed.
func TestEndedStreamsAreNotCounted(t *testing.T) {
	server := NewServer(&wirepb.Hello{}, zerolog.Nop())
	server.SetLimits(Limits{Sessions: 10, ReceivedBytes: 4 * streamBytes})
	server.Handle(wirepb.Kind_KIND_STATUS, func(_ context.Context, _ Request, stream *Stream) {
		if stream.Recv(new(wirepb.Hello)) == nil {
			_ = stream.Send(new(wirepb.Hello))
		}
	})
	listener, err := net.Listen("tcp", testhost.Free(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() { _ = server.Serve(listener) }()
	pool := NewPool(&wirepb.Hello{}, NewDialer(""))
	defer pool.Close()
	for range 200 {
		stream, err := pool.Open(t.Context(), listener.Addr().String(), wirepb.Kind_KIND_STATUS, "")
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(stream.Send(&wirepb.Hello{Process: "peer"}), stream.Recv(new(wirepb.Hello))); err != nil {
			t.Fatal(err)
		}
		_ = stream.Close()
	}
}
