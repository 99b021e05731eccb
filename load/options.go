package load

import (
	"fmt"
	"strings"
	"time"
)

// Options are the settings of a run. Values are immutable.
type Options struct {
	// URLs are the base URLs of the servers; requests go to them in turn.
	URLs  []string
	Key   string
	Model string
	Seed  uint64
	Arrival
	Duration time.Duration
	// Tokens is the length of an answer in tokens, PromptBytes that of a prompt in bytes.
	Tokens      int
	PromptBytes int
	// Prefixes is the number of different prefixes that the prompts share.
	Prefixes int
	Stream   bool
	// MaxInFlight is the maximum number of requests in flight; requests beyond it are dropped and counted.
	MaxInFlight int
}

// NewOptions returns options for 50 streams per second of 16 tokens each for ten seconds.
func NewOptions(urls ...string) Options {
	return Options{
		URLs: urls, Model: "scribe", Seed: 1, Arrival: Arrival{Rate: 50}, Duration: 10 * time.Second,
		Tokens: 16, PromptBytes: 200, Prefixes: 20, Stream: true, MaxInFlight: 5000,
	}
}

// WithRate returns a copy with the rate and the duration set.
func (o Options) WithRate(perSecond float64, d time.Duration) Options {
	o.Rate = perSecond
	o.Duration = d
	return o
}

// WithBursts returns a copy with bursts of size requests at an interval.
func (o Options) WithBursts(every time.Duration, size int) Options {
	o.BurstEvery = every
	o.BurstSize = size
	return o
}

// WithTarget returns a copy with the API key and the model set.
func (o Options) WithTarget(key, model string) Options {
	o.Key = key
	o.Model = model
	return o
}

// WithSeed returns a copy with the seed set.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// prompt returns the prompt of request n: a prefix that several requests share, then a part of its own.
func (o Options) prompt(n int) string {
	sharedPrefix := fmt.Sprintf("Parish %d. ", n%max(1, o.Prefixes))
	filler := strings.Repeat("rota ", max(0, o.PromptBytes-len(sharedPrefix))/5)
	return sharedPrefix + filler + fmt.Sprintf("Line %d.", n)
}
