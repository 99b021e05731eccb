package fill

import "time"

// Params are the settings for filling one engine with batch. Values are immutable.
type Params struct {
	// MaxSequences is the number of sequences that the engine runs at once.
	MaxSequences int
	// KVTokens is the capacity of the engine's KV memory, in tokens.
	KVTokens int
	// CacheTokens is the part of the KV memory that batch leaves to the cached prefixes of online requests.
	CacheTokens int
	// Weight goes from 1 (avoid harm to online) to 0 (batch throughput).
	Weight float64
	// AnswerTokens is the KV memory assumed for the answer of an online request.
	AnswerTokens int
	// PrefillTokens bounds, at weight 0, the tokens of batch sequences that have no first token yet.
	PrefillTokens int
	// KeepState is how long the engine keeps the state of a paused stream.
	KeepState time.Duration
	// ReportWindow is the greatest age of a load report that is still compared with the home's own counts.
	ReportWindow time.Duration
	// OnlineLease is the time after which an online request is removed if no notice of its end came.
	OnlineLease time.Duration
}

// NewParams returns the settings for an engine's capacity, with a weight of 0.85.
func NewParams(maxSequences, kvTokens int) Params {
	return Params{
		MaxSequences:  maxSequences,
		KVTokens:      kvTokens,
		CacheTokens:   kvTokens / 8,
		Weight:        0.85,
		AnswerTokens:  200,
		PrefillTokens: 4096,
		KeepState:     5 * time.Second,
		ReportWindow:  3 * time.Second,
		OnlineLease:   2 * time.Minute,
	}
}

// WithWeight returns a copy with the weight set, limited to 0 to 1.
func (p Params) WithWeight(weight float64) Params {
	p.Weight = min(1, max(0, weight))
	return p
}

// WithCacheTokens returns a copy with CacheTokens set.
func (p Params) WithCacheTokens(tokens int) Params {
	p.CacheTokens = tokens
	return p
}

// WithPrefillTokens returns a copy with PrefillTokens set.
func (p Params) WithPrefillTokens(tokens int) Params {
	p.PrefillTokens = tokens
	return p
}

// WithKeepState returns a copy with KeepState set.
func (p Params) WithKeepState(d time.Duration) Params {
	p.KeepState = d
	return p
}

// WithReportWindow returns a copy with ReportWindow set.
func (p Params) WithReportWindow(d time.Duration) Params {
	p.ReportWindow = d
	return p
}
