package node

import (
	"context"
	"net/http"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"mothcart/io/held"
)

// heldShare is the fraction of a process's memory for all bytes that it holds for callers and upstreams. The garbage
// collector needs as much again, and the process without requests the rest.
const heldShare = 0.3

// defaultHeldBytes is the bound of all bytes held if the memory of the process isn't known.
const defaultHeldBytes = 64 << 20

// heldBytes returns the bound of all bytes that a process with this much memory in bytes holds for callers and upstreams;
// 0 means not known.
func heldBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultHeldBytes
	}
	return int64(float64(memory) * heldShare)
}

// serveCallers is serveHTTP for callers and other entries, which may read slowly.
func serveCallers(ctx context.Context, opts Options, address string, b *held.Budget, h http.Handler) (*kratoshttp.Server, error) {
	l, err := opts.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return serveOn(held.NewListener(l, b), opts, address, h), nil
}
