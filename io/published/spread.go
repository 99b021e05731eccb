package published

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Spread reports which generation is in force on each live VM.
type Spread struct {
	// Accepted is the newest generation that the object service holds; AcceptedKnown is false when
	// it can't be read.
	Accepted      uint64
	AcceptedKnown bool
	// VMs holds the generation of each live VM that answered.
	VMs map[string]uint64
	// Silent lists the live VMs that did not answer.
	Silent []string
}

// InForce returns the number of live VMs that have at least the generation, and of all live VMs.
func (s Spread) InForce(generation uint64) (n, of int) {
	for _, g := range s.VMs {
		if g >= generation {
			n++
		}
	}
	return n, len(s.VMs) + len(s.Silent)
}

// queryTimeout bounds the query of one VM or of the object service.
const queryTimeout = time.Second

// maxQueries bounds the concurrent queries of one Spread.
const maxQueries = 32

// Spread asks the object service and every live VM for the generation that it has.
func (f *Follower) Spread(ctx context.Context) Spread {
	s := Spread{VMs: map[string]uint64{f.opts.Self: f.announcement().Generation}}
	s.Accepted, s.AcceptedKnown = f.acceptedGeneration(ctx)
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxQueries)
	for _, id := range f.others(len(f.ids())) {
		g.Go(func() error {
			queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			a, err := f.opts.Peers.Query(queryCtx, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.Silent = append(s.Silent, id)
				return nil
			}
			s.VMs[id] = a.Generation
			return nil
		})
	}
	_ = g.Wait()
	slices.Sort(s.Silent)
	return s
}

// acceptedGeneration returns the generation that the object service holds, and whether it could be read.
func (f *Follower) acceptedGeneration(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	root, _, _, err := f.readRoot(ctx)
	if err != nil {
		return 0, false
	}
	return root.Generation, true
}
