package published

import "context"

// ctxMutex is a mutex whose lock method returns an error when the context ends first.
type ctxMutex chan struct{}

func newCtxMutex() ctxMutex { return make(ctxMutex, 1) }

func (t ctxMutex) lock(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryLock locks the mutex if it is unlocked, and reports whether it did.
func (t ctxMutex) tryLock() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t ctxMutex) unlock() { <-t }
