package home

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"

	"mothcart/core/site"
	"mothcart/core/slot"
)

// limitNotice reports what an upstream's answer says of the rate that it takes, in requests a second; Named is false if
// it says nothing. Batch is that of wroteNotice.
type limitNotice struct {
	ID    uint64  `msgpack:"id"`
	Batch bool    `msgpack:"batch,omitempty"`
	Rate  float64 `msgpack:"rate,omitempty"`
	Named bool    `msgpack:"named,omitempty"`
}

func (m limitNotice) key(owner string) slot.Key {
	return wroteNotice{ID: m.ID, Batch: m.Batch}.key(owner)
}

// limitRecord is the wire form of slot.LimitRecord.
type limitRecord struct {
	Upstream upstreamKey   `msgpack:"up"`
	Rate     float64       `msgpack:"rate"`
	Age      time.Duration `msgpack:"age"`
}

func encodeLimits(list []slot.LimitRecord) []limitRecord {
	out := make([]limitRecord, 0, len(list))
	for _, l := range list {
		out = append(out, limitRecord{Upstream: upstreamKey{ID: l.Upstream.ID, Incarnation: l.Upstream.Incarnation}, Rate: l.Rate, Age: l.Age})
	}
	return out
}

func decodeLimits(list []limitRecord) []slot.LimitRecord {
	out := make([]slot.LimitRecord, 0, len(list))
	for _, l := range list {
		out = append(out, slot.LimitRecord{Upstream: site.Key{ID: l.Upstream.ID, Incarnation: l.Upstream.Incarnation}, Rate: l.Rate, Age: l.Age})
	}
	return out
}

// loggedLimitChange is the least relative change of a rate that is logged.
const loggedLimitChange = 0.1

// logLimits logs changes of the rates that upstreams name.
func logLimits(log zerolog.Logger, by string, changes []slot.LimitChange) {
	for _, c := range changes {
		if c.Before > 0 && c.After > 0 && max(c.Before, c.After) <= (1+loggedLimitChange)*min(c.Before, c.After) {
			continue
		}
		log.Info().Str("by", by).Str("upstream", c.Upstream.ID).Int64("incarnation", c.Upstream.Incarnation).Str("service", c.Upstream.Service).
			Float64("ratePerSecond", c.After).Float64("before", c.Before).Msg("upstreamLimited")
	}
}

// assumedNodes is the number of nodes that a node assumes until a home has told it.
const assumedNodes = 32

// Nodes returns the number of nodes, as a home has last told it.
func (c *Client) Nodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(c.nodes, assumedNodes)
}
