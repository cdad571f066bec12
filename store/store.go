// Package store defines the interface to the platform store: versioned values with
// conditional updates and watches. Each implementation is a driver for one such store.
package store

import (
	"context"
	"errors"
)

// Object is one stored value. Version is the store version at the object's last
// change; any change to any object increases the store version, and so does a restore of
// the store (see MakeVersion).
type Object struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Status is the part of the object that its controller writes; nil if none.
	Status  []byte `json:"status,omitempty"`
	Version int64  `json:"version"`
	// Created is the revision at which the object was created, without the era, so that it
	// is the same in a restored copy; 0 if the driver doesn't report it.
	Created int64 `json:"created,omitempty"`
	Deleted bool  `json:"deleted,omitempty"`
}

// VersionAbsent, passed as the expected version, requires that the object does not exist.
const VersionAbsent int64 = 0

// MaxValueBytes is the largest value size that the store accepts, in bytes.
const MaxValueBytes = 1 << 20

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version differs from the expected one. Nothing was changed.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the call changed nothing: the store refused it or could not
	// be reached, or the response to a read was lost.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome means that the response was lost: the change may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrNoResponse means that no response arrived, or only a part of one: the store or the path
	// to it may be in an outage. Drivers join it with ErrUnavailable or ErrUnknownOutcome.
	ErrNoResponse = errors.New("no response from the store")
	// ErrCompacted means that a watch asked for changes since a version that the
	// store's change history no longer covers.
	ErrCompacted = errors.New("version compacted")
)

// Store is the platform store. All methods block until the store responds or ctx
// ends, Watch only until the watch is established. They are safe for concurrent use.
// Each call counts against the store's rate limit; a watch counts as one call for as
// long as it waits.
type Store interface {
	// Get returns the object at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with prefix, in key order, and the
	// store version at the time of the call.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Put writes value if the object's version equals expected and returns the new version.
	// Otherwise it returns ErrConflict. The status of an existing object stays.
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	// Delete removes the object if its version equals expected. Otherwise it returns
	// ErrConflict, or ErrNotFound if the object does not exist.
	Delete(ctx context.Context, key string, expected int64) error
	// Watch returns a channel of the changes to keys with the given prefix that have a
	// version above after, in order. The channel is closed when ctx ends or the
	// connection is lost; a store may also close it when the reader is too slow. A
	// deleted object has Deleted set.
	Watch(ctx context.Context, prefix string, after int64) (<-chan Object, error)
}

// StatusWriter is implemented by stores whose objects have a status.
type StatusWriter interface {
	// PutStatus replaces the status of an object if the object's version equals expected,
	// and returns the object's new version. Otherwise it returns ErrConflict, or ErrNotFound
	// if the object does not exist. The value stays. Expected must not be VersionAbsent.
	PutStatus(ctx context.Context, key string, status []byte, expected int64) (int64, error)
}

// Host is one entry of the platform's list of hosts. The list lags behind the
// actual state of the hosts.
type Host struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// HostLister is implemented by stores that return the platform's list of live and
// leaving hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}
