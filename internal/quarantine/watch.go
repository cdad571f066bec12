package quarantine

import "sync"

// watchers are the runs to be told when their content becomes suspect.
type watchers struct {
	mu   sync.Mutex
	next uint64
	runs map[uint64]map[uint64]func()
}

// Watch calls told, once and in a task of its own, when a content that is in
// flight here becomes suspect or is convicted. Stop ends that.
func (m *Manager) Watch(digest uint64, told func()) (stop func()) {
	w := &m.watchers
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	number := w.next
	if w.runs[digest] == nil {
		w.runs[digest] = make(map[uint64]func())
	}
	w.runs[digest][number] = told
	return func() { w.drop(digest, number) }
}

func (w *watchers) drop(digest, number uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.runs[digest], number)
	if len(w.runs[digest]) == 0 {
		delete(w.runs, digest)
	}
}

// tell calls all watchers of a content and forgets them.
func (w *watchers) tell(digest uint64) {
	w.mu.Lock()
	runs := w.runs[digest]
	delete(w.runs, digest)
	w.mu.Unlock()
	for _, told := range runs {
		go told()
	}
}
