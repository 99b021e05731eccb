package slot

import "time"

// refusedMemory is how long a refused request is remembered; it covers the time that callers have.
const refusedMemory = 10 * time.Second

// refusedList remembers when requests that were refused came first, since a caller that returns has
// waited since then.
type refusedList struct {
	first map[string]time.Time
	// order holds the requests by the time of their refusal, oldest first.
	order []refusedRequest
}

type refusedRequest struct {
	id string
	at time.Time
}

// objective returns the objective of a request, counted from the first attempt of its caller.
func (l *refusedList) objective(now time.Time, r Request) time.Time {
	first, ok := l.first[r.RequestID]
	if r.Objective.IsZero() || r.RequestID == "" || !ok {
		return r.Objective
	}
	return r.Objective.Add(-now.Sub(first))
}

// missesObjective reports that a request can't meet its objective any more.
func (r Request) missesObjective(now time.Time) bool {
	return !r.Objective.IsZero() && !now.Before(r.Objective)
}

// note remembers a request that is refused now, and forgets those of long ago.
func (l *refusedList) note(now time.Time, r Request) {
	for len(l.order) > 0 && now.Sub(l.order[0].at) > refusedMemory {
		delete(l.first, l.order[0].id)
		l.order = l.order[1:]
	}
	if _, known := l.first[r.RequestID]; known || r.RequestID == "" {
		return
	}
	if l.first == nil {
		l.first = make(map[string]time.Time)
	}
	l.first[r.RequestID] = r.asked
	l.order = append(l.order, refusedRequest{id: r.RequestID, at: now})
}

// noted remembers the request of a refusal.
func (p *Pool) noted(now time.Time, refusal Refusal) Refusal {
	p.refused.note(now, refusal.Request)
	return refusal
}
