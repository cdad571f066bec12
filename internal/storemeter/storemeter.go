// Package storemeter counts the calls of each component of the process to the
// platform store. A watch counts as one call, however many changes it returns.
package storemeter

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/store"
)

// meteredStore is a store.Store that counts calls and errors by component and
// operation. Each error that the store returns counts, including those for a missing
// key and for a key with another version than expected.
type meteredStore struct {
	next      store.Store
	component string
}

// New returns a store that passes calls to s and counts them under the name of the
// calling component.
func New(s store.Store, component string) store.Store {
	return meteredStore{next: s, component: component}
}

func (m meteredStore) count(operation string, err error) {
	metrics.Counter("store.calls", "part", m.component, "operation", operation).Inc(1)
	if err != nil {
		metrics.Counter("store.errors", "part", m.component, "operation", operation).Inc(1)
	}
}

// Era implements store.EraSource.
func (m meteredStore) Era() int64 { return store.CurrentEra(m.next) }

// Get implements store.Store.
func (m meteredStore) Get(ctx context.Context, key string) (store.Object, error) {
	object, err := m.next.Get(ctx, key)
	m.count("get", err)
	return object, err
}

// List implements store.Store.
func (m meteredStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	objects, version, err := m.next.List(ctx, prefix)
	m.count("list", err)
	return objects, version, err
}

// Put implements store.Store.
func (m meteredStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := m.next.Put(ctx, key, value, expected)
	m.count("put", err)
	return version, err
}

// Delete implements store.Store.
func (m meteredStore) Delete(ctx context.Context, key string, expected int64) error {
	err := m.next.Delete(ctx, key, expected)
	m.count("delete", err)
	return err
}

// Watch implements store.Store.
func (m meteredStore) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Object, error) {
	changes, err := m.next.Watch(ctx, prefix, after)
	m.count("watch", err)
	return changes, err
}
