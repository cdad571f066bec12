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
	helloTimeout       = 5 * time.Second // for the Hello exchange on the accepting side
	keepAliveInterval  = 5 * time.Second
	writeTimeout       = 5 * time.Second
	streamWindowBytes  = 1 << 20 // bytes in flight to a receiver that does not read
	acceptBacklog      = 1024    // streams that the peer has opened and Serve has not accepted
	streamCloseTimeout = 5 * time.Second
)

// ErrVersion reports that the peer has another protocol version.
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

// exchangeHello sends localHello and returns the peer's Hello. It must be called
// before anything else uses conn, and sets the version in localHello. It returns an
// error wrapping ErrVersion when the versions differ.
func exchangeHello(conn net.Conn, localHello *wirepb.Hello) (*wirepb.Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	localHello.Version = Version
	if err := writeFrame(conn, localHello); err != nil {
		return nil, err
	}
	peerHello := new(wirepb.Hello)
	if err := readFrameUpTo(bufio.NewReaderSize(oneByteReader{conn}, 1), maxHelloBytes, peerHello); err != nil {
		return nil, err
	}
	if peerHello.Version != Version {
		return nil, fmt.Errorf("%w: peer has %d, own is %d", ErrVersion, peerHello.Version, Version)
	}
	return peerHello, nil
}

// oneByteReader returns at most one byte from each Read, so that a buffered reader
// consumes no bytes after the Hello.
type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(p []byte) (int, error) {
	if len(p) > 1 {
		p = p[:1]
	}
	return o.r.Read(p)
}

// session is the dialing side of a connection to one peer.
type session struct {
	mux     *yamux.Session
	conn    *coalescingConn
	address string
	hello   *wirepb.Hello

	// uses is the number of streams that are open or being opened. idleTimer closes
	// the session when there are none. The peer's mutex guards both.
	uses      int
	idleTimer *time.Timer
}

// addUse counts one more stream and stops the idle timer. It must be called with
// the peer's mutex held.
func (s *session) addUse() {
	s.uses++
	s.idleTimer.Stop()
}

// newSession exchanges Hellos on conn and starts the multiplexer. It closes conn
// when it returns an error.
func newSession(conn net.Conn, localHello *wirepb.Hello, address string) (*session, error) {
	hello, err := exchangeHello(conn, localHello)
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(err, "hello", address)
	}
	coalescing := newCoalescingConn(conn)
	mux, err := yamux.Client(coalescing, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(err, "open session", address)
	}
	return &session{mux: mux, conn: coalescing, address: address, hello: hello}, nil
}

// open starts a stream and sends its Open frame. The frame may stay in the
// session's buffer until the first frame of the request is sent.
func (s *session) open(ctx context.Context, kind wirepb.Kind, requestID string) (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, fault.Wrap(err, "open stream", s.address)
	}
	return openStream(ctx, newStream(ctx, conn, s.address, s.conn), kind, requestID)
}
