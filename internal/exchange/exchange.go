// Package exchange is an HTTP/1.1 client with a connection pool. Each connection
// carries one request at a time. The error of a failed request reports whether the
// upstream may have received it, so that callers know whether a retry is safe.
package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/greengagegate/greengagegate/internal/bootclock"
	"github.com/greengagegate/greengagegate/internal/fault"
	"golang.org/x/sys/unix"
)

// Progress reports how far a request without a response got.
type Progress uint8

const (
	// NotSent means that no byte of the request was written.
	NotSent Progress = iota
	// MaybeSent means that the upstream may have received the request.
	MaybeSent
)

// Error describes a failed exchange.
type Error struct {
	Progress Progress
	// Reused reports whether the connection had served another request before.
	Reused bool
	cause  error
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsUnacknowledged reports whether the connection timed out because the upstream's
// host did not acknowledge the data sent to it.
func (e *Error) IsUnacknowledged() bool { return errors.Is(e.cause, unix.ETIMEDOUT) }

// Request is a request to an upstream. Its method, target, host, header and body
// are sent unchanged; only Content-Length is added.
type Request struct {
	Method string
	// Target is the path and query exactly as received from the caller.
	Target string
	Host   string
	Header http.Header
	// Body is the content of the body in one or more parts.
	Body [][]byte
	// AtMostOnce reports whether the request must not be repeated when its outcome is
	// unknown.
	AtMostOnce bool
	// ID identifies the request in its responses; empty if they do not name it. The request
	// is not sent on a connection that has carried one with the same ID before.
	ID string
	// ResponseID returns the ID of the request that a response with this header belongs to.
	// It must not be nil. Up to maxMismatchedResponses responses to other requests are skipped;
	// after more, or after a body larger than maxDiscardedBytes, the exchange fails.
	ResponseID func(http.Header) string
}

// bodyLength returns the size of the body in bytes.
func (r *Request) bodyLength() int {
	length := 0
	for _, part := range r.Body {
		length += len(part)
	}
	return length
}

// maxInlineBodyBytes is the largest body that is written before the response is read.
// Larger bodies are written concurrently with reading, since an upstream may respond
// before it has read the whole body.
const maxInlineBodyBytes = 4 << 10

const (
	// maxBufferedBodyBytes is the largest body whose write is expected to complete
	// without the upstream reading, since the connection's buffers hold it.
	maxBufferedBodyBytes = 64 << 10
	// bufferedWriteGrace is how long Close waits for the writing goroutine to report
	// that it has written such a body. If a larger body is still being written, the
	// upstream responded early and Close does not wait.
	bufferedWriteGrace = 50 * time.Millisecond
)

// maxMismatchedResponses is the maximum number of skipped responses to other requests.
const maxMismatchedResponses = 2

// Response is a response whose body has not been read yet. The caller must call
// Close. It is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Delimited reports whether the body has a length or is chunked. Any other body
	// ends when the connection is closed.
	Delimited bool

	// ConnectedAt is when the connection was open on which the response arrived. It ends with
	// the upstream's process.
	ConnectedAt bootclock.Instant

	conn     *conn
	response *http.Response
	// stopAbort prevents the abort when ctx ends. It returns false if the abort has
	// started.
	stopAbort func() bool
	// writeDone receives the result of writing the request. It is nil if the request was
	// written before the response was read.
	writeDone <-chan error
	// writeGrace is how long Close waits for writeDone.
	writeGrace time.Duration
	bodyRead   bool
	// mismatched reports whether responses to other requests were skipped before this one.
	mismatched bool
}

// Do sends the request to the upstream at address and returns the response once its
// head is read. If ctx ends before Close, the connection is closed, so reading the
// body fails. If ctx has ended, nothing is sent. The error is always an *Error.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Progress: NotSent, cause: fault.Wrap(err, "connect", address)}
	}
	c, err := p.acquire(ctx, address, request)
	if err != nil {
		return nil, &Error{Progress: NotSent, cause: fault.Wrap(err, "connect", address)}
	}
	stop := context.AfterFunc(ctx, c.abort)
	started := time.Now()
	response, progress, err := c.roundTrip(request)
	if err == nil {
		response.stopAbort = stop
		return response, nil
	}
	stop()
	c.discard()
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	} else {
		p.detectDrop(c, time.Since(started), err)
	}
	return nil, &Error{Progress: progress, Reused: c.uses > 0, cause: fault.Wrap(err, "exchange", address)}
}

// roundTrip writes the request and reads the head of its response. Responses that
// do not match the request are skipped.
func (c *conn) roundTrip(request *Request) (*Response, Progress, error) {
	c.lastID, c.responseID = request.ID, request.ResponseID
	c.carried.add(request.ID)
	bodyLength := request.bodyLength()
	if bodyLength > maxBufferedBodyBytes {
		c.limitUnacked(silenceTimeout)
	} else {
		c.limitUnacked(unackedTimeout)
	}
	head := encodeHead(request, bodyLength)
	var writeDone chan error
	if bodyLength <= maxInlineBodyBytes {
		message := head
		for _, part := range request.Body {
			message = append(message, part...)
		}
		if n, err := c.netConn.Write(message); err != nil {
			return nil, writeProgress(n), err
		}
	} else {
		// A large body is not copied.
		message := append(net.Buffers{head}, request.Body...)
		writeDone = make(chan error, 1)
		go func() {
			_, err := message.WriteTo(c.netConn)
			writeDone <- err
		}()
	}
	mismatched := false
	for range maxMismatchedResponses + 1 {
		response, err := c.readHead(request.Method)
		if err != nil {
			return nil, MaybeSent, err
		}
		responseID := request.ResponseID(response.Header)
		if responseID == request.ID {
			result := c.newResponse(response, writeDone, mismatched)
			if bodyLength <= maxBufferedBodyBytes {
				result.writeGrace = bufferedWriteGrace
			}
			return result, MaybeSent, nil
		}
		mismatched = true
		c.reportMismatch(request.ID, responseID, response.StatusCode)
		if err := discardBody(response.Body); err != nil {
			return nil, MaybeSent, err
		}
	}
	return nil, MaybeSent, errors.New("received only responses to other requests")
}

// writeProgress returns the progress of a request whose write failed after
// bytesWritten bytes.
func writeProgress(bytesWritten int) Progress {
	if bytesWritten == 0 {
		return NotSent
	}
	return MaybeSent
}

// newResponse returns the Response for a head that was read on c.
func (c *conn) newResponse(response *http.Response, writeDone <-chan error, mismatched bool) *Response {
	result := &Response{
		Status:      response.StatusCode,
		Header:      response.Header,
		Body:        response.Body,
		Delimited:   response.ContentLength >= 0 || len(response.TransferEncoding) > 0,
		ConnectedAt: c.openedAt,
		conn:        c,
		response:    response,
		writeDone:   writeDone,
		mismatched:  mismatched,
	}
	if !result.Delimited && writeDone != nil {
		result.Body = &undelimitedBody{source: response.Body, writeDone: writeDone}
	}
	return result
}

// undelimitedBody is the body of a response that ends with its connection and began while
// the request was still being written. If the connection is reset, the goroutine that writes
// the request may get the error, and a read sees a regular end.
type undelimitedBody struct {
	source    io.Reader
	writeDone <-chan error
	// end is the result of Read at the end, nil before.
	end error
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF at an end of the connection if
// the request was not written completely.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.source.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.end = io.ErrUnexpectedEOF
	select {
	case writeErr := <-b.writeDone:
		if writeErr == nil {
			b.end = io.EOF
		}
	case <-time.After(bufferedWriteGrace):
	}
	return n, b.end
}

// MarkBodyRead records that the whole body was read, so that the connection may be
// reused.
func (r *Response) MarkBodyRead() { r.bodyRead = true }

// Close returns the connection to the pool, or closes it if it cannot be reused,
// for example because MarkBodyRead was not called. It may be called more than
// once.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	abortPrevented := r.stopAbort == nil || r.stopAbort()
	if !abortPrevented || !r.bodyRead || !r.Delimited {
		// Bytes that arrived are the rest of the body.
		c.discard()
		return
	}
	isReusable := r.isReusable(c)
	if state := c.idleState(); !isReusable || state != healthy {
		c.retire(state)
		return
	}
	c.uses++
	c.release(keepAliveTimeout(r.Header))
}

// isReusable reports whether c, from which the response was read completely, may serve another
// request: the request was written completely, neither the upstream nor a mismatched response
// requires closing the connection, and it may carry further requests.
func (r *Response) isReusable(c *conn) bool {
	if r.mismatched || r.response.Close || c.carried.isFull() || r.response.Request.Method == http.MethodHead {
		return false
	}
	if r.writeDone == nil {
		return true
	}
	select {
	case err := <-r.writeDone:
		return err == nil
	case <-time.After(r.writeGrace):
		return false
	}
}

// keepAliveTimeout returns how long the upstream keeps an idle connection, from the
// Keep-Alive header, or 0 if the header does not specify it.
func keepAliveTimeout(header http.Header) time.Duration {
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

// encodeHead returns the encoded request without its body, for which the result has room if it is
// small. request.Header must hold header names in their canonical form, since they are written
// unchanged.
func encodeHead(request *Request, bodyLength int) []byte {
	size := len(request.Method) + len(request.Target) + len(request.Host) + 128
	if bodyLength <= maxInlineBodyBytes {
		size += bodyLength
	}
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
	if bodyLength > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(bodyLength), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// dial opens a TCP connection to an upstream.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig}
	return dialer.DialContext(ctx, "tcp", address)
}

// TolerateSilence lets the rest of the response arrive although the upstream's host is silent
// for up to silenceTimeout. Until it is called, and for other exchanges, the connection fails
// after about unackedTimeout. It does nothing after Close.
func (r *Response) TolerateSilence() {
	if r.conn != nil {
		r.conn.limitUnacked(silenceTimeout)
	}
}

// SetReadDeadline sets the deadline after which reads of the body fail. It does nothing
// after Close.
func (r *Response) SetReadDeadline(deadline time.Time) {
	if r.conn == nil {
		return
	}
	// SetReadDeadline fails only on a closed connection, whose reads fail anyway.
	_ = r.conn.netConn.SetReadDeadline(deadline)
}
