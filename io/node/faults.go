package node

import "github.com/rcrowley/go-metrics"

// countFaults returns a function that counts answers of upstreams that were reset while the request was being sent.
func countFaults(r metrics.Registry) func(err error) {
	resets := metrics.GetOrRegisterCounter("upstreams.resetAnswers", r)
	return func(error) { resets.Inc(1) }
}
