package home

import (
	"time"

	"mothcart/core/submission"
)

// countOpen returns the tokens that wait, by route and account; false if the home does not know the jobs.
func (h *Home) countOpen() ([]openCount, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hintRead {
		return nil, false
	}
	cfg := h.opts.Config()
	counts := make(map[roomKey]int64)
	h.eachOpen(h.opts.Now(), func(account, host, path string, tokens int64) {
		if route, ok := cfg.Match(host, path); ok && tokens > 0 {
			counts[roomKey{route.Name, account}] += tokens
		}
	})
	out := make([]openCount, 0, len(counts))
	for k, n := range counts {
		out = append(out, openCount{Route: k.route, Account: k.account, Tokens: n})
	}
	return out, true
}

// rooms is what a node knows of the tokens that wait. It is used under the client's mutex.
type rooms struct {
	// countedAt is when the home last counted all routes and accounts; those without an entry in counted had none waiting.
	countedAt time.Time
	counted   map[roomKey]submission.Room
}

// roomKey names what a token cap bounds.
type roomKey struct{ route, account string }

// setCounts records the home's counts.
func (r *rooms) setCounts(now time.Time, counts []openCount) {
	r.countedAt, r.counted = now, make(map[roomKey]submission.Room, len(counts))
	for _, c := range counts {
		r.counted[roomKey{c.Route, c.Account}] = submission.Room{}.WithCount(now, c.Tokens)
	}
}

func (r *rooms) get(k roomKey) submission.Room {
	if known, ok := r.counted[k]; ok || r.countedAt.IsZero() {
		return known
	}
	return submission.Room{}.WithCount(r.countedAt, 0)
}

func (r *rooms) set(k roomKey, known submission.Room) {
	if r.counted == nil {
		r.counted = make(map[roomKey]submission.Room)
	}
	r.counted[k] = known
}

// NoteCount records what waits on a route by the home's answer about room, with the job that was asked about.
func (c *Client) NoteCount(route, account string, open int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rooms.set(roomKey{route, account}, submission.Room{}.WithCount(c.opts.Now(), open))
}

// FitsAlone reports whether tokens fit the cap of a route by what this node knows, and counts them if they do. It also returns
// how many tokens this node knows to wait.
func (c *Client) FitsAlone(route, account string, tokenCap, tokens int64) (open int64, fits bool) {
	nodes := c.Nodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := roomKey{route, account}
	known := c.rooms.get(k)
	if fits = known.Fits(c.opts.Now(), tokenCap, tokens, nodes); fits {
		known = known.WithAccepted(tokens)
		c.rooms.set(k, known)
	}
	return known.Open(), fits
}
