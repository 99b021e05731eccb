package upstream

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/config"
	"mothcart/core/route"
	"mothcart/core/vm"
	"mothcart/io/engine"
	"mothcart/io/peer"
)

// HomeOptions are the dependencies of a Home. Values are immutable.
type HomeOptions struct {
	Peers *peer.Node
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Upstreams returns all upstream VMs and a revision that changes with them.
	Upstreams func() ([]vm.VM, uint64)
	// Own returns this VM's own online requests in flight by upstream.
	Own func() map[string]int
	// ApplyDigest passes a digest to the router.
	ApplyDigest func(now time.Time, service, id string, d route.Digest)
	// Control is the client for load reports; Batch is the client for batch items.
	Control, Batch *engine.Client
	// Items is the source of batch items. NewHomeOptions sets an empty source.
	Items    ItemSource
	Log      zerolog.Logger
	Registry metrics.Registry
}

// ItemSource hands out batch items. The functions must not block.
type ItemSource struct {
	// Take returns up to n items for the model.
	Take func(model string, n int) []BatchItem
}

// BatchItem is one item of a batch job. Exactly one of Done and Return is called for it, unless
// Begin reported false.
type BatchItem struct {
	// ID identifies the attempt; an item that was returned keeps its ID when Take returns it again.
	ID    string
	Model string
	Path  string
	Body  []byte
	// Idempotent reports that the item may be sent again.
	Idempotent bool
	// Alone reports that the item must run on an engine without other batch items.
	Alone bool
	// Context ends when the item has to stop.
	Context context.Context
	// Begin reports whether the item may still be sent.
	Begin func() bool
	// Done records the item's result.
	Done func(BatchResult)
	// Return returns the item to its source without a result, for example because it was preempted.
	Return func()
}

// BatchResult is the result of an attempt at an item.
type BatchResult struct {
	Status int
	Body   []byte
	// Retry reports a failed attempt after which another one may succeed; Lost reports that the upstream
	// broke off or stopped responding while it ran the item.
	Retry, Lost bool
	Error       string
}

// NewHomeOptions returns options without batch items.
func NewHomeOptions(peers *peer.Node, router *Router, control, batch *engine.Client) HomeOptions {
	return HomeOptions{
		Peers: peers, Snapshot: router.opts.Snapshot, Upstreams: router.opts.Upstreams, Own: router.Own,
		ApplyDigest: router.ApplyDigest, Control: control, Batch: batch,
		Items:    ItemSource{Take: func(string, int) []BatchItem { return nil }},
		Log:      zerolog.Nop(),
		Registry: metrics.NewRegistry(),
	}
}

// WithItems returns a copy with the source of batch items set.
func (o HomeOptions) WithItems(s ItemSource) HomeOptions {
	o.Items = s
	return o
}

// WithLog returns a copy with the log and the registry of metrics set.
func (o HomeOptions) WithLog(log zerolog.Logger, r metrics.Registry) HomeOptions {
	o.Log = log
	o.Registry = r
	return o
}
