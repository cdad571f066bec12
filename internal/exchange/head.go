package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxHeadBytes is the largest size of the head of a response, together with those of the
// 1xx responses before it. What the connection's buffer holds already does not count.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge is the cause of the failure of an exchange whose response has a head
// larger than maxHeadBytes. The upstream may have received the request.
var ErrHeadTooLarge = errors.New("head of the response is too large")

// unbounded is the value of boundedReader.left for no bound.
const unbounded = -1

// boundedReader reads from source until its bound is reached.
type boundedReader struct {
	source io.Reader
	// left is the number of bytes that may still be read, or unbounded.
	left int
}

// Read implements io.Reader. It returns ErrHeadTooLarge at the bound.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left == unbounded {
		return r.source.Read(p)
	}
	if r.left == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// readHead reads the head of the next final response and skips 1xx responses. It
// returns an error for a switch of protocols, which no request asks for, and for a status
// below 100.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.bounded.left = maxHeadBytes
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			if c.bounded.left == 0 {
				// A line that the bound cuts off may be reported as malformed.
				return nil, ErrHeadTooLarge
			}
			return nil, err
		}
		switch status := response.StatusCode; {
		case status >= http.StatusOK:
			c.bounded.left = unbounded
			return response, nil
		case status < http.StatusContinue, status == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("unexpected status %q", response.Status)
		}
	}
}
