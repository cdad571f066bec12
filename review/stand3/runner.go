package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a runner has begun to work on.
type run struct {
	id, tenant string
	at         time.Time
}

// runner is a stand-in for a runner of a plain service.
type runner struct {
	id, address string
	born        int64
	// stop ends the runner with all its connections.
	stop func()
	// calls answers other calls than requests, and those that do not run; nil if there are none.
	calls func(w http.ResponseWriter, r *http.Request) bool
	// answer writes the response to a request that has run.
	answer func(w http.ResponseWriter, r *http.Request)
	mu     sync.Mutex
	runs   []run
	record *record
}

// startServer starts a server that is not in the store's list.
func startServer(s *stand, id string) *runner {
	listener, err := net.Listen("tcp", "127.0.8."+strconv.Itoa(len(s.runners)+1)+":0")
	if err != nil {
		panic(err)
	}
	r := &runner{id: id, address: listener.Addr().String(), record: s.record, born: time.Now().UnixMilli()}
	s.runners = append(s.runners, r)
	server := &http.Server{Handler: r}
	r.stop = func() { _ = server.Close() }
	go func() { _ = server.Serve(listener) }()
	return r
}

// startRunner starts a runner and enters it in the store's list.
func startRunner(s *stand, id, service string, capacity int) *runner {
	r := startServer(s, id)
	s.store.put("servers", id, entryOf(r, service, capacity))
	return r
}

// entryOf returns the entry of a runner that is ready.
func entryOf(r *runner, service string, capacity int) map[string]any {
	return map[string]any{
		"service": service, "address": r.address, "zone": "zone-a", "version": "v1", "capacity": capacity, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 0, "born": r.born,
	}
}

// ran returns the requests that the runner has begun to work on.
func (r *runner) ran() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Greengagegate-Instance-Id", r.id)
	id := request.Header.Get("Greengagegate-Request-Id")
	if id != "" {
		w.Header().Set("Greengagegate-Request-Id", id)
	}
	if expected := request.Header.Get("Greengagegate-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.calls != nil && r.calls(w, request) || id == "" {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, tenant: request.Header.Get("Greengagegate-Tenant-Id"), at: time.Now()})
	r.mu.Unlock()
	r.record.add("runner %s runs %s", r.id, id)
	w.Header().Set("Greengagegate-Response-Seal", "seal."+id)
	r.answer(w, request)
	r.record.add("runner %s has answered %s", r.id, id)
}
