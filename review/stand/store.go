// Package stand has stand-ins for the platform, for runners and for clients, which speak what
// the users' pages say, and starts gateways as separate processes. The cases of the review use
// it. Nothing here is part of the product.
package stand

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/api/objects/"
	// answerTime is how long the store takes for a call.
	answerTime = 4 * time.Millisecond
)

// Metadata is that of an object in the store.
type Metadata struct {
	Name      string `json:"name"`
	Revision  int64  `json:"revision,omitempty"`
	CreateRev int64  `json:"create_rev,omitempty"`
}

// Object is an object in the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// Write is a write call of a gateway that the store has carried out.
type Write struct {
	At     time.Time
	Method string
	Kind   string
	Object Object
}

type event struct {
	Object  Object `json:"object"`
	Removed bool   `json:"removed"`
}

type change struct {
	kind string
	event
}

// Store is a stand-in for the platform's store.
type Store struct {
	Address string
	// LoseAnswer decides, after a write of a gateway was done, whether its answer is lost.
	// nil means that none is. It is called with a lock held and must not call the Store.
	LoseAnswer func(Write) bool

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	history  []change
	wake     chan struct{}
	writes   []Write
}

// NewStore starts a store on a loopback address.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), revision: 1, objects: make(map[string]map[string]Object), wake: make(chan struct{})}
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.handle)) }()
	return s, nil
}

// Put writes the spec of an object, as the operator or a runner does.
func (s *Store) Put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.save(kind, name, encoded)
}

// Writes returns the writes of gateways so far.
func (s *Store) Writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.writes)
}

// save writes an object. A write that changes nothing has no effect. s.mu must be held.
func (s *Store) save(kind, name string, spec json.RawMessage) Object {
	object, exists := s.objects[kind][name]
	if exists && bytes.Equal(object.Spec, spec) {
		return object
	}
	s.revision++
	if !exists {
		object.Metadata = Metadata{Name: name, CreateRev: s.revision}
	}
	object.Metadata.Revision = s.revision
	object.Spec = slices.Clone(spec)
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = object
	s.record(change{kind: kind, event: event{Object: object}})
	return object
}

// record adds a change to the history. s.mu must be held.
func (s *Store) record(c change) {
	s.history = append(s.history, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	if r.Method == http.MethodGet {
		s.handleRead(w, r, kind, name)
		return
	}
	status, answer, lost := s.handleWrite(r, kind, name)
	if lost {
		// A connection on which an answer is lost returns nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, answer)
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	if r.URL.Query().Has("watch") {
		s.handleWatch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		object, ok := s.objects[kind][name]
		if !ok {
			writeJSON(w, http.StatusNotFound, nil)
			return
		}
		writeJSON(w, http.StatusOK, object)
		return
	}
	items := []Object{}
	for name, object := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.revision})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		wake, revision := s.wake, s.revision
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c.event)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-wake:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// handleWrite carries out a write. lost is true if its answer is lost.
func (s *Store) handleWrite(r *http.Request, kind, name string) (status int, answer any, lost bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var requested Object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &requested); err != nil {
			return http.StatusBadRequest, nil, false
		}
	}
	if name == "" {
		name = requested.Metadata.Name
	}
	expected := requested.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, current, false
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil, false
	case r.Method != http.MethodPost && expected > 0 && expected != current.Metadata.Revision:
		return http.StatusConflict, current, false
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		current.Metadata.Revision = s.revision
		s.record(change{kind: kind, event: event{Object: current, Removed: true}})
	default:
		current = s.save(kind, name, requested.Spec)
	}
	done := Write{At: time.Now(), Method: r.Method, Kind: kind, Object: current}
	s.writes = append(s.writes, done)
	return http.StatusOK, current, s.LoseAnswer != nil && s.LoseAnswer(done)
}
