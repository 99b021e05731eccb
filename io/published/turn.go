package published

import "context"

// turn admits one holder at a time; waiting for it ends with the context.
type turn chan struct{}

func newTurn() turn { return make(turn, 1) }

func (t turn) take(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryTake takes the turn if nobody holds it.
func (t turn) tryTake() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

func (t turn) give() { <-t }
