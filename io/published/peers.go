package published

import (
	"context"

	"mothcart/core/publication"
	"mothcart/io/peer"
)

// Methods of the peer protocol.
const (
	methodAnnounce    = "config.announce"
	methodQuery       = "config.query"
	methodFetchRoot   = "config.root"
	methodFetchBlocks = "config.blocks"
)

// queryRequest and rootRequest have no fields.
type (
	queryRequest struct{}
	rootRequest  struct{}
	notice       struct{}
)

type rootResponse struct {
	Root []byte `msgpack:"r"`
}

type blocksRequest struct {
	Digests []publication.Digest `msgpack:"d"`
}

type blocksResponse struct {
	Blocks [][]byte `msgpack:"b"`
}

// NewPeers returns the calls to other VMs over the peer protocol. With a nil node there are no peers.
func NewPeers(n *peer.Node) Peers {
	if n == nil {
		return Peers{}
	}
	return Peers{
		IDs: func() []string { return n.View().IDs() },
		Announce: func(to string, a Announcement) error {
			return peer.Notify(n, to, methodAnnounce, peer.Control, a)
		},
		Query: func(ctx context.Context, to string) (Announcement, error) {
			return peer.Call[Announcement](ctx, n, to, methodQuery, peer.Control, queryRequest{})
		},
		FetchRoot: func(ctx context.Context, from string) ([]byte, error) {
			resp, err := peer.Call[rootResponse](ctx, n, from, methodFetchRoot, peer.Bulk, rootRequest{})
			return resp.Root, err
		},
		FetchBlocks: func(ctx context.Context, from string, digests []publication.Digest) ([][]byte, error) {
			resp, err := peer.Call[blocksResponse](ctx, n, from, methodFetchBlocks, peer.Bulk, blocksRequest{digests})
			return resp.Blocks, err
		},
		Serve: func(h Handlers) { serve(n, h) },
	}
}

func serve(n *peer.Node, h Handlers) {
	peer.Handle(n, methodAnnounce, func(_ context.Context, from string, a Announcement) (notice, error) {
		h.Announce(from, a)
		return notice{}, nil
	})
	peer.Handle(n, methodQuery, func(context.Context, string, queryRequest) (Announcement, error) {
		return h.Query(), nil
	})
	peer.Handle(n, methodFetchRoot, func(context.Context, string, rootRequest) (rootResponse, error) {
		return rootResponse{h.FetchRoot()}, nil
	})
	peer.Handle(n, methodFetchBlocks, func(_ context.Context, _ string, r blocksRequest) (blocksResponse, error) {
		return blocksResponse{h.FetchBlocks(r.Digests)}, nil
	})
}
