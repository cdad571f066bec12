package framing

import (
	"bufio"
	"errors"
	"io"
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

// A value that is cut off because its line is long could be read as another one.
func TestScannerRejectsLongLinesThatMatter(t *testing.T) {
	zeros := strings.Repeat("0", 2*maxLineBytes)
	cases := map[string]string{
		"length":     "POST /a HTTP/1.1\r\nContent-Length: " + zeros + "5\r\n\r\n",
		"coding":     "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked" + strings.Repeat(" ", 2*maxLineBytes) + "x\r\n\r\n",
		"chunk size": "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + zeros + "5\r\n",
	}
	for name, text := range cases {
		if err := scanAll(t, text, 7); !errors.Is(err, ErrAmbiguous) {
			t.Errorf("scan %s, 7 bytes at a time: got %v, want ErrAmbiguous", name, err)
		}
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

// Each chunk costs a line; tiny chunks must not cost an allocation each.
func BenchmarkScanChunksOfOneByte(b *testing.B) {
	head := []byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunks := []byte(strings.Repeat("1\r\nx\r\n", 680))
	var s Scanner
	if err := s.Scan(head); err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(chunks)))
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Scan(chunks); err != nil {
			b.Fatal(err)
		}
	}
}

// Most requests are small and arrive whole.
func BenchmarkScanSmallRequests(b *testing.B) {
	request := []byte(lengthPost + plainGet)
	var s Scanner
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Scan(request); err != nil {
			b.Fatal(err)
		}
	}
}
