// Package relay forwards TCP connections and delays the bytes between zones. It
// stands between the processes of a measured fleet: each one listens on its own
// address and advertises its relay's.
package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
)

const (
	chunkBytes  = 32 << 10
	chunkBuffer = 256
	dialTimeout = 2 * time.Second
)

// Options describes a relay.
type Options struct {
	// Listen is the address that is advertised, Target the one behind it.
	Listen, Target string
	// Delay is added in each direction to connections from other zones.
	Delay time.Duration
	// Zone returns the zone of an IP number.
	Zone func(ip net.IP) string
}

// Manager is one relay.
type Manager struct {
	options  Options
	listener net.Listener
	tasks    sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New starts a relay. It forwards until Close.
func New(options Options) (*Manager, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fault.Wrap(err, "listen", options.Listen)
	}
	m := &Manager{options: options, listener: listener, conns: make(map[net.Conn]struct{})}
	m.tasks.Go(m.accept)
	return m, nil
}

// Close ends the relay and its connections.
func (m *Manager) Close() {
	_ = m.listener.Close()
	m.mu.Lock()
	for conn := range m.conns {
		_ = conn.Close()
	}
	m.mu.Unlock()
	m.tasks.Wait()
}

func (m *Manager) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.tasks.Go(func() { m.forward(conn) })
	}
}

// forward joins a connection with a new one to the target, until either ends.
func (m *Manager) forward(near net.Conn) {
	m.track(near)
	defer m.drop(near)
	far, err := net.DialTimeout("tcp", m.options.Target, dialTimeout)
	if err != nil {
		return
	}
	m.track(far)
	defer m.drop(far)
	delay := m.delayFor(near)
	var both sync.WaitGroup
	both.Go(func() { pipe(far, near, delay) })
	both.Go(func() { pipe(near, far, delay) })
	both.Wait()
}

func (m *Manager) delayFor(near net.Conn) time.Duration {
	source, ok := near.RemoteAddr().(*net.TCPAddr)
	target, targetOK := near.LocalAddr().(*net.TCPAddr)
	if ok && targetOK && m.options.Zone(source.IP) == m.options.Zone(target.IP) {
		return 0
	}
	return m.options.Delay
}

func (m *Manager) track(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[conn] = struct{}{}
}

func (m *Manager) drop(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

type chunk struct {
	due  time.Time
	data []byte
}

// pipe copies from source to target, each byte late by delay, then ends the
// target's sending side.
func pipe(target, source net.Conn, delay time.Duration) {
	defer closeWrite(target)
	if delay == 0 {
		_, _ = io.Copy(target, source)
		return
	}
	chunks := make(chan chunk, chunkBuffer)
	go read(source, delay, chunks)
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := target.Write(c.data); err != nil {
			_ = source.Close()
		}
	}
}

func read(source net.Conn, delay time.Duration, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			chunks <- chunk{due: time.Now().Add(delay), data: buffer[:n]}
		}
		if err != nil {
			return
		}
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
