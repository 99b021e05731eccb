package home

import (
	"github.com/rs/zerolog"

	"mothcart/core/poison"
	"mothcart/core/slot"
)

// partsNotice sends what is known against parts of prompts: from the home to all nodes when a quarantine begins or a
// part is cleared, and to a node that connects.
type partsNotice struct {
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

// decided returns the records of the parts that were quarantined or cleared.
func decided(findings []poison.Finding) []poison.Record {
	var out []poison.Record
	for _, f := range findings {
		if f.Kind != poison.Suspected {
			out = append(out, f.Record)
		}
	}
	return out
}

// logFindings logs what was found about parts of prompts, and by whom.
func logFindings(log zerolog.Logger, by string, findings []poison.Finding) {
	for _, f := range findings {
		ends := zerolog.Arr()
		for _, e := range f.Ends {
			ends = ends.Dict(zerolog.Dict().Str("upstream", e.Upstream).Int64("incarnation", e.Incarnation).
				Dur("attemptAgeMillis", e.BeganAgo).Dur("ageMillis", e.EndedAgo))
		}
		log.Warn().Str("by", by).Str("service", f.Service).Str("part", f.Part.String()).Int("endsInARow", f.InARow).Array("ends", ends).
			Int("quarantines", f.Quarantines).Dur("leftMillis", f.Left).Msg(string(f.Kind))
	}
}

// foundParts handles changes of what this node knows of parts of prompts.
func (c *Client) foundParts(findings []poison.Finding) {
	logFindings(c.opts.Log, "node", findings)
	if len(decided(findings)) > 0 {
		c.opts.PartsChanged()
	}
}

// PartRecords returns what this node knows against parts of prompts.
func (c *Client) PartRecords() []poison.Record { return c.localPool.ExportParts() }

// QuarantinedParts returns the number of parts of prompts that are known to crash upstreams.
func (c *Client) QuarantinedParts() int { return c.localPool.QuarantinedParts() }
