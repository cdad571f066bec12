package testhost

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
)

// Script returns the bytes that a scripted server sends when a request has arrived, or nil to
// close the connection. connection and request count from 0; request is the number of requests
// that the connection carried before.
type Script func(connection, request int, r *http.Request) []byte

// Scripted is a server of HTTP that may break the rules of the protocol.
type Scripted struct {
	listener           net.Listener
	connections, calls atomic.Int64
}

// ServeScript starts a scripted server that the test's cleanup stops. The script is called
// concurrently for different connections.
func ServeScript(t testing.TB, script Script) *Scripted {
	listener, err := net.Listen("tcp", AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Scripted{listener: listener}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection, int(s.connections.Add(1)-1), script)
		}
	}()
	return s
}

func (s *Scripted) serve(connection net.Conn, number int, script Script) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for request := 0; ; request++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.calls.Add(1)
		answer := script(number, request, r)
		if answer == nil {
			return
		}
		if _, err := connection.Write(answer); err != nil {
			return
		}
	}
}

// Address returns the address of the server, and URL its base URL.
func (s *Scripted) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Scripted) URL() string { return "http://" + s.Address() }

// Connections returns the number of connections so far.
func (s *Scripted) Connections() int { return int(s.connections.Load()) }

// Requests returns the number of requests so far.
func (s *Scripted) Requests() int { return int(s.calls.Load()) }

// JSONAnswer returns an answer with a JSON body, after which the connection stays open.
func JSONAnswer(status int, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d S\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// CopyBeforeNext returns a script that answers like answer, and sends a copy of each answer when
// the next request has arrived on the connection, before the answer to that.
func CopyBeforeNext(answer func(r *http.Request) []byte) Script {
	var copies copiesByConnection
	return func(connection, _ int, r *http.Request) []byte {
		own := answer(r)
		return append(copies.swap(connection, own), own...)
	}
}

// copiesByConnection holds the last answer on each connection.
type copiesByConnection struct {
	mu   sync.Mutex
	last map[int][]byte
}

// swap records the last answer on a connection and returns a copy of the one before it.
func (c *copiesByConnection) swap(connection int, answer []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = make(map[int][]byte)
	}
	former := slices.Clone(c.last[connection])
	c.last[connection] = answer
	return former
}
