// Package exchange sends one HTTP/1.1 request at a time to an upstream over
// pooled connections, and tells exactly how far a request that failed can have got.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"golang.org/x/sys/unix"
)

// Progress says how far a request got that has no answer.
type Progress uint8

const (
	// NotSent means that no byte of the request has left.
	NotSent Progress = iota
	// MaybeSent means that the upstream may have seen the request.
	MaybeSent
)

// Error is the failure of an exchange.
type Error struct {
	Progress Progress
	// Reused says that the connection had served another request before.
	Reused bool
	cause  error
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsUnacknowledged reports whether the upstream's host acknowledged nothing.
func (e *Error) IsUnacknowledged() bool { return errors.Is(e.cause, unix.ETIMEDOUT) }

// Request is what an upstream gets, byte for byte but for the framing.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce says that the request may not be sent again when its outcome is unknown.
	AtMostOnce bool
	// Matches tells whether an answer belongs to this request. Others are dropped.
	Matches func(http.Header) bool
}

// inlineBody is the largest body that is written before the answer is awaited.
// Longer ones are written beside, since an upstream may answer before it has read them.
const inlineBody = 4 << 10

const (
	// bufferedBody is the largest body that is written at once in any case, as the
	// buffers of the connection hold it.
	bufferedBody = 64 << 10
	// writtenGrace is how long the writer of such a body may take to notice that it is
	// done. A longer body that is still written was answered early.
	writtenGrace = 10 * time.Millisecond
)

// maxStrayAnswers bounds the answers to other requests that are skipped.
const maxStrayAnswers = 2

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Delimited says that the body has a length or is chunked. Others end with
	// the connection.
	Delimited bool

	conn     *conn
	response *http.Response
	stop     func() bool
	written  <-chan error
	// grace is how long written is waited for at the end.
	grace time.Duration
	eof   bool
	stray bool
}

// Do sends the request to the upstream at address. When ctx ends the connection
// is closed, also while the body is read. An error is an *Error.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	c, err := p.take(ctx, address, request.AtMostOnce)
	if err != nil {
		return nil, &Error{Progress: NotSent, cause: fault.Wrap(err, "connect", address)}
	}
	stop := context.AfterFunc(ctx, c.abort)
	began := time.Now()
	response, progress, err := c.roundTrip(request)
	if err == nil {
		response.stop = stop
		return response, nil
	}
	stop()
	c.discard()
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	} else {
		p.noteLost(c, time.Since(began), err)
	}
	return nil, &Error{Progress: progress, Reused: c.uses > 0, cause: fault.Wrap(err, "exchange", address)}
}

// roundTrip writes the request and reads the head of its answer.
func (c *conn) roundTrip(request *Request) (*Response, Progress, error) {
	message := encode(request)
	var written chan error
	if len(request.Body) <= inlineBody {
		if n, err := c.net.Write(message); err != nil {
			return nil, progressOf(n), err
		}
	} else {
		written = make(chan error, 1)
		go func() {
			_, err := c.net.Write(message)
			written <- err
		}()
	}
	stray := false
	for range maxStrayAnswers + 1 {
		response, err := readHead(c.reader, request.Method)
		if err != nil {
			return nil, MaybeSent, err
		}
		if request.Matches(response.Header) {
			accepted := c.accept(response, written, stray)
			if len(request.Body) <= bufferedBody {
				accepted.grace = writtenGrace
			}
			return accepted, MaybeSent, nil
		}
		stray = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, MaybeSent, err
		}
	}
	return nil, MaybeSent, errors.New("answers belong to other requests")
}

func progressOf(written int) Progress {
	if written == 0 {
		return NotSent
	}
	return MaybeSent
}

// readHead reads the head of the next final answer.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func (c *conn) accept(response *http.Response, written <-chan error, stray bool) *Response {
	return &Response{
		Status:    response.StatusCode,
		Header:    response.Header,
		Body:      response.Body,
		Delimited: response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		conn:      c,
		response:  response,
		written:   written,
		stray:     stray,
	}
}

// Finished notes that the body was read to its end, so that the connection may
// be used again.
func (r *Response) Finished() { r.eof = true }

// Close gives the connection back, or closes it when the answer was not read to
// its end. It is safe to call more than once.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	notAborted := r.stop == nil || r.stop()
	if !notAborted || !r.reusable(c) {
		c.discard()
		return
	}
	c.keep(keepAlive(r.Header))
}

func (r *Response) reusable(c *conn) bool {
	if !r.eof || r.stray || r.response.Close || !r.Delimited || c.reader.Buffered() > 0 {
		return false
	}
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	case <-time.After(r.grace):
		return false
	}
}

// keepAlive returns how long the upstream keeps an idle connection; 0 when it does not tell.
func keepAlive(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// encode returns the whole message. Header names are written in their canonical form.
func encode(request *Request) []byte {
	size := len(request.Method) + len(request.Target) + len(request.Host) + len(request.Body) + 128
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	b := make([]byte, 0, size)
	b = append(b, request.Method...)
	b = append(b, ' ')
	b = append(b, request.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, request.Host...)
	b = append(b, "\r\n"...)
	for name, values := range request.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(request.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, request.Body...)
}

// dial opens a connection to an upstream.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveProbes}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	boundSilence(connection)
	return connection, nil
}

// LimitRead makes reads of the body fail after an instant.
func (r *Response) LimitRead(until time.Time) {
	if r.conn == nil {
		return
	}
	// A connection that can't take a deadline is closed, and its reads fail.
	_ = r.conn.net.SetReadDeadline(until)
}
