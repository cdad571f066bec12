package once

import "context"

// lock is a mutex that is held over calls to other processes and waited for
// with a context.
type lock chan struct{}

func newLock() lock { return make(lock, 1) }

// acquire waits until the lock is free or ctx ends.
func (l lock) acquire(ctx context.Context) error {
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l lock) release() { <-l }
