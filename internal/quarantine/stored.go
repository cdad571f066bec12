package quarantine

import (
	"context"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
	"github.com/greengagegate/greengagegate/internal/wire/wirepb"
	"github.com/greengagegate/greengagegate/store"
	"google.golang.org/protobuf/proto"
)

const (
	storePrefix  = "quarantine/"
	storeTimeout = 2 * time.Second
)

// storedConviction is a conviction in the store that this process deletes once
// it has expired.
type storedConviction struct {
	version int64
	until   time.Time
}

// loadConvictions applies the convictions in the store and reports whether it
// could list them. It returns true if there is no store, and skips stored objects
// that it can't decode. The store does not hold the age of a conviction, so each
// conviction lasts for its full time again.
func (m *Manager) loadConvictions(ctx context.Context) bool {
	if m.options.Store == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := m.options.Store.List(ctx, storePrefix)
	if err != nil {
		m.options.Log.Debug().Err(err).Msg("quarantine: could not list the stored convictions; trying again later")
		return false
	}
	for _, object := range objects {
		entry := new(wirepb.QuarantineEntry)
		if proto.Unmarshal(object.Value, entry) != nil {
			continue
		}
		m.table.apply(entry)
		m.trackStored(object.Key, object.Version, entry)
	}
	return true
}

// storeConviction writes a conviction to the store if the store does not hold it
// yet. After another error only the running processes know the conviction.
func (m *Manager) storeConviction(entry *wirepb.QuarantineEntry) {
	if m.options.Store == nil {
		return
	}
	value, err := proto.Marshal(entry)
	if err != nil {
		return
	}
	key := storePrefix + digestText(entry.Digest)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	version, err := m.options.Store.Put(ctx, key, value, store.VersionAbsent)
	if err != nil {
		m.options.Log.Debug().Err(fault.Wrap(err, "store conviction", key)).Msg("quarantine: could not store a conviction; unless another process has stored it, only running processes know of it")
		return
	}
	m.trackStored(key, version, entry)
}

// trackStored remembers a stored conviction, so that deleteExpired deletes it in time.
func (m *Manager) trackStored(key string, version int64, entry *wirepb.QuarantineEntry) {
	until := time.Now().Add(time.Duration(entry.RemainingMs) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storedConvictions[key] = storedConviction{version: version, until: until}
}

// deleteExpired deletes expired convictions from the store. It makes one attempt
// for each: a failure usually means that another process deleted it first.
func (m *Manager) deleteExpired(ctx context.Context) {
	now := time.Now()
	expired := make(map[string]storedConviction)
	m.mu.Lock()
	for key, conviction := range m.storedConvictions {
		if now.After(conviction.until) {
			expired[key] = conviction
			delete(m.storedConvictions, key)
		}
	}
	m.mu.Unlock()
	for key, conviction := range expired {
		deleteCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		if err := m.options.Store.Delete(deleteCtx, key, conviction.version); err != nil {
			m.options.Log.Debug().Err(err).Str("key", key).Msg("quarantine: could not delete an expired conviction from the store; another process may have deleted it")
		}
		cancel()
	}
}
