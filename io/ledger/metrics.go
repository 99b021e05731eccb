package ledger

import "github.com/rcrowley/go-metrics"

// counts are the ledger's counters.
type counts struct {
	writes, reads, conflicts, lostAnswers, takeovers metrics.Counter
	unknowns, refused, handoffs, executions, sealed  metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("ledger."+name, r) }
	return counts{
		writes:      counter("writes"),
		reads:       counter("reads"),
		conflicts:   counter("conflicts"),
		lostAnswers: counter("lostAnswers"),
		takeovers:   counter("takeovers"),
		unknowns:    counter("unknowns"),
		refused:     counter("refused"),
		handoffs:    counter("handoffs"),
		executions:  counter("executions"),
		sealed:      counter("sealedBlocks"),
	}
}
