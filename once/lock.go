package once

import "context"

// lock is a mutex that may be held during calls to other processes. Waiting for
// it ends with a context.
type lock chan struct{}

func newLock() lock { return make(lock, 1) }

// acquire waits until the lock is free, or returns the error of ctx when that
// ends first.
func (l lock) acquire(ctx context.Context) error {
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l lock) release() { <-l }
