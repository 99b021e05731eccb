// Package zone weighs when a request leaves the availability zone of the VM that asked.
//
// Traffic between zones is slower and costs money, yet an upstream of another zone may answer so much sooner that it pays.
// Both are weighed in one unit, the time of a caller: a crossing costs the time between the zones, and for each byte the
// time that the operator's weight gives to it. A request leaves only if the answer comes sooner by that and by a margin.
//
// There is no state. Whoever decides counts each grant at once, so that every request that leaves makes the other zone
// dearer for the next one: what leaves is the load above the point at which both zones are worth the same, and no more.
// Within twice the margin the next request stays where it is, which is what keeps traffic from going to and fro.
//
// Usage:
//
//	costs := zone.NewCosts()
//	leave := there+costs.Crossing(zone.Bytes(450, 300)) < here
package zone

import "time"

// Costs is what a crossing between two availability zones costs. Values are immutable. The zero value means that requests
// leave their zone only if that has no free slot.
type Costs struct {
	// RoundTrip is the time to another zone and back.
	RoundTrip time.Duration
	// PerMegabyte is the time of callers that one megabyte across is worth.
	PerMegabyte time.Duration
	// Margin is how much sooner an answer has to come beyond the costs.
	Margin time.Duration
}

// NewCosts returns the default costs.
func NewCosts() Costs {
	return Costs{
		RoundTrip:   3 * time.Millisecond,  // two zones of a region
		PerMegabyte: 20 * time.Second,      // a crossing of 6 KB is worth it if the answer is complete 0.1 s sooner
		Margin:      10 * time.Millisecond, // the time between two requests at an upstream that serves 100 a second
	}
}

// WithPerMegabyte returns the costs with another weight of bytes.
func (c Costs) WithPerMegabyte(d time.Duration) Costs {
	c.PerMegabyte = d
	return c
}

// IsSet reports that crossings are weighed.
func (c Costs) IsSet() bool { return c != Costs{} }

// Crossing returns what it costs to send a number of bytes across, in time of a caller. A request leaves its zone if its
// answer is expected sooner elsewhere by more than that.
func (c Costs) Crossing(bytes int) time.Duration {
	const megabyte = 1 << 20
	return c.RoundTrip + c.Margin + time.Duration(float64(c.PerMegabyte)*float64(bytes)/megabyte)
}

const (
	// bytesPerToken is the size of a token in a request or a streamed event with its frame.
	bytesPerToken = 6
	// headBytes is the size of the headers of a request and its answer.
	headBytes = 1 << 10
	// usualTokens is the size of a request of which nothing is known.
	usualTokens = 700
)

// Bytes estimates the bytes of a request and its answer from their tokens, where 0 means not known.
func Bytes(prompt, output int) int {
	if prompt <= 0 && output <= 0 {
		return headBytes + usualTokens*bytesPerToken
	}
	return headBytes + (max(prompt, 0)+max(output, 0))*bytesPerToken
}
