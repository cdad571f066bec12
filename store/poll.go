package store

import (
	"context"
	"errors"
	"time"
)

// ResponseMargin is how much later than it was asked to a store may answer a call. A call without
// a response for longer has failed.
const ResponseMargin = 2500 * time.Millisecond

// ErrPollLost means that an outage that has ended may have lost a poll or its response. The store
// answers other calls, so the caller may poll again at once.
var ErrPollLost = errors.New("the poll may be lost")

// Changes is the result of a Poll.
type Changes struct {
	// Objects are the changed objects in version order; a deleted object has Deleted set.
	Objects []Object
	// Version is the store version up to which Objects is complete.
	Version int64
}

// Poller is implemented by stores that are watched with long polls: each call
// waits for changes and counts as one call against the store's rate limit.
type Poller interface {
	// List returns the objects whose keys start with prefix, and the store version.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Poll returns the changes to keys with the given prefix that have a version above
	// after. It blocks until there is a change, for at most wait. It returns
	// ErrCompacted when the store no longer has the changes since that version, or when the
	// version belongs to an era that has ended, and may return ErrPollLost.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}
