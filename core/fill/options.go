package fill

import "time"

// Params are the settings of one engine's filling. Values are immutable.
type Params struct {
	// MaxSequences is the number of sequences that the engine runs at once.
	MaxSequences int
	// KVTokens is the capacity of the engine's KV memory.
	KVTokens int
	// CacheTokens is the part of the KV memory that batch leaves to online's cached prefixes.
	CacheTokens int
	// Weight goes from 1 (avoid harm to online) to 0 (batch throughput).
	Weight float64
	// AnswerTokens is the memory assumed for the answer of an online request.
	AnswerTokens int
	// PrefillTokens bounds, at weight 0, the tokens of batch sequences without a first token.
	PrefillTokens int
	// KeepState is how long the engine keeps the state of a paused stream.
	KeepState time.Duration
	// ReportWindow is the greatest age of a load report that is still compared with own counts.
	ReportWindow time.Duration
	// OnlineLease ends the count of an online request whose end was never heard of.
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

// WithCacheTokens returns a copy with the memory left to online's prefixes set.
func (p Params) WithCacheTokens(tokens int) Params {
	p.CacheTokens = tokens
	return p
}

// WithPrefillTokens returns a copy with the bound of batch prompt tokens in progress set.
func (p Params) WithPrefillTokens(tokens int) Params {
	p.PrefillTokens = tokens
	return p
}

// WithKeepState returns a copy with the engine's retention of paused streams set.
func (p Params) WithKeepState(d time.Duration) Params {
	p.KeepState = d
	return p
}

// WithReportWindow returns a copy with the greatest usable age of load reports set.
func (p Params) WithReportWindow(d time.Duration) Params {
	p.ReportWindow = d
	return p
}
