package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// firstChunkBytes is the size of the first chunk of a bufferedBody. It holds most
	// bodies.
	firstChunkBytes = 4 << 10
	// maxChunkBytes is the size up to which further chunks double.
	maxChunkBytes = 256 << 10
)

var (
	errBodyTooLarge = errors.New("body exceeds the size limit")
	errBodyMemory   = errors.New("no memory is left for the body")
)

// bufferedBody is the body of a request or a response in memory. It consists of chunks, so that
// it grows without copies.
type bufferedBody struct {
	chunks [][]byte
	length int
	// capacity is the memory of the chunks in bytes, which counts as buffered.
	capacity int64
}

// bufferBody reads a whole body. It returns errBodyTooLarge for one larger than limit,
// errBodyMemory, or the error of source. The memory counts as buffered before it is allocated.
// After an error nothing of the body counts.
func (j *job) bufferBody(source io.Reader, limit int64) (*bufferedBody, error) {
	body := &bufferedBody{}
	for size := firstChunkBytes; ; size = min(2*size, maxChunkBytes) {
		err := j.addChunk(body, source, size)
		if int64(body.length) > limit {
			err = errBodyTooLarge
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			j.releaseBody(body)
			return nil, err
		}
	}
}

// addChunk reads the next chunk of a body. It returns io.EOF at the end of the body, and
// errBodyMemory if the body would take more memory than it leaves free. So the largest
// bodies fail first when memory is scarce, and a body of one chunk never does.
func (j *job) addChunk(body *bufferedBody, source io.Reader, size int) error {
	body.capacity += int64(size)
	j.addBuffered(int64(size))
	if !j.upload.HoldBody(int64(size)) {
		return errBodyMemory
	}
	free := j.gateway.Bounds.MaxBufferedBytes - j.gateway.buffered.Load()
	if body.capacity > max(free, firstChunkBytes) {
		return errBodyMemory
	}
	chunk := make([]byte, size)
	n, err := readFull(source, chunk)
	body.chunks = append(body.chunks, chunk[:n])
	body.length += n
	return err
}

// readFull fills buffer. Unlike io.ReadFull it returns the error of source unchanged, so
// that the end of a body and a body that was cut off remain distinct.
func readFull(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = source.Read(buffer[n:])
		n += read
	}
	return n, err
}

// releaseBody subtracts a body that is no longer used from the buffered total.
func (j *job) releaseBody(body *bufferedBody) { j.addBuffered(-body.capacity) }

// write writes the body to the caller, which must take a part of it within each writeTimeout; see
// intake.Conn.ExtendWrites.
func (b *bufferedBody) write(w http.ResponseWriter) error {
	controller := http.NewResponseController(w)
	for _, chunk := range b.chunks {
		// The error is ignored: only response writers in tests have no write deadlines.
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}
