package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/membership/memberpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxDatagramBytes keeps a datagram below the usual MTU.
	maxDatagramBytes = 1200
	// macBytes is the length of the truncated HMAC-SHA256 that precedes each message.
	macBytes = 16
)

// errForged is returned for a datagram with an invalid or incomplete authentication code.
var errForged = errors.New("datagram authentication code is invalid")

// Transport sends and receives datagrams. Send does not block. Receive blocks
// until a datagram arrives and returns net.ErrClosed after Close.
type Transport interface {
	Send(to string, datagram []byte) error
	Receive(buffer []byte) (n int, from string, err error)
	Close() error
}

// udpTransport is a Transport over UDP.
type udpTransport struct {
	conn *net.UDPConn
}

// ListenUDP returns a transport bound to address, an IP address and port.
func ListenUDP(address string) (Transport, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fault.Wrap(err, "resolve", address)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fault.Wrap(err, "listen", address)
	}
	return &udpTransport{conn: conn}, nil
}

func (u *udpTransport) Send(to string, datagram []byte) error {
	remote, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return fault.Wrap(err, "resolve", to)
	}
	_, err = u.conn.WriteToUDP(datagram, remote)
	return fault.Wrap(err, "send datagram", to)
}

func (u *udpTransport) Receive(buffer []byte) (int, string, error) {
	n, from, err := u.conn.ReadFromUDP(buffer)
	if err != nil {
		return 0, "", err
	}
	return n, from.String(), nil
}

func (u *udpTransport) Close() error { return u.conn.Close() }

// seal encodes a message and prepends its authentication code.
func seal(key []byte, message *memberpb.Message) ([]byte, error) {
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return append(computeMAC(key, body), body...), nil
}

// open verifies the authentication code of a datagram and decodes its message.
func open(key, datagram []byte) (*memberpb.Message, error) {
	if len(datagram) < macBytes {
		return nil, errForged
	}
	code, body := datagram[:macBytes], datagram[macBytes:]
	if !hmac.Equal(code, computeMAC(key, body)) {
		return nil, errForged
	}
	message := new(memberpb.Message)
	return message, proto.Unmarshal(body, message)
}

// computeMAC returns the truncated HMAC-SHA256 of body.
func computeMAC(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}
