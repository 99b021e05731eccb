package published

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"mothcart/core/publication"
	"mothcart/io/store"
)

var errPartitioned = errors.New("peer unreachable")

// network connects the followers of one test; calls run directly as function calls.
type network struct {
	mu          sync.Mutex
	nodes       map[string]Handlers
	partitioned map[string]bool
	// ids are the sorted keys of nodes; the slice is replaced, never modified in place.
	ids []string
}

func newNetwork() *network {
	return &network{nodes: map[string]Handlers{}, partitioned: map[string]bool{}}
}

// setPartitioned cuts a VM off from the others, or reconnects it.
func (n *network) setPartitioned(id string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[id] = partitioned
}

func (n *network) remove(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, id)
	n.ids = slices.Sorted(maps.Keys(n.nodes))
}

func (n *network) reach(from, to string) (Handlers, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.nodes[to]
	if !ok || n.partitioned[from] || n.partitioned[to] {
		return Handlers{}, errPartitioned
	}
	return h, nil
}

func (n *network) peers(id string) Peers {
	return Peers{
		IDs: func() []string {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.ids
		},
		Announce: func(to string, a Announcement) error {
			h, err := n.reach(id, to)
			if err == nil {
				go h.Announce(id, a)
			}
			return err
		},
		Query: func(_ context.Context, to string) (Announcement, error) {
			h, err := n.reach(id, to)
			if err != nil {
				return Announcement{}, err
			}
			return h.Query(), nil
		},
		FetchRoot: func(_ context.Context, from string) ([]byte, error) {
			h, err := n.reach(id, from)
			if err != nil {
				return nil, err
			}
			return h.FetchRoot(), nil
		},
		FetchBlocks: func(_ context.Context, from string, digests []publication.Digest) ([][]byte, error) {
			h, err := n.reach(id, from)
			if err != nil {
				return nil, err
			}
			return h.FetchBlocks(digests), nil
		},
		Serve: func(h Handlers) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.nodes[id] = h
			n.ids = slices.Sorted(maps.Keys(n.nodes))
		},
	}
}

// staleClient wraps a client so that reads of the root return old while it is set.
type staleClient struct {
	mu  sync.Mutex
	old *store.Object
}

func (s *staleClient) set(o *store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.old = o
}

func (s *staleClient) client(c store.Client) store.Client {
	get := c.Get
	c.Get = func(ctx context.Context, key string) (store.Object, error) {
		s.mu.Lock()
		old := s.old
		s.mu.Unlock()
		if old != nil && key == publication.RootKey {
			return *old, nil
		}
		return get(ctx, key)
	}
	return c
}
