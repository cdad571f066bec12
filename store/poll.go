package store

import (
	"context"
	"time"
)

// Changes is the answer to a Poll.
type Changes struct {
	// Objects are the objects that changed, in order; removed ones have Deleted set.
	Objects []Object
	// Version is the store's version up to which the changes are complete.
	Version int64
}

// Poller is implemented by stores whose watches are single calls that wait for
// changes. Each call counts as one.
type Poller interface {
	// List returns the objects whose keys start with prefix and the store's version.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Poll returns the changes below prefix after a version. It waits until there
	// is one, but not longer than wait. ErrCompacted says that the changes are no
	// longer known.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}
