// Package relay forwards TCP connections and delays the bytes between zones. Each
// process of a measured fleet has a relay. The process listens on its own address
// but advertises the address of its relay.
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

// Relay is the relay of one process.
type Relay struct {
	options  Options
	listener net.Listener
	tasks    sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// New starts a relay, which forwards connections until Close is called.
func New(options Options) (*Relay, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fault.Wrap(err, "listen", options.Listen)
	}
	r := &Relay{options: options, listener: listener, conns: make(map[net.Conn]struct{})}
	r.tasks.Go(r.accept)
	return r, nil
}

// Close stops the relay, closes its connections and waits for its goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() { r.forward(conn) })
	}
}

// forward connects an accepted connection to the target and copies in both
// directions until both have ended. If the target cannot be reached, the accepted
// connection is closed.
func (r *Relay) forward(accepted net.Conn) {
	r.track(accepted)
	defer r.closeAndUntrack(accepted)
	dialed, err := net.DialTimeout("tcp", r.options.Target, dialTimeout)
	if err != nil {
		return
	}
	r.track(dialed)
	defer r.closeAndUntrack(dialed)
	delay := r.delayFor(accepted)
	var wg sync.WaitGroup
	wg.Go(func() { copyDelayed(dialed, accepted, delay) })
	wg.Go(func() { copyDelayed(accepted, dialed, delay) })
	wg.Wait()
}

// delayFor returns the delay of an accepted connection: 0 if its source and the
// address that it was accepted on are in the same zone.
func (r *Relay) delayFor(accepted net.Conn) time.Duration {
	source, ok := accepted.RemoteAddr().(*net.TCPAddr)
	local, localOK := accepted.LocalAddr().(*net.TCPAddr)
	if ok && localOK && r.options.Zone(source.IP) == r.options.Zone(local.IP) {
		return 0
	}
	return r.options.Delay
}

func (r *Relay) track(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
}

func (r *Relay) closeAndUntrack(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
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
