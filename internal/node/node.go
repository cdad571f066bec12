// Package node is what every process of the fleet has: an identity, an inner
// listener for its peers, and a pool of sessions to them.
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

// Identity says who and where a process is.
type Identity struct {
	// Name is unique in the fleet.
	Name   string `ini:"name,required"`
	Zone   string `ini:"zone,required"`
	Region string `ini:"region"`
	// Role is set by the program.
	Role membership.Role
	// Incarnation is set at start and grows with each start on a host.
	Incarnation uint64
}

// Inner holds the settings of the listener for peers.
type Inner struct {
	// Listen is the IP number and port to listen on.
	Listen string `ini:"listen,required"`
	// Advertise is the address that peers dial; Listen when absent.
	Advertise string `ini:"advertise"`
	// BindSource makes outgoing connections leave from the IP number of Listen.
	BindSource bool `ini:"bind_source"`
}

// Validate implements settings.Validator.
func (i *Inner) Validate() (string, error) {
	if err := checkIPAddress(i.Listen); err != nil {
		return "listen", err
	}
	if i.Advertise == "" {
		i.Advertise = i.Listen
	}
	return "advertise", checkIPAddress(i.Advertise)
}

func checkIPAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("peers are addressed by IP number: " + host)
	}
	return nil
}

// NewIncarnation returns the number of a process's life that starts now.
func NewIncarnation() uint64 { return uint64(time.Now().UnixMilli()) }

// Node serves peers and reaches them.
type Node struct {
	Identity Identity
	Address  string
	Server   *wire.Server
	Pool     *wire.Pool

	inner    Inner
	log      zerolog.Logger
	security *tlsconf.Reloader
	listener net.Listener
}

// New prepares a node. Handlers are registered on Server before Start.
func New(identity Identity, inner Inner, files tlsconf.Files, log zerolog.Logger) (*Node, error) {
	n := &Node{Identity: identity, Address: inner.Advertise, inner: inner, log: log}
	if files.Enabled() {
		security, err := tlsconf.NewReloader(files)
		if err != nil {
			return nil, err
		}
		n.security = security
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

func (n *Node) dialer() wire.Dialer {
	source := ""
	if n.inner.BindSource {
		source, _, _ = net.SplitHostPort(n.inner.Listen)
	}
	plain := wire.NewDialer(source)
	if n.security == nil {
		return plain
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := plain(ctx, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(conn, n.security.Client(address))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fault.Wrap(err, "TLS handshake", address)
		}
		return secured, nil
	}
}

// Start listens and serves peers until Stop.
func (n *Node) Start(context.Context) error {
	listener, err := net.Listen("tcp", n.inner.Listen)
	if err != nil {
		return fault.Wrap(err, "listen for peers", n.inner.Listen)
	}
	if n.security != nil {
		listener = tls.NewListener(listener, n.security.Server())
	}
	n.listener = listener
	go func() {
		if err := n.Server.Serve(listener); err != nil {
			n.log.Error().Err(err).Msg("node: inner listener failed")
		}
	}()
	return nil
}

// Stop lets the streams in flight finish until ctx ends, then closes all sessions.
func (n *Node) Stop(ctx context.Context) error {
	err := n.Server.Shutdown(ctx)
	if n.listener != nil {
		_ = n.listener.Close()
	}
	n.Pool.Close()
	return fault.Wrap(err, "finish streams", "")
}
