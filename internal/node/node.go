// Package node provides what every process of the fleet needs to communicate with
// its peers: an identity, a listener for peers and a pool of sessions to them.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/internal/wire"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/membership"
	"github.com/rs/zerolog"
)

// Identity holds the name, role and location of a process.
type Identity struct {
	// Name is unique in the fleet.
	Name   string `ini:"name,required"`
	Zone   string `ini:"zone,required"`
	Region string `ini:"region"`
	// Role is set by the program and is not a setting.
	Role membership.Role
	// Incarnation is NewIncarnation at the start. It is lower than at the previous start
	// if the clock of the host was set back.
	Incarnation uint64
}

// Inner holds the settings of the listener for peers.
type Inner struct {
	// Listen is the IP address and port to listen on.
	Listen string `ini:"listen,required"`
	// Advertise is the IP address and port that peers dial. It defaults to Listen.
	Advertise string `ini:"advertise"`
	// BindSource binds outgoing connections to the IP address of Listen.
	BindSource bool `ini:"bind_source"`
	// MaxSessions is the number of connections from peers that are open at once; 0 means that it
	// follows from the descriptors of the process.
	MaxSessions int `ini:"max_sessions"`
}

// Validate implements settings.Validator.
func (i *Inner) Validate() (string, error) {
	if err := checkIPAndPort(i.Listen); err != nil {
		return "listen", err
	}
	if i.Advertise == "" {
		i.Advertise = i.Listen
	}
	if i.MaxSessions < 0 {
		return "max_sessions", errors.New("must not be negative")
	}
	return "advertise", checkIPAndPort(i.Advertise)
}

// checkIPAndPort returns an error unless address is an IP address and a port.
func checkIPAndPort(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("peers are addressed by IP number: " + host)
	}
	return nil
}

// NewIncarnation returns the incarnation of a process that starts now: Unix time in
// milliseconds.
func NewIncarnation() uint64 { return uint64(time.Now().UnixMilli()) }

// Node accepts sessions from peers and opens sessions to them.
type Node struct {
	Identity Identity
	// Address is the IP address and port that peers dial.
	Address string
	Server  *wire.Server
	Pool    *wire.Pool

	inner       Inner
	log         zerolog.Logger
	tlsReloader *tlsconf.Reloader
	listener    net.Listener
}

// New returns a node that is not yet listening. Handlers must be registered on
// Server before Start. If files are set, all sessions use TLS.
func New(identity Identity, inner Inner, files tlsconf.Files, log zerolog.Logger) (*Node, error) {
	n := &Node{Identity: identity, Address: inner.Advertise, inner: inner, log: log}
	if files.Enabled() {
		reloader, err := tlsconf.NewReloader(files)
		if err != nil {
			return nil, err
		}
		n.tlsReloader = reloader
	}
	hello := &wirepb.Hello{
		Process:     identity.Name,
		Role:        string(identity.Role),
		Address:     inner.Advertise,
		Zone:        identity.Zone,
		Incarnation: identity.Incarnation,
	}
	n.Server = wire.NewServer(hello, log)
	n.Pool = wire.NewPool(hello, n.dialer())
	return n, nil
}

// dialer returns the function that connects to peers, with TLS if enabled.
func (n *Node) dialer() wire.Dialer {
	source := ""
	if n.inner.BindSource {
		source, _, _ = net.SplitHostPort(n.inner.Listen)
	}
	dialPlain := wire.NewDialer(source)
	if n.tlsReloader == nil {
		return dialPlain
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialPlain(ctx, address)
		if err != nil {
			return nil, err
		}
		tlsConn := tls.Client(conn, n.tlsReloader.Client(address))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fault.Wrap(err, "TLS handshake", address)
		}
		return tlsConn, nil
	}
}

// Start opens the listener and serves peers in the background until Stop. It returns
// when the listener is open.
func (n *Node) Start(context.Context) error {
	listener, err := net.Listen("tcp", n.inner.Listen)
	if err != nil {
		return fault.Wrap(err, "listen for peers", n.inner.Listen)
	}
	if n.tlsReloader != nil {
		listener = tls.NewListener(listener, n.tlsReloader.Server())
	}
	n.listener = listener
	go func() {
		if err := n.Server.Serve(listener); err != nil {
			n.log.Error().Err(err).Msg("node: listener for peers failed; no more sessions are accepted")
		}
	}()
	return nil
}

// Stop waits for active streams to finish until ctx ends, then closes the listener
// and all sessions.
func (n *Node) Stop(ctx context.Context) error {
	err := n.Server.Shutdown(ctx)
	if n.listener != nil {
		_ = n.listener.Close()
	}
	n.Pool.Close()
	return fault.Wrap(err, "finish streams", "")
}
