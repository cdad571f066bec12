package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// net/http reads a request with both a length and a transfer coding as chunked, and
// the bytes after the last chunk as a second request. Neither request may reach the
// handler, and the caller must get status 400.
func TestListenerRejectsSmuggledRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handledPaths := make(chan string, 4)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handledPaths <- r.URL.Path })}
	go func() {
		_ = New(Options{Limits: Limits{Connections: 10, HeadBytes: 1 << 20, BodyBytes: 1 << 20}}).Serve(server, listener)
	}()
	defer func() { _ = server.Close() }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	hiddenRequest := "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
	text := "POST /outer HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hiddenRequest
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d, want 400", response.StatusCode)
	}
	rest, _ := io.ReadAll(response.Body)
	if !strings.Contains(string(rest), "ambiguous") {
		t.Errorf("response body %q does not state the reason", rest)
	}
	select {
	case path := <-handledPaths:
		t.Errorf("handler received the request for %s", path)
	default:
	}
}

// startServer serves handler on a listener with limits and returns its address.
func startServer(t testing.TB, limits Limits, handler http.HandlerFunc) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	manager := New(Options{Door: "test", Limits: limits})
	go func() { _ = manager.Serve(server, listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if status := manager.Status(); status.HeadBytes < 0 || status.BodyBytes < 0 {
			t.Errorf("the connections hold %+v", status)
		}
	})
	return listener.Addr().String()
}

func dial(t testing.TB, address string) net.Conn {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	return connection
}

var wideLimits = Limits{Connections: 100, HeadBytes: 1 << 20, BodyBytes: 1 << 20}

// Requests that follow each other without a pause, cut at any byte, reach the handler unchanged.
func TestRequestsCutAnywhereAreServed(t *testing.T) {
	address := startServer(t, wideLimits, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	text := "GET /a HTTP/1.1\r\nHost: x\r\n\r\n" +
		"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello" +
		"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
		"GET /d HTTP/1.1\r\nHost: x\r\n\r\n"
	want := []string{"/a", "/bhello", "/cabcde", "/d"}
	for cut := 1; cut < len(text); cut++ {
		connection := dial(t, address)
		for _, piece := range []string{text[:cut], text[cut:]} {
			if _, err := io.WriteString(connection, piece); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		reader := bufio.NewReader(connection)
		for _, path := range want {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("cut at %d: %s: %v", cut, path, err)
			}
			if body, _ := io.ReadAll(response.Body); string(body) != path {
				t.Errorf("cut at %d: got %q, want %q", cut, body, path)
			}
		}
		_ = connection.Close()
	}
}

// A request that a handler serves must keep its caller while connections are closed for others,
// also when its next request has begun.
func TestServedRequestKeepsItsConnection(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	address := startServer(t, Limits{Connections: 2, HeadBytes: 1, BodyBytes: 1}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/slow" {
			return
		}
		close(begun)
		<-release
		if err := r.Context().Err(); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	slow := dial(t, address)
	if _, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\nGET /next HTTP/1.1\r\nHo"); err != nil {
		t.Fatal(err)
	}
	<-begun
	for range 10 {
		connection := dial(t, address)
		if _, err := io.WriteString(connection, "GET /quick HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(connection), nil); err != nil {
			t.Fatal(err)
		}
	}
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", response.StatusCode)
	}
}

// Requests that follow each other without a pause are served one after the other. While one is served,
// the connection must not count as idle, and nothing may be written into its response.
func TestPipelinedRequestKeepsItsConnection(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	address := startServer(t, Limits{Connections: 2, HeadBytes: 1 << 20, BodyBytes: 1}, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/first":
			// The server looks for the next request meanwhile.
			time.Sleep(50 * time.Millisecond)
		case "/slow":
			close(begun)
			<-release
			if err := r.Context().Err(); err != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}
	})
	pipelining := dial(t, address)
	ambiguous := "GET /bad HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n"
	if _, err := io.WriteString(pipelining, "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /slow HTTP/1.1\r\nHost: x\r\n\r\n"+ambiguous); err != nil {
		t.Fatal(err)
	}
	<-begun
	for range 5 {
		connection := dial(t, address)
		if _, err := io.WriteString(connection, "GET /quick HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(bufio.NewReader(connection), nil); err != nil {
			t.Fatal(err)
		}
	}
	close(release)
	reader := bufio.NewReader(pipelining)
	for _, want := range []int{http.StatusOK, http.StatusOK, http.StatusBadRequest} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if response.StatusCode != want {
			t.Errorf("status %d, want %d", response.StatusCode, want)
		}
	}
}

// An unfinished head that is closed for others gets status 408, which states that nothing has run.
func TestUnfinishedHeadThatIsClosedIsAnswered(t *testing.T) {
	address := startServer(t, Limits{Connections: 100, HeadBytes: 16 << 10, BodyBytes: 1}, func(http.ResponseWriter, *http.Request) {})
	connection := dial(t, address)
	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nx: "+strings.Repeat("v", 40<<10)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestTimeout || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 408 and a time", response.StatusCode, response.Header.Get("Retry-After"))
	}
}

// Connections that were closed for others may take seconds to release what they hold, since their
// clients read no response. Small bodies must not wait for that.
func TestSmallBodiesDoNotWaitForClosedConnections(t *testing.T) {
	m := New(Options{Limits: wideLimits})
	m.ledger.closingBytes = wideLimits.HeadBytes
	c := &Conn{manager: m, closed: make(chan struct{})}
	c.entry.conn = c
	held := make(chan bool, 1)
	go func() {
		c.BeginBody()
		held <- c.HoldBody(smallBodyBytes) && c.EndBody()
	}()
	select {
	case ok := <-held:
		if !ok {
			t.Error("the body was refused")
		}
	case <-time.After(5 * time.Second):
		t.Error("the body waits")
	}
}

func BenchmarkSmallRequests(b *testing.B) {
	address := startServer(b, wideLimits, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	})
	connection := dial(b, address)
	_ = connection.SetDeadline(time.Time{})
	reader := bufio.NewReader(connection)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(connection, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}
