package home

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/poison"
	"mothcart/core/slot"
)

// suspectsNotice sends what is known against parts of prompts and against requests: from the home to all nodes when a
// quarantine begins or one is cleared, and to a node that connects.
type suspectsNotice struct {
	Records []poison.Record `msgpack:"recs"`
}

// wroteNotice reports that the upstream of a slot in use writes its answer. Batch reports that an item uses the slot, for
// which the home itself has asked.
type wroteNotice struct {
	ID    uint64 `msgpack:"id"`
	Batch bool   `msgpack:"batch,omitempty"`
}

func (m wroteNotice) key(owner string) slot.Key {
	if m.Batch {
		return itemKey(m.ID)
	}
	return slot.Key{Owner: owner, ID: m.ID}
}

// findingMetrics counts ends of upstreams by suspect, and what followed.
type findingMetrics struct {
	suspicions, quarantines, cleared metrics.Counter
}

func (m findingMetrics) count(kind poison.Kind) {
	switch kind {
	case poison.Suspected:
		m.suspicions.Inc(1)
	case poison.QuarantineBegun:
		m.quarantines.Inc(1)
	case poison.Cleared:
		m.cleared.Inc(1)
	}
}

// decided returns the records of what was quarantined or cleared.
func decided(findings []poison.Finding) []poison.Record {
	var out []poison.Record
	for _, f := range findings {
		if f.Kind != poison.Suspected {
			out = append(out, f.Record)
		}
	}
	return out
}

// logFindings logs what was found about parts of prompts and about requests, and by whom.
func logFindings(log zerolog.Logger, by string, findings []poison.Finding) {
	for _, f := range findings {
		ends := zerolog.Arr()
		for _, e := range f.Ends {
			ends = ends.Dict(zerolog.Dict().Str("upstream", e.Upstream).Int64("incarnation", e.Incarnation).
				Dur("attemptAgeMillis", e.BeganAgo).Dur("ageMillis", e.EndedAgo))
		}
		e := log.Warn().Str("by", by)
		if f.IsRequest() {
			e = e.Stringer("identity", f.Identity)
		} else {
			e = e.Str("service", f.Service).Stringer("part", f.Part)
		}
		e.Int("endsInARow", f.InARow).Array("ends", ends).
			Int("quarantines", f.Quarantines).Dur("leftMillis", f.Left).Msg(f.Event())
	}
}

// foundSuspects handles changes of what this node knows of parts of prompts and of requests.
func (c *Client) foundSuspects(findings []poison.Finding) {
	logFindings(c.opts.Log, "node", findings)
	if len(decided(findings)) > 0 {
		c.opts.SuspectsChanged()
	}
}

// Suspects returns what this node knows against parts of prompts and against requests.
func (c *Client) Suspects() []poison.Record { return c.localPool.ExportSuspects() }

// Quarantined returns the numbers of parts of prompts and of requests that are known to crash upstreams.
func (c *Client) Quarantined() (parts, requests int) { return c.localPool.Quarantined() }
