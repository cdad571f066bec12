// Package storemeter counts the calls that a part of the process makes on the
// platform's store, a waiting watch as one.
package storemeter

import (
	"context"

	"github.com/greengagegate/greengagegate/internal/metrics"
	"github.com/greengagegate/greengagegate/store"
)

// metered is a store.Store that counts calls and failures by operation.
type metered struct {
	next store.Store
	part string
}

// New returns s with its calls counted under the name of the calling part.
func New(s store.Store, part string) store.Store {
	return metered{next: s, part: part}
}

func (m metered) count(operation string, err error) {
	metrics.Counter("store.calls", "part", m.part, "operation", operation).Inc(1)
	if err != nil {
		metrics.Counter("store.errors", "part", m.part, "operation", operation).Inc(1)
	}
}

// Get implements store.Store.
func (m metered) Get(ctx context.Context, key string) (store.Object, error) {
	object, err := m.next.Get(ctx, key)
	m.count("get", err)
	return object, err
}

// List implements store.Store.
func (m metered) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	objects, version, err := m.next.List(ctx, prefix)
	m.count("list", err)
	return objects, version, err
}

// Put implements store.Store.
func (m metered) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	version, err := m.next.Put(ctx, key, value, expected)
	m.count("put", err)
	return version, err
}

// Delete implements store.Store.
func (m metered) Delete(ctx context.Context, key string, expected int64) error {
	err := m.next.Delete(ctx, key, expected)
	m.count("delete", err)
	return err
}

// Watch implements store.Store.
func (m metered) Watch(ctx context.Context, prefix string, after int64) (<-chan store.Object, error) {
	changes, err := m.next.Watch(ctx, prefix, after)
	m.count("watch", err)
	return changes, err
}
