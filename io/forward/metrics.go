package forward

import (
	"github.com/rcrowley/go-metrics"

	"mothcart/io/scrape"
)

type forwardMetrics struct {
	answered, refused, failed, broken metrics.Counter
	// overLimit counts the refused requests whose account had used up its limit.
	overLimit metrics.Counter
	// late counts those that came too late before the node stops.
	late                       metrics.Counter
	attempts, repeats, resumes metrics.Counter
	// silences counts upstreams that became silent during an attempt, replacements the attempts that followed.
	silences, replacements metrics.Counter
	// carried counts attempts through another entry.
	carried                metrics.Counter
	firstByte, wait, total *scrape.Histogram
}

func newMetrics(r metrics.Registry) forwardMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("online."+name, r) }
	timer := func(name string) *scrape.Histogram { return scrape.GetOrRegisterHistogram("online."+name, r) }
	return forwardMetrics{
		answered: counter("answered"), refused: counter("refused"), failed: counter("failed"), broken: counter("broken"),
		overLimit: counter("overLimit"), late: counter("refusedLate"),
		attempts: counter("attempts"), repeats: counter("repeats"), resumes: counter("resumes"),
		silences: counter("silences"), replacements: counter("replacements"), carried: counter("carried"),
		firstByte: timer("firstByte"), wait: timer("wait"), total: timer("total"),
	}
}
