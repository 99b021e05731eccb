package home

import (
	"sync"

	"github.com/rs/zerolog"

	"mothcart/io/link"
	"mothcart/io/object"
)

// maxRecentEvents is the number of events from which a view is encoded anew rather than sent as an older listing
// and the events since.
const maxRecentEvents = 256

// Views sends the objects that the home relays to the nodes. It encodes a view and each change once for all
// nodes, since hundreds of them connect and listen at the same time. It is safe for concurrent use.
type Views struct {
	// snapshots returns the objects, by kind.
	snapshots func() map[string]object.Change
	log       zerolog.Logger

	mu sync.Mutex
	// encoded holds the views that were sent last, by kind; nil until a node connects.
	encoded map[string]*encodedView
}

// encodedView is a listing of a kind and the events since.
type encodedView struct {
	listing link.Notice
	events  []object.Event
	// recent holds the events encoded; its size is 0 until they are.
	recent link.Notice
}

// NewViews returns views of the objects that snapshots returns.
func NewViews(snapshots func() map[string]object.Change, log zerolog.Logger) *Views {
	return &Views{snapshots: snapshots, log: log}
}

// add records events that snapshots include from now on.
func (v *Views) add(kind string, events []object.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	view := v.encoded[kind]
	if view == nil {
		return
	}
	view.events, view.recent = append(view.events, events...), link.Notice{}
	if len(view.events) > maxRecentEvents {
		v.encoded = nil
	}
}

// reset drops the encoded views, which a node that is not the home doesn't need.
func (v *Views) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.encoded = nil
}

// sendTo sends all views to a node.
func (v *Views) sendTo(c *link.Conn) {
	v.mu.Lock()
	notices, err := v.notices()
	v.mu.Unlock()
	if err != nil {
		v.log.Error().Err(err).Msg("viewNotSent")
		c.Close() // the node looks for the state of the site elsewhere
		return
	}
	for _, n := range notices {
		c.Send(n)
	}
}

// notices returns the notices that transfer all views; the mutex is held.
func (v *Views) notices() ([]link.Notice, error) {
	if v.encoded == nil {
		v.encoded = make(map[string]*encodedView)
		for kind, change := range v.snapshots() {
			if !change.Listed {
				continue // Server.PushViews sends it once it is complete
			}
			n, err := link.NewNotice(methodView, viewNotice{Kind: kind, Change: change})
			if err != nil {
				v.encoded = nil
				return nil, err
			}
			v.encoded[kind] = &encodedView{listing: n}
		}
	}
	var out []link.Notice
	for kind, view := range v.encoded {
		out = append(out, view.listing)
		if len(view.events) == 0 {
			continue
		}
		if view.recent.Size() == 0 {
			n, err := link.NewNotice(methodView, viewNotice{Kind: kind, Change: object.Change{Events: view.events}})
			if err != nil {
				return nil, err
			}
			view.recent = n
		}
		out = append(out, view.recent)
	}
	return out, nil
}
