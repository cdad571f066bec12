package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, Path, Key string
	// Usage is the value of Greengagegate-Token-Usage, and Prefix that of
	// Greengagegate-Prefix-Hash, of a request to a model.
	Usage, Prefix string
	Deadline      time.Duration
	Body          []byte
}

// NewID returns the ID of an attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is what a client got. Err is set if the connection ended without a complete answer.
type Answer struct {
	Status int
	Seal   string
	Body   string
	Err    error
}

// Client is a client with one kept connection.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a client's connection to a gateway.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Head returns the head of a request, without the headers of its body's framing.
func Head(r *Request) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nGreengagegate-Request-Id: %s\r\n", r.Method, r.Path, Host, r.ID)
	if r.Usage != "" {
		fmt.Fprintf(&b, "Greengagegate-Model: %s\r\nGreengagegate-Token-Usage: %s\r\nGreengagegate-Prefix-Hash: %s\r\n", Model, r.Usage, r.Prefix)
	}
	fmt.Fprintf(&b, "Greengagegate-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.Deadline.Milliseconds(), r.Key)
	return b.String()
}

// Do sends a request whose body has a length, and reads the answer.
func (c *Client) Do(r *Request) Answer {
	message := Head(r)
	if r.Method == http.MethodPost {
		message += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := c.conn.Write(append([]byte(message+"\r\n"), r.Body...)); err != nil {
		return Answer{Err: err}
	}
	return c.Read(r)
}

// DoPaced sends a request with a body, at most perSecond bytes a second, and reads the answer. The
// body is in chunks or has a length. A final answer that comes before the whole body is sent ends
// the sending.
func (c *Client) DoPaced(r *Request, perSecond int, inChunks bool) Answer {
	framing, piece, end := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(r.Body)), "%[2]s", ""
	if inChunks {
		framing, piece, end = "Transfer-Encoding: chunked\r\n\r\n", "%[1]x\r\n%[2]s\r\n", "0\r\n\r\n"
	}
	if _, err := io.WriteString(c.conn, Head(r)+framing); err != nil {
		return Answer{Err: err}
	}
	const size = 32 << 10
	started, sent := time.Now(), 0
	for len(r.Body) > sent {
		part := r.Body[sent:min(len(r.Body), sent+size)]
		if _, err := fmt.Fprintf(c.conn, piece, len(part), part); err != nil {
			return c.Read(r)
		}
		sent += len(part)
		time.Sleep(time.Until(started.Add(time.Duration(sent) * time.Second / time.Duration(perSecond))))
	}
	if _, err := io.WriteString(c.conn, end); err != nil {
		return c.Read(r)
	}
	return c.Read(r)
}

// Read reads the answer to a request.
func (c *Client) Read(r *Request) Answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(r.Deadline + 2*time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	answer := Answer{Status: response.StatusCode, Seal: response.Header.Get("Greengagegate-Response-Seal"), Body: string(body), Err: err}
	if response.Close && err == nil {
		c.Close()
	}
	return answer
}

// IsTimeout reports whether a client gave up waiting.
func (a *Answer) IsTimeout() bool {
	var netErr net.Error
	return errors.As(a.Err, &netErr) && netErr.Timeout()
}

// String describes an answer for a record.
func (a *Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no complete answer (status %d): %v", a.Status, a.Err)
	}
	return fmt.Sprintf("%d, seal %q, %d bytes", a.Status, a.Seal, len(a.Body))
}
