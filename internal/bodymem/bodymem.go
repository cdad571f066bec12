// Package bodymem bounds the memory of request bodies that are held whole.
package bodymem

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// firstChunkBytes is the size of the first chunk in which a body is read. It holds most bodies.
	firstChunkBytes = 4 << 10
	// maxChunkBytes is the size up to which further chunks double.
	maxChunkBytes = 256 << 10
	// smallBytes is the memory that a request may take whatever others hold.
	smallBytes = 4 * firstChunkBytes
)

// Errors of ReadAll.
var (
	ErrTooLarge = errors.New("body exceeds the size limit")
	ErrMemory   = errors.New("no memory is left for the body")
)

// Budget is the memory that all bodies may take together. It is safe for concurrent use.
type Budget struct {
	maxBytes int64
	held     atomic.Int64
}

// NewBudget returns a budget of maxBytes.
func NewBudget(maxBytes int64) *Budget { return &Budget{maxBytes: maxBytes} }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// NewHold returns the hold of one request, which must be released.
func (b *Budget) NewHold() *Hold { return &Hold{budget: b} }

// Hold is the part of a Budget that one request takes. It is not safe for concurrent use.
type Hold struct {
	// OnRead is called by ReadAll with the size of each chunk before it is read. If it returns false,
	// ReadAll returns ErrMemory. It may be nil.
	OnRead func(bytes int64) bool

	budget *Budget
	bytes  int64
}

// Grow takes a number of bytes more and reports whether they are granted: if the request takes no
// more than it leaves free, is small, or is the only one. So the largest requests fail first when
// memory is scarce, and one alone never does.
func (h *Hold) Grow(bytes int64) bool {
	total := h.budget.held.Add(bytes)
	h.bytes += bytes
	if h.bytes <= max(h.budget.maxBytes-total, smallBytes) || h.bytes == total {
		return true
	}
	h.budget.held.Add(-bytes)
	h.bytes -= bytes
	return false
}

// Release gives all bytes back.
func (h *Hold) Release() {
	h.budget.held.Add(-h.bytes)
	h.bytes = 0
}

// ReadAll reads a body whole. copies is the number of times that the request's handler holds the
// body in memory; h takes them all. It returns ErrTooLarge for a body larger than limit, ErrMemory,
// or the error of source. Memory is taken before it is allocated.
func (h *Hold) ReadAll(source io.Reader, limit, copies int64) ([]byte, error) {
	chunks, length, err := h.readChunks(source, limit)
	if err != nil {
		return nil, err
	}
	if !h.Grow((copies - 1) * length) {
		return nil, ErrMemory
	}
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	return slices.Concat(chunks...), nil
}

// readChunks reads to the end of source.
func (h *Hold) readChunks(source io.Reader, limit int64) (chunks [][]byte, length int64, err error) {
	for size := firstChunkBytes; ; size = min(2*size, maxChunkBytes) {
		if !h.Grow(int64(size)) || h.OnRead != nil && !h.OnRead(int64(size)) {
			return nil, 0, ErrMemory
		}
		chunk, err := readChunk(source, size)
		length += int64(len(chunk))
		chunks = append(chunks, chunk)
		switch {
		case length > limit:
			return nil, 0, ErrTooLarge
		case errors.Is(err, io.EOF):
			return chunks, length, nil
		case err != nil:
			return nil, 0, err
		}
	}
}

// readChunk reads up to size bytes. Unlike io.ReadFull it returns the error of source unchanged, so
// that the end of a body and a body that was cut off remain distinct.
func readChunk(source io.Reader, size int) (chunk []byte, err error) {
	chunk = make([]byte, size)
	read := 0
	for read < size && err == nil {
		var n int
		n, err = source.Read(chunk[read:])
		read += n
	}
	return chunk[:read], err
}
