package quarantine

import "sync"

// watchers holds the callbacks of runs in this process, by the digest of their
// content and by the id of the watcher.
type watchers struct {
	mu        sync.Mutex
	nextID    uint64
	callbacks map[uint64]map[uint64]func()
}

// Watch calls notify in a goroutine of its own when the content becomes suspect
// or is convicted. It calls notify at most once, and not for a state that the
// content already has when Watch is called. The returned function ends the watch;
// it does not wait for a call of notify that has already begun.
func (m *Manager) Watch(digest uint64, notify func()) (stop func()) {
	w := &m.watchers
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	id := w.nextID
	if w.callbacks[digest] == nil {
		w.callbacks[digest] = make(map[uint64]func())
	}
	w.callbacks[digest][id] = notify
	return func() { w.remove(digest, id) }
}

func (w *watchers) remove(digest, id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.callbacks[digest], id)
	if len(w.callbacks[digest]) == 0 {
		delete(w.callbacks, digest)
	}
}

// notify calls all callbacks for a content and removes them.
func (w *watchers) notify(digest uint64) {
	w.mu.Lock()
	callbacks := w.callbacks[digest]
	delete(w.callbacks, digest)
	w.mu.Unlock()
	for _, callback := range callbacks {
		go callback()
	}
}
