package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the metadata of an object in the store.
type metadata struct {
	Name      string `json:"name"`
	Revision  int64  `json:"revision,omitempty"`
	CreateRev int64  `json:"create_rev,omitempty"`
}

// object is an object in the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// change is an entry of the store's history.
type change struct {
	at      time.Time
	kind    string
	removed bool
	object  object
}

// store is a stand-in for the platform's store. It is linearizable.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	// keep is how long changes stay in the history; 0 means for good. dropped is the last revision that
	// is no longer in it.
	keep    time.Duration
	dropped int64
	wake    chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), wake: make(chan struct{})}
}

// put writes an object without a condition, as the operator and runners do.
func (s *store) put(kind, name string, content any) {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.objects[kind][name]
	former.Metadata.Name, former.Spec = name, encoded
	s.save(kind, former)
}

// remove removes an object, as the operator and runners do.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, s.objects[kind][name])
}

// drop removes an object. s.mu must be held.
func (s *store) drop(kind string, removed object) {
	delete(s.objects[kind], removed.Metadata.Name)
	s.revision++
	removed.Metadata.Revision = s.revision
	s.note(change{kind: kind, removed: true, object: removed})
}

// save stores an object under the next revision. s.mu must be held.
func (s *store) save(kind string, saved object) object {
	s.revision++
	saved.Metadata.Revision = s.revision
	if saved.Metadata.CreateRev == 0 {
		saved.Metadata.CreateRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][saved.Metadata.Name] = saved
	s.note(change{kind: kind, object: saved})
	return saved
}

// note adds a change to the history and wakes the watches. s.mu must be held.
func (s *store) note(c change) {
	c.at = time.Now()
	s.history = append(s.history, c)
	close(s.wake)
	s.wake = make(chan struct{})
}

// dropOld drops the changes that are older than the history. s.mu must be held.
func (s *store) dropOld() {
	for s.keep > 0 && len(s.history) > 0 && time.Since(s.history[0].at) > s.keep {
		s.dropped, s.history = s.history[0].object.Metadata.Revision, s.history[1:]
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		found, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, found)
	default:
		s.write(w, r, kind, name, len(path) > 2)
	}
}

// list answers with the objects of a kind on pages of 500.
func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	hasMore := len(names) > 500
	items := make([]object, 0, len(names))
	for _, name := range names[:min(len(names), 500)] {
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "current_rev": s.revision})
}

// watch answers with the changes of a kind after a revision, as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		s.dropOld()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := make([]map[string]any, 0)
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Revision > after {
				events = append(events, map[string]any{"removed": c.removed, "object": c.object})
			}
		}
		revision, wake := s.revision, s.wake
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-wake:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// write carries out a call that changes an object.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var sent object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	former, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && expected != 0 && expected != former.Metadata.Revision:
		reply(w, http.StatusConflict, former)
	case !exists && r.Method != http.MethodPost:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.drop(kind, former)
		reply(w, http.StatusOK, former)
	default:
		former.Metadata.Name = name
		if isStatus {
			former.Status = sent.Status
		} else {
			former.Spec = sent.Spec
		}
		reply(w, http.StatusOK, s.save(kind, former))
	}
}

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, status int, content any) {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	// The write fails if the caller has left.
	_, _ = w.Write(encoded)
}
