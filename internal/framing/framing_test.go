package framing

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func scanAll(t *testing.T, text string, step int) error {
	t.Helper()
	var s Scanner
	for len(text) > 0 {
		n := min(step, len(text))
		if err := s.Scan([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

const (
	plainGet  = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	lengthPut = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	chunkPut  = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0\r\nT: 1\r\n\r\n"
)

func TestScannerAcceptsSoundRequestsInAnyPieces(t *testing.T) {
	series := plainGet + lengthPut + chunkPut + plainGet + chunkPut + lengthPut
	for step := 1; step <= len(series); step++ {
		if err := scanAll(t, series, step); err != nil {
			t.Fatalf("pieces of %d bytes: %v", step, err)
		}
	}
}

func TestScannerFindsAmbiguousRequests(t *testing.T) {
	cases := map[string]string{
		"length and chunked":  "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunked and length":  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\ncontent-length: 5\r\n\r\n",
		"two lengths":         "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"unknown coding":      "POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"negative length":     "POST /a HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
		"chunk size not hex":  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"signed chunk size":   "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
		"after other request": lengthPut + "POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	for name, text := range cases {
		for _, step := range []int{1, 7, len(text)} {
			if err := scanAll(t, text, step); !errors.Is(err, ErrAmbiguous) {
				t.Errorf("%s in pieces of %d: got %v, want ErrAmbiguous", name, step, err)
			}
		}
	}
}

// A request hidden in the body of an ambiguous one never reaches the handler.
func TestListenerRefusesSmuggledRequest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan string, 4)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen <- r.URL.Path })}
	go func() { _ = server.Serve(Listener{Listener: inner}) }()
	defer func() { _ = server.Close() }()
	connection, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	hidden := "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
	text := "POST /outer HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden
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
		t.Errorf("body %q does not tell the reason", rest)
	}
	select {
	case path := <-seen:
		t.Errorf("the handler saw %s", path)
	default:
	}
}

// What the scanner lets pass, net/http reads as the same number of requests.
func FuzzScannerAgreesWithNetHTTP(f *testing.F) {
	for _, seed := range []string{plainGet, lengthPut, chunkPut, plainGet + chunkPut + lengthPut} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := bufio.NewReader(strings.NewReader(text))
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			ambiguous := len(request.TransferEncoding) > 0 && strings.Contains(strings.ToLower(text), "content-length")
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if ambiguous {
				return
			}
			var s Scanner
			if err := s.Scan([]byte(text)); err != nil {
				return
			}
		}
	})
}
