package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/catalog"
)

// pausedBody yields bytes and ends only when release is closed.
type pausedBody struct {
	rest    int
	release chan struct{}
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if b.rest == 0 {
		<-b.release
		return 0, io.EOF
	}
	n := min(len(p), b.rest)
	b.rest -= n
	return n, nil
}

// newUploadGateway returns a gateway whose callers may send bodies up to a size.
func newUploadGateway(t *testing.T, maxBodyBytes int64, handler http.HandlerFunc) *Gateway {
	route := resumableRoute()
	g := newTestGateway(t, route, 1, handler)
	config := &catalog.Config{Version: 2, Pools: g.Catalog.Config().Pools, Limits: catalog.Limits{MaxBodyBytes: maxBodyBytes}}
	config.SetRoutes([]*catalog.Route{route})
	g.Catalog.SetConfig(config)
	return g
}

// Load pattern: many callers upload large bodies at once, in chunks or with a length. What has been
// read of them must count while it is read: those above the bound are refused, and the process's
// memory holds the rest and small bodies beside them.
func TestMemoryOfUploadsIsBounded(t *testing.T) {
	const (
		uploads   = 32
		bodyBytes = 4 << 20
		bound     = 4 * bodyBytes
		// slack is for the buffers of connections.
		slack = 4 << 20
	)
	for name, length := range map[string]int64{"in chunks": -1, "with a length": bodyBytes} {
		t.Run(name, func(t *testing.T) {
			g := newUploadGateway(t, bodyBytes, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
			g.Bounds.MaxBufferedBytes = bound
			release := make(chan struct{})
			before := liveHeap()
			var wait sync.WaitGroup
			var mu sync.Mutex
			statuses := make(map[int]int)
			for range uploads {
				wait.Go(func() {
					request := httptest.NewRequest(http.MethodPost, "/draft", &pausedBody{rest: bodyBytes, release: release})
					request.ContentLength = length
					caller := httptest.NewRecorder()
					g.ServeHTTP(caller, request)
					mu.Lock()
					defer mu.Unlock()
					statuses[caller.Code]++
				})
			}
			// Garbage that is made during a collection survives it, so measure after the burst.
			time.Sleep(time.Second)
			if held := liveHeap() - before; held > bound+slack {
				t.Errorf("%d uploads hold %d bytes, want at most %d", uploads, held, bound+slack)
			}
			small := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/draft", strings.NewReader("small"))
			request.ContentLength = -1
			g.ServeHTTP(small, request)
			close(release)
			wait.Wait()
			if statuses[http.StatusOK] == 0 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != uploads {
				t.Errorf("statuses %v, want some 200 and otherwise 503", statuses)
			}
			if small.Code != http.StatusOK {
				t.Errorf("status %d of a small body beside them, want 200", small.Code)
			}
			if got := g.Buffered(); got != 0 {
				t.Errorf("%d bytes count as buffered after the requests, want none", got)
			}
		})
	}
}

// A body reaches the upstream unchanged, whatever its size and framing, and one above the limit is
// refused.
func TestBodyIsForwardedUnchanged(t *testing.T) {
	const limit = 1 << 20
	received := make(chan []byte, 1)
	g := newUploadGateway(t, limit, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- body
	})
	g.Bounds.MaxBufferedBytes = 8 * limit
	for _, size := range []int{1, firstChunkBytes - 1, firstChunkBytes, firstChunkBytes + 1, 100_000, limit - 1, limit, limit + 1} {
		for _, length := range []int64{-1, int64(size)} {
			body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
			request := httptest.NewRequest(http.MethodPost, "/draft", io.MultiReader(bytes.NewReader(body)))
			request.ContentLength = length
			caller := httptest.NewRecorder()
			g.ServeHTTP(caller, request)
			if size > limit {
				if caller.Code != http.StatusRequestEntityTooLarge {
					t.Errorf("%d bytes, length %d: status %d, want 413", size, length, caller.Code)
				}
				continue
			}
			if caller.Code != http.StatusOK {
				t.Fatalf("%d bytes, length %d: status %d, want 200", size, length, caller.Code)
			}
			if got := <-received; !bytes.Equal(got, body) {
				t.Errorf("%d bytes, length %d: upstream got %d other bytes", size, length, len(got))
			}
		}
	}
}
