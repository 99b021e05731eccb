package object

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"mothcart/io/store"
)

// unresponsiveClient answers no watch, and listings after the first one only if listed is set.
func unresponsiveClient(listed bool) Client {
	calls := 0
	return Client{
		List: func(context.Context, string, string) ([]Object, Revision, bool, error) {
			calls++
			if calls > 1 && !listed {
				return nil, 0, false, store.ErrUnavailable
			}
			return nil, 1, false, nil
		},
		Watch: func(ctx context.Context, _ string, _ Revision, _ time.Duration) ([]Event, Revision, error) {
			<-ctx.Done()
			return nil, 0, merry.Errorf("watch: %w: %w", store.ErrUnavailable, ctx.Err())
		},
	}
}

// A watch that is never answered is no outage while listings are answered; it is one when listings fail too.
func TestUnansweredWatchIsNoOutageWhileListingsAreAnswered(t *testing.T) {
	for _, tc := range []struct {
		name   string
		listed bool
		lost   bool
	}{
		{"listings answered", true, false},
		{"listings fail too", false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lost := false
				f := NewFollower(FollowerOptions{
					Kind: "servers", Log: zerolog.Nop(), Apply: func(Change) {}, Client: unresponsiveClient(tc.listed),
					Verify: func() time.Duration { return 700 * time.Millisecond },
					Down:   func(down bool) { lost = lost || down },
				})
				time.Sleep(time.Minute)
				f.Close()
				assert.Equal(t, tc.lost, lost)
			})
		})
	}
}

// A watch fails once, and the next one waits without an event. The next answered listing must end the outage.
func TestListingEndsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches := 0
		c := unresponsiveClient(true)
		waits := c.Watch
		c.Watch = func(ctx context.Context, kind string, since Revision, wait time.Duration) ([]Event, Revision, error) {
			if watches++; watches == 1 {
				return nil, 0, store.ErrUnavailable
			}
			return waits(ctx, kind, since, wait)
		}
		var down []bool
		f := NewFollower(FollowerOptions{
			Kind: "servers", Log: zerolog.Nop(), Apply: func(Change) {}, Client: c,
			Verify: func() time.Duration { return 700 * time.Millisecond },
			Down:   func(d bool) { down = append(down, d) },
		})
		time.Sleep(2 * time.Second)
		f.Close()
		assert.Equal(t, []bool{true, false}, down)
	})
}

// Guards against a follower that repeats for ever a watch whose answer is too large.
func TestWatchWithTooLargeAnswerIsFollowedByListing(t *testing.T) {
	for _, tc := range []struct {
		name string
		// tooLarge is the number of watches whose answer is too large.
		tooLarge int
		// least and most bound the number of listings in 10 s.
		least, most int
	}{
		{"once", 1, 2, 2},
		{"always", 1 << 30, 10, 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lists, watches := 0, 0
				var since Revision
				c := unresponsiveClient(true)
				waits := c.Watch
				c.List = func(context.Context, string, string) ([]Object, Revision, bool, error) {
					lists++
					return nil, Revision(lists), false, nil
				}
				c.Watch = func(ctx context.Context, kind string, at Revision, wait time.Duration) ([]Event, Revision, error) {
					since = at
					if watches++; watches <= tc.tooLarge {
						return nil, 0, merry.Errorf("watch: %w: %w", store.ErrUnavailable, ErrTooLarge)
					}
					return waits(ctx, kind, at, wait)
				}
				f := NewFollower(FollowerOptions{Kind: "servers", Log: zerolog.Nop(), Apply: func(Change) {}, Client: c})
				time.Sleep(10 * time.Second)
				f.Close()
				assert.GreaterOrEqual(t, lists, tc.least)
				assert.LessOrEqual(t, lists, tc.most)
				assert.Equal(t, lists, int(since), "each watch starts at the last listing")
			})
		})
	}
}
