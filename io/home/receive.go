package home

import (
	"github.com/ansel1/merry/v2"

	"mothcart/io/link"
)

// handle processes a message from the home.
func (c *Client) handle(_ *link.Conn, in link.Incoming) {
	if err := c.dispatch(in); err != nil {
		c.opts.Log.Warn().Str("method", in.Method).Err(err).Msg("badMessage")
	}
}

func (c *Client) dispatch(in link.Incoming) error {
	switch in.Method {
	case methodView:
		return handleMessage(in, func(m viewNotice) { c.opts.View(m.Kind, m.Change) })
	case methodRelays:
		return handleMessage(in, c.setRelays)
	case methodAnnounce:
		return handleMessage(in, func(a Announcement) { go c.Announce(a) }) // Announce closes this connection
	case methodOrigins:
		return handleMessage(in, c.opts.Origins.merge)
	case methodParts:
		return handleMessage(in, func(m suspectsNotice) { c.localPool.ImportSuspects(m.Records) })
	case methodLeaving:
		return handleMessage(in, func(m leavingNotice) { c.opts.MarkLeaving("home", siteKeys(m.Upstreams)) })
	case methodObjectsDown:
		return handleMessage(in, func(m objectsDownNotice) { c.opts.Down(m.Down) })
	case methodLeaseUnconfirmed:
		return handleMessage(in, c.setLeaseUnconfirmed)
	case methodCheckpoint, methodFetchCheckpoints:
		return c.serveCheckpoints(in)
	case methodFetchProgress:
		return c.fetchProgress(in)
	case methodRun:
		if c.opts.Runner == nil {
			in.Fail(merry.New("this node runs no items"))
			return nil
		}
		return c.opts.Runner.serve(in, c.termOf(in.Conn()), c.itemReports)
	case methodCancelRun:
		return handleMessage(in, func(m cancelRunNotice) {
			if c.opts.Runner == nil {
				return
			}
			if item, term, ok := c.opts.Runner.cancel(in.Conn(), m.Run); ok {
				c.opts.Log.Info().Str("item", item).Int64("term", term).Uint64("run", m.Run).Msg("itemRunCancelled")
			}
		})
	default:
		return merry.New("unknown method")
	}
}

// setRelays records what the home tells all nodes at intervals.
func (c *Client) setRelays(m relaysNotice) {
	c.mu.Lock()
	c.relays, c.nodes, c.asking = m.Relays, m.Nodes, m.Asking
	if m.Counted {
		c.rooms.setCounts(c.opts.Now(), m.Open)
	}
	c.mu.Unlock()
	c.localPool.ImportLimits(decodeLimits(m.Limits), true)
}

func (c *Client) setLeaseUnconfirmed(m leaseUnconfirmedNotice) {
	c.mu.Lock()
	if m.Unconfirmed && !c.leaseUnconfirmed {
		c.unconfirmedSince = c.opts.Now()
	}
	c.leaseUnconfirmed = m.Unconfirmed
	c.mu.Unlock()
	c.opts.OnReceivesChanges()
}

// itemReports passes on to the home what the answer to one of its items shows.
func (c *Client) itemReports(call itemCall) itemReports {
	return itemReports{
		load:  func(running, waiting int) { c.report(call.Upstream.ID, running, waiting) },
		wrote: func() { c.notify(methodWrote, wroteNotice{ID: call.Slot, Batch: true}) },
		limit: func(rate float64, named bool) {
			c.notify(methodLimit, limitNotice{ID: call.Slot, Batch: true, Rate: rate, Named: named})
		},
	}
}
