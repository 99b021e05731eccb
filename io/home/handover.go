package home

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/link"
)

const (
	// handoverTimeout bounds the question to the home before this one, which may be gone.
	handoverTimeout = 700 * time.Millisecond
	// handoverWait is how long a home that gives its lease back waits to be asked.
	handoverWait = 1500 * time.Millisecond
)

// handoverRequest asks a home to stop for the home of a later term.
type handoverRequest struct {
	By Announcement `msgpack:"by"`
}

// handoverAnswer is the progress of the items that the home had in progress.
type handoverAnswer struct {
	Items []ItemProgress `msgpack:"items,omitempty"`
}

// ItemProgress is how far the stream of an item has come.
type ItemProgress struct {
	Job         string `msgpack:"job"`
	Item        string `msgpack:"item"`
	Text        string `msgpack:"text"`
	Events      int    `msgpack:"n"`
	LastEventID string `msgpack:"last"`
	Failures    int    `msgpack:"fail,omitempty"`
}

// FetchProgress asks the home of an earlier term to stop and returns the progress of its items. A home
// that is gone has none.
func FetchProgress(ctx context.Context, dial Dial, before, by Announcement) ([]ItemProgress, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var a handoverAnswer
	if err := callOnce(ctx, dial, before.Address, methodHandover, handoverRequest{By: by}, &a); err != nil {
		return nil, merry.Errorf("ask home of term %d: %w", before.Term, err)
	}
	return a.Items, nil
}

// handOver stops this home and answers the progress of its items.
func (h *Home) handOver(in link.Incoming) error {
	var m handoverRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	if m.By.Term <= h.opts.Term {
		return merry.Errorf("handover to term %d: %w", m.By.Term, ErrNoHome)
	}
	h.done.Go(func() {
		items := h.stopItems()
		h.opts.Log.Info().Str("to", m.By.VM).Int64("term", h.opts.Term).Int64("later", m.By.Term).Int("items", len(items)).Msg("handedOver")
		in.Answer(handoverAnswer{Items: items})
		h.opts.Announce(m.By)
		h.handedOver()
	})
	return nil
}

// stopItems ends all runs and returns their progress. No item starts afterwards.
func (h *Home) stopItems() []ItemProgress {
	h.mu.Lock()
	h.replaced = true
	running := 0
	for _, j := range h.jobs {
		for _, r := range j.runs {
			if r.cancel != nil {
				running++
				r.cancel(errCut)
			}
		}
	}
	h.mu.Unlock()
	if running > 0 {
		select {
		case <-time.After(progressWait):
		case <-h.ctx.Done():
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []ItemProgress
	for id, j := range h.jobs {
		for item, r := range j.runs {
			if r.events > 0 && !r.over {
				out = append(out, ItemProgress{
					Job: id, Item: item, Text: r.text.String(), Events: r.events, LastEventID: r.lastID, Failures: r.failures,
				})
			}
		}
	}
	return out
}

// takeProgress asks the home before this one for the progress of its items.
func (h *Home) takeProgress() {
	defer close(h.progressTaken)
	items, err := h.opts.Handover(h.ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		h.opts.Log.Info().Int64("term", h.opts.Term).Err(err).Msg("noHandover")
	}
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range items {
		h.progress[[2]string{p.Job, p.Item}] = p
	}
	h.opts.Log.Info().Int64("term", h.opts.Term).Int("items", len(items)).Msg("progressTaken")
}

// resume gives a run the progress that an earlier home had made; the mutex is held.
func (h *Home) resume(r *run) {
	p, ok := h.progress[[2]string{r.job, r.item.ID}]
	if !ok {
		return
	}
	r.text.WriteString(p.Text)
	r.events, r.lastID, r.failures = p.Events, p.LastEventID, p.Failures
}
