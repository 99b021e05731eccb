package home

import (
	"context"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/link"
	"mothcart/io/object"
)

// knowledgeTimeout bounds the question to a home node for what it knows, which may be gone.
const knowledgeTimeout = 600 * time.Millisecond

// Knowledge is what a home node knows of the site, whether it is the home or not. A node that starts
// while the object service is away begins with it.
type Knowledge struct {
	// Views holds the objects of each kind that the node has seen whole.
	Views map[string]object.Change `msgpack:"views"`
	// Home is the home that was announced last; its term is 0 if none was.
	Home Announcement `msgpack:"home"`
	// Serves reports that the node serves as the home now, or stands in for it.
	Serves bool `msgpack:"serves,omitempty"`
}

// Dial opens connections between nodes.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// FetchKnowledge asks the home node at an address what it knows.
func FetchKnowledge(ctx context.Context, dial Dial, address string) (Knowledge, error) {
	var k Knowledge
	ctx, cancel := context.WithTimeout(ctx, knowledgeTimeout)
	defer cancel()
	if err := callOnce(ctx, dial, address, methodLearn, struct{}{}, &k); err != nil {
		return Knowledge{}, merry.Errorf("ask home node at %s what it knows: %w", address, err)
	}
	return k, nil
}

// callOnce makes one call over a connection of its own.
func callOnce(ctx context.Context, dial Dial, address, method string, msg, answer any) error {
	conn, err := link.Dial(ctx, dial, address, link.Options{Handle: func(*link.Conn, link.Incoming) {}})
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.Call(ctx, method, msg, answer)
}
