package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/greengagegate/greengagegate/internal/intake"
)

// bodyTimeout bounds the reading of a request's body.
const bodyTimeout = 10 * time.Second

// readBody reads the body of the request into j.body. It returns a refusal if the body is
// too large, cannot be read or would take more memory than is left.
func (j *job) readBody() *refusal {
	if j.r.ContentLength == 0 {
		return nil
	}
	limit := j.maxBodyBytes
	if j.r.ContentLength > limit {
		return refusedTooLarge
	}
	j.upload = intake.FromContext(j.r.Context())
	j.upload.BeginBody()
	// The error is ignored: it means that the response writer has no read deadlines,
	// which is the case in tests only.
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := j.readWhole(limit)
	isOpen := j.upload.EndBody()
	j.upload = nil
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errBodyMemory), !isOpen:
		return refusedMemory
	case errors.Is(err, errBodyTooLarge):
		return refusedTooLarge
	case err != nil:
		j.outcome.err = err
		return refusedMalformed
	}
	j.body = body
	return nil
}

// boundUnreadBody limits how long the HTTP server waits for the rest of a body that was not read
// whole, before it sends the response.
func (j *job) boundUnreadBody() {
	if j.r.ContentLength == 0 || j.body != nil {
		return
	}
	intake.FromContext(j.r.Context()).BeginBody()
	// The error is ignored as in readBody.
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Now().Add(bodyTimeout))
}

// readWhole reads the body of the request: at once if its length is known, otherwise in chunks,
// whose memory counts as they are read.
func (j *job) readWhole(limit int64) (*bufferedBody, error) {
	length := j.r.ContentLength
	if length < 0 {
		return j.bufferBody(j.r.Body, limit)
	}
	if !j.upload.HoldBody(length) || !j.addBuffered(length) {
		return nil, errBodyMemory
	}
	content := make([]byte, length)
	_, err := io.ReadFull(j.r.Body, content)
	return &bufferedBody{chunks: [][]byte{content}, length: int(length), capacity: length}, err
}

// addBuffered adds bytes to the buffered total until the job ends. It reports whether
// the total is within its bound. The bytes are added in either case; if the result is
// false, the caller must not buffer them.
func (j *job) addBuffered(bytes int64) bool {
	j.bufferedBytes += bytes
	return j.gateway.buffered.Add(bytes) <= j.gateway.Bounds.MaxBufferedBytes
}

// bodyChunks returns the content of the request's body; nil if it has none.
func (j *job) bodyChunks() [][]byte {
	if j.body == nil {
		return nil
	}
	return j.body.chunks
}
