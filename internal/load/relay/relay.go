// Package relay forwards TCP connections and delays the bytes between zones. Each
// process of a measured fleet has a relay: it listens on its own address and
// advertises the address of its relay.
package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
)

const (
	chunkBytes      = 32 << 10
	maxQueuedChunks = 256
	dialTimeout     = 2 * time.Second
)

// Options configures a relay.
type Options struct {
	// Listen is the address that the relay listens on and the process advertises,
	// Target the address that the process listens on.
	Listen, Target string
	// Delay is the one-way delay that is added in each direction to connections
	// from other zones.
	Delay time.Duration
	// Zone returns the zone of an IP address. It may be called concurrently.
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

// New starts a relay, which forwards connections until Close is called.
func New(options Options) (*Manager, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fault.Wrap(err, "listen", options.Listen)
	}
	m := &Manager{options: options, listener: listener, conns: make(map[net.Conn]struct{})}
	m.tasks.Go(m.accept)
	return m, nil
}

// Close stops the relay, closes its connections and waits for its goroutines.
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

// forward connects an accepted connection to the target and copies in both
// directions until both have ended. If the target cannot be reached, the accepted
// connection is closed.
func (m *Manager) forward(accepted net.Conn) {
	m.track(accepted)
	defer m.closeAndUntrack(accepted)
	dialed, err := net.DialTimeout("tcp", m.options.Target, dialTimeout)
	if err != nil {
		return
	}
	m.track(dialed)
	defer m.closeAndUntrack(dialed)
	delay := m.delayFor(accepted)
	var wg sync.WaitGroup
	wg.Go(func() { copyDelayed(dialed, accepted, delay) })
	wg.Go(func() { copyDelayed(accepted, dialed, delay) })
	wg.Wait()
}

// delayFor returns the delay of an accepted connection: 0 if its source and the
// address that it was accepted on are in the same zone.
func (m *Manager) delayFor(accepted net.Conn) time.Duration {
	source, ok := accepted.RemoteAddr().(*net.TCPAddr)
	local, localOK := accepted.LocalAddr().(*net.TCPAddr)
	if ok && localOK && m.options.Zone(source.IP) == m.options.Zone(local.IP) {
		return 0
	}
	return m.options.Delay
}

func (m *Manager) track(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[conn] = struct{}{}
}

func (m *Manager) closeAndUntrack(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

// chunk is data that was read from a connection and is due for sending at sendAt.
type chunk struct {
	sendAt time.Time
	data   []byte
}

// copyDelayed copies from source to target and delays each byte by delay. At the end
// it closes the write side of target. If a write fails, it closes source and discards
// the rest.
func copyDelayed(target, source net.Conn, delay time.Duration) {
	defer closeWrite(target)
	if delay == 0 {
		_, _ = io.Copy(target, source)
		return
	}
	chunks := make(chan chunk, maxQueuedChunks)
	go readChunks(source, delay, chunks)
	for c := range chunks {
		time.Sleep(time.Until(c.sendAt))
		if _, err := target.Write(c.data); err != nil {
			_ = source.Close()
		}
	}
}

// readChunks reads source until it ends or fails and sends the data to chunks, which
// it closes at the end. It blocks while chunks is full.
func readChunks(source net.Conn, delay time.Duration, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := source.Read(buffer)
		if n > 0 {
			chunks <- chunk{sendAt: time.Now().Add(delay), data: buffer[:n]}
		}
		if err != nil {
			return
		}
	}
}

// closeWrite sends an end of stream on a TCP connection and leaves it open for
// reading.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
