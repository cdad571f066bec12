package origin

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
)

// blockedReader counts reads, which end when release is closed.
type blockedReader struct {
	release chan struct{}
	reads   atomic.Int64
}

func (r *blockedReader) ReadVersions(context.Context) (map[string][]string, error) {
	r.reads.Add(1)
	<-r.release
	return nil, nil
}

// Requests that ask during a read must not take its result, which may be older than they are, and
// must share the next one, however many they are.
func TestRequestsShareNextRead(t *testing.T) {
	const requests = 200
	reader := &blockedReader{release: make(chan struct{})}
	r := newReads(reader, zerolog.Nop())
	defer r.close()
	first := r.request()
	next := r.request()
	if next == first {
		t.Error("a request takes the result of a read that was sent before it")
	}
	for range requests {
		if r.request() != next {
			t.Fatal("a request does not share the next read")
		}
	}
	close(reader.release)
	<-next.done
	if got := reader.reads.Load(); got != 2 {
		t.Errorf("%d reads, want 2", got)
	}
}
