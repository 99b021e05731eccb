package node

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"mothcart/io/http1"
)

// countFaults returns a function that counts answers of upstreams with a broken head, and those that were reset while the
// request was being sent.
func countFaults(r metrics.Registry) func(err error) {
	heads, resets := metrics.GetOrRegisterCounter("upstreams.brokenHeads", r), metrics.GetOrRegisterCounter("upstreams.resetAnswers", r)
	return func(err error) {
		if errors.Is(err, http1.ErrHead) {
			heads.Inc(1)
			return
		}
		resets.Inc(1)
	}
}
