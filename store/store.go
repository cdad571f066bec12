// Package store describes the platform's object service: versioned values with
// conditional updates and watches. Implementations are drivers for one service each.
package store

import (
	"context"
	"errors"
)

// Object is one stored value. Version grows with each change of any object in the store.
type Object struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// VersionAbsent is the expected version of an object that must not exist yet.
const VersionAbsent int64 = 0

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports that the object's version differs from the expected one. Nothing was changed.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable reports that the store refused the call. Nothing was changed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome reports that the answer was lost: the change may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrCompacted reports that a watch asked for a version older than the store remembers.
	ErrCompacted = errors.New("version compacted")
)

// Store is the platform's object service. All methods block until the service
// answers or ctx ends, and are safe for concurrent use. Each call counts against
// the service's rate, a waiting watch as one.
type Store interface {
	// Get returns the object at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with prefix in key order, and the
	// store's version at the time of the list.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Put writes value if the object's version equals expected and returns the new version.
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	// Delete removes the object if its version equals expected.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch sends each later change below prefix, in order, until ctx ends or the
	// connection is lost; then the channel is closed. A deletion has Deleted set.
	Watch(ctx context.Context, prefix string, after int64) (<-chan Object, error)
}

// Host is one entry of the platform's list of hosts, which lags behind reality.
type Host struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// HostLister returns the platform's list of live and leaving hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}
