package store

import (
	"context"
	"time"
)

// Counted returns a client that passes the kind of each call to count: get, put, delete, list or watch.
func Counted(c Client, count func(kind string)) Client {
	return Client{
		Get: func(ctx context.Context, key string) (Object, error) {
			count("get")
			return c.Get(ctx, key)
		},
		Put: func(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
			count("put")
			return c.Put(ctx, key, value, expect)
		},
		Delete: func(ctx context.Context, key string, expect Version) error {
			count("delete")
			return c.Delete(ctx, key, expect)
		},
		List: func(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
			count("list")
			return c.List(ctx, prefix, after, limit)
		},
		Watch: func(ctx context.Context, key string, after Version, wait time.Duration) (Object, error) {
			count("watch")
			return c.Watch(ctx, key, after, wait)
		},
	}
}
