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

// stored is a conviction in the store that this process will delete in time.
type stored struct {
	version int64
	until   time.Time
}

// load reads the convictions in the store. Their age is not known, so that each
// lasts for its whole term again.
func (m *Manager) load(ctx context.Context) bool {
	if m.options.Store == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := m.options.Store.List(ctx, storePrefix)
	if err != nil {
		m.options.Log.Debug().Err(err).Msg("quarantine: store not read")
		return false
	}
	for _, object := range objects {
		entry := new(wirepb.QuarantineEntry)
		if proto.Unmarshal(object.Value, entry) != nil {
			continue
		}
		m.table.apply(entry)
		m.noteStored(object.Key, object.Version, entry)
	}
	return true
}

// keep writes a conviction to the store.
func (m *Manager) keep(entry *wirepb.QuarantineEntry) {
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
		m.options.Log.Debug().Err(fault.Wrap(err, "keep conviction", key)).Msg("quarantine: store not written")
		return
	}
	m.noteStored(key, version, entry)
}

func (m *Manager) noteStored(key string, version int64, entry *wirepb.QuarantineEntry) {
	until := time.Now().Add(time.Duration(entry.RemainingMs) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stored[key] = stored{version: version, until: until}
}

// sweepStore deletes convictions whose term is over. Another process may have
// been faster, which is no error.
func (m *Manager) sweepStore(ctx context.Context) {
	now := time.Now()
	over := make(map[string]stored)
	m.mu.Lock()
	for key, found := range m.stored {
		if now.After(found.until) {
			over[key] = found
			delete(m.stored, key)
		}
	}
	m.mu.Unlock()
	for key, found := range over {
		deleteCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		if err := m.options.Store.Delete(deleteCtx, key, found.version); err != nil {
			m.options.Log.Debug().Err(err).Str("key", key).Msg("quarantine: conviction not deleted")
		}
		cancel()
	}
}
