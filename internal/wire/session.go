package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/hashicorp/yamux"
)

const (
	helloTimeout       = 5 * time.Second
	keepAliveInterval  = 5 * time.Second
	writeTimeout       = 5 * time.Second
	streamWindowBytes  = 1 << 20
	acceptBacklog      = 1024
	streamCloseTimeout = 5 * time.Second
)

// ErrVersion reports a peer that speaks another protocol version.
var ErrVersion = errors.New("protocol version mismatch")

func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	config.AcceptBacklog = acceptBacklog
	config.StreamCloseTimeout = streamCloseTimeout
	config.LogOutput = io.Discard
	return config
}

// exchangeHello sends own and receives the peer's Hello on a fresh connection.
func exchangeHello(conn net.Conn, own *wirepb.Hello) (*wirepb.Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	own.Version = Version
	if err := writeFrame(conn, own); err != nil {
		return nil, err
	}
	peer := new(wirepb.Hello)
	if err := readFrame(bufio.NewReaderSize(oneByteReader{conn}, 1), peer); err != nil {
		return nil, err
	}
	if peer.Version != Version {
		return nil, fmt.Errorf("%w: peer has %d, own is %d", ErrVersion, peer.Version, Version)
	}
	return peer, nil
}

// oneByteReader keeps a buffered reader from consuming bytes after the Hello.
type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(p []byte) (int, error) {
	if len(p) > 1 {
		p = p[:1]
	}
	return o.r.Read(p)
}

// session is the dialing side of a connection to one peer.
type session struct {
	mux   *yamux.Session
	conn  *gatheringConn
	peer  string
	hello *wirepb.Hello

	// uses counts the streams that are open or being opened. It and idle, the
	// timer that ends the session without any, are guarded by the peer's mutex.
	uses int
	idle *time.Timer
}

// use notes one more stream.
func (s *session) use() {
	s.uses++
	s.idle.Stop()
}

func newSession(conn net.Conn, own *wirepb.Hello, peer string) (*session, error) {
	hello, err := exchangeHello(conn, own)
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(err, "hello", peer)
	}
	gathering := newGatheringConn(conn)
	mux, err := yamux.Client(gathering, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(err, "open session", peer)
	}
	return &session{mux: mux, conn: gathering, peer: peer, hello: hello}, nil
}

func (s *session) open(ctx context.Context, kind wirepb.Kind, requestID string) (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, fault.Wrap(err, "open stream", s.peer)
	}
	return openStream(ctx, newStream(ctx, conn, s.peer, s.conn), kind, requestID)
}
