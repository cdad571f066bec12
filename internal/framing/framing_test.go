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

func scanAll(t *testing.T, text string, pieceSize int) error {
	t.Helper()
	var s Scanner
	for len(text) > 0 {
		n := min(pieceSize, len(text))
		if err := s.Scan([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

const (
	plainGet    = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	lengthPost  = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	chunkedPost = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0\r\nT: 1\r\n\r\n"
)

func TestScannerAcceptsUnambiguousRequests(t *testing.T) {
	requests := plainGet + lengthPost + chunkedPost + plainGet + chunkedPost + lengthPost
	for pieceSize := 1; pieceSize <= len(requests); pieceSize++ {
		if err := scanAll(t, requests, pieceSize); err != nil {
			t.Fatalf("scan %d bytes at a time: %v", pieceSize, err)
		}
	}
}

func TestScannerRejectsAmbiguousRequests(t *testing.T) {
	cases := map[string]string{
		"length and chunked":  "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunked and length":  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\ncontent-length: 5\r\n\r\n",
		"two lengths":         "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"unknown coding":      "POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"negative length":     "POST /a HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
		"chunk size not hex":  "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"signed chunk size":   "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
		"folded length":       "POST /a HTTP/1.1\r\nContent-Length\r\n : 5\r\n\r\n",
		"folded value":        "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\t0\r\n\r\n",
		"after other request": lengthPost + "POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	for name, text := range cases {
		for _, pieceSize := range []int{1, 7, len(text)} {
			if err := scanAll(t, text, pieceSize); !errors.Is(err, ErrAmbiguous) {
				t.Errorf("scan %s, %d bytes at a time: got %v, want ErrAmbiguous", name, pieceSize, err)
			}
		}
	}
}

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
	go func() { _ = server.Serve(Listener{Listener: listener}) }()
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

// The scanner must process any bytes that net/http reads as requests without a panic. The
// fuzz test fails only if the scanner or net/http panics; it does not compare the requests
// that they find. It skips text that has a transfer coding and contains "content-length"
// anywhere, because a request in it may be ambiguous.
func FuzzScannerDoesNotPanic(f *testing.F) {
	for _, seed := range []string{plainGet, lengthPost, chunkedPost, plainGet + chunkedPost + lengthPost} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := bufio.NewReader(strings.NewReader(text))
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			mayBeAmbiguous := len(request.TransferEncoding) > 0 && strings.Contains(strings.ToLower(text), "content-length")
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if mayBeAmbiguous {
				return
			}
			var s Scanner
			if err := s.Scan([]byte(text)); err != nil {
				return
			}
		}
	})
}
