package job

import (
	"context"

	"github.com/ansel1/merry/v2"

	"mothcart/io/peer"
)

// WithNode returns a copy with the members, the roles and the connection to other VMs of n.
func (o Options) WithNode(n *peer.Node) Options {
	o.Members = func() []string { return n.View().IDs() }
	o.Owner = func(key string) string { return n.View().Owner(key) }
	return o.WithPeers(peersOf(n))
}

// peersOf returns calls over the peer protocol of n. Summaries are sent as bulk messages.
func peersOf(n *peer.Node) Peers {
	return Peers{
		Handle: func(method string, h func(ctx context.Context, from string, body []byte) ([]byte, error)) {
			peer.Handle(n, method, h)
		},
		Call: func(ctx context.Context, to, method string, body []byte) ([]byte, error) {
			answer, err := peer.Call[[]byte](ctx, n, to, method, classOf(method), body)
			if err != nil {
				return nil, merry.Errorf("peer: %w", err)
			}
			return answer, nil
		},
		Notify: func(to, method string, body []byte) error {
			return peer.Notify(n, to, method, classOf(method), body)
		},
	}
}

func classOf(method string) peer.Class {
	if method == methodSummary {
		return peer.Bulk
	}
	return peer.Control
}
