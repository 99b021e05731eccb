package explain

import (
	"cmp"
	"slices"
	"time"
)

// clockSlack is the time difference up to which the clocks of two nodes don't show the order of events.
const clockSlack = 20 * time.Millisecond

// inCausalOrder returns events by time. Events of different nodes within clockSlack are ordered by rank, so that a cause
// comes before its result, such as a refusal before the end of the request. Lines of one node keep their order.
func inCausalOrder(events []Event) []Event {
	nodes := byNode(events)
	out := make([]Event, 0, len(events))
	for len(nodes) > 0 {
		first := slices.MinFunc(nodes, func(a, b []Event) int { return a[0].Time.Compare(b[0].Time) })[0].Time
		next := -1
		for i, n := range nodes {
			if n[0].Time.Sub(first) <= clockSlack && (next < 0 || compareHeads(n[0], nodes[next][0]) < 0) {
				next = i
			}
		}
		out = append(out, nodes[next][0])
		if nodes[next] = nodes[next][1:]; len(nodes[next]) == 0 {
			nodes = slices.Delete(nodes, next, next+1)
		}
	}
	return out
}

// byNode returns the events of each node in the order of its log.
func byNode(events []Event) [][]Event {
	index := map[string]int{}
	var nodes [][]Event
	for _, e := range events {
		i, known := index[e.Node]
		if !known {
			i = len(nodes)
			index[e.Node] = i
			nodes = append(nodes, nil)
		}
		nodes[i] = append(nodes[i], e)
	}
	for _, n := range nodes {
		slices.SortStableFunc(n, func(a, b Event) int { return cmp.Or(a.Time.Compare(b.Time), a.index-b.index) })
	}
	return nodes
}

func compareHeads(a, b Event) int {
	return cmp.Or(rank(a)-rank(b), a.Time.Compare(b.Time))
}

// rank is low for causes and high for results.
func rank(e Event) int {
	switch e.Name {
	case "requestDone", "resultsListed", "jobSubmitted":
		return 2
	case "attemptFailed", "itemAttempt", "itemGivenUp", "writtenForNode", "submissionWithdrawn":
		return 1
	default:
		return 0
	}
}
