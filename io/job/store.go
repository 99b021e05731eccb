package job

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"mothcart/io/store"
)

// limitedStore returns a client whose calls wait for a token and are counted by kind.
func limitedStore(opts Options) store.Client {
	c := opts.Store
	writes := rate.NewLimiter(rate.Limit(opts.WritesPerSecond), max(1, int(opts.WritesPerSecond)))
	reads := rate.NewLimiter(rate.Limit(opts.ReadsPerSecond), max(1, int(opts.ReadsPerSecond)))
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("jobs.store."+name, opts.Metrics)
	}
	gets, puts, deletes, lists := counter("get"), counter("put"), counter("delete"), counter("list")
	readBytes, writtenBytes := counter("readBytes"), counter("writtenBytes")
	return store.Client{
		Get: func(ctx context.Context, key string) (store.Object, error) {
			if err := waitForToken(ctx, reads); err != nil {
				return store.Object{}, err
			}
			gets.Inc(1)
			o, err := c.Get(ctx, key)
			readBytes.Inc(int64(len(o.Value)))
			return o, err
		},
		Put: func(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
			if err := waitForToken(ctx, writes); err != nil {
				return 0, err
			}
			puts.Inc(1)
			writtenBytes.Inc(int64(len(value)))
			return c.Put(ctx, key, value, expect)
		},
		Delete: func(ctx context.Context, key string, expect store.Version) error {
			if err := waitForToken(ctx, writes); err != nil {
				return err
			}
			deletes.Inc(1)
			return c.Delete(ctx, key, expect)
		},
		List: func(ctx context.Context, prefix, after string, limit int) ([]store.Object, error) {
			if err := waitForToken(ctx, reads); err != nil {
				return nil, err
			}
			lists.Inc(1)
			return c.List(ctx, prefix, after, limit)
		},
	}
}

// waitForToken waits for a token of l. If ctx ends before there is one, it returns store.ErrUnavailable.
func waitForToken(ctx context.Context, l *rate.Limiter) error {
	if err := l.Wait(ctx); err != nil {
		return merry.Errorf("wait for a store call: %w: %w", store.ErrUnavailable, err)
	}
	return nil
}

// callTimeout bounds one step of the background work that calls the store.
const callTimeout = 10 * time.Second

// listPage is the number of objects requested in one listing.
const listPage = 1000

// listAll returns all objects with the prefix, without values.
func listAll(ctx context.Context, c store.Client, prefix string) ([]store.Object, error) {
	var all []store.Object
	after := ""
	for {
		page, err := c.List(ctx, prefix, after, listPage)
		if err != nil {
			return nil, merry.Errorf("list %s: %w", prefix, err)
		}
		all = append(all, page...)
		if len(page) < listPage {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

func isNotFound(err error) bool { return errors.Is(err, store.ErrNotFound) }
