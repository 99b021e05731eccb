package home

import (
	"context"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/link"
	"mothcart/io/object"
)

// siteStateTimeout bounds the call that fetches the site state from a home node, which may no longer run.
const siteStateTimeout = 600 * time.Millisecond

// SiteState is the site state that a home node has, whether it is the home or not. A node that starts while
// the object service is unreachable starts from it.
type SiteState struct {
	// Views holds the objects of each kind that the node has received in full.
	Views map[string]object.Change `msgpack:"views"`
	// Home is the home that was announced last; its term is 0 if none was.
	Home Announcement `msgpack:"home"`
	// Serves reports that the node is the home or the fallback home now.
	Serves bool `msgpack:"serves,omitempty"`
}

// Dial opens connections between nodes.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// FetchSiteState fetches the site state of the home node at an address.
func FetchSiteState(ctx context.Context, dial Dial, address string) (SiteState, error) {
	var state SiteState
	ctx, cancel := context.WithTimeout(ctx, siteStateTimeout)
	defer cancel()
	if err := callOnce(ctx, dial, address, methodFetchSiteState, struct{}{}, &state); err != nil {
		return SiteState{}, merry.Errorf("fetch site state from home node at %s: %w", address, err)
	}
	return state, nil
}

// callOnce makes one call over a new connection and closes it.
func callOnce(ctx context.Context, dial Dial, address, method string, msg, answer any) error {
	conn, err := link.Dial(ctx, dial, address, link.Options{Handle: func(*link.Conn, link.Incoming) {}})
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, msg, answer)
}
