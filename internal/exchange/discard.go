package exchange

import (
	"errors"
	"io"
	"time"
)

// maxDiscardedBytes is the largest body that is read only to reach the bytes after it.
const maxDiscardedBytes = 256 << 10

// errDiscardedTooLarge reports a body larger than maxDiscardedBytes.
var errDiscardedTooLarge = errors.New("body to be discarded is too large")

// maxDiscardTime is how long Discard waits for the end of a body. The caller may go on only
// after it.
const maxDiscardTime = 50 * time.Millisecond

// Discard reads the rest of the body, so that the connection can be reused. It gives up,
// so that Close closes the connection, if the body is larger than maxDiscardedBytes or does
// not end within maxDiscardTime.
func (r *Response) Discard() {
	r.SetReadDeadline(time.Now().Add(maxDiscardTime))
	if discardBody(r.Body) == nil {
		r.MarkBodyRead()
	}
}

// discardBody reads a body to its end. It returns errDiscardedTooLarge if the body is
// larger than maxDiscardedBytes.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return errDiscardedTooLarge
	}
	return err
}
