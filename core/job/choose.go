package job

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a job with chunks to offer, as a broker sees it.
type Candidate struct {
	ID   string `msgpack:"id"`
	Team string `msgpack:"t"`
	// Home is the VM that has the job's chunk table.
	Home     string    `msgpack:"h"`
	Deadline time.Time `msgpack:"d"`
	// Weight orders jobs of one team with the same deadline.
	Weight int `msgpack:"w"`
	// Share is the team's guaranteed part of the service, from 0 to 1.
	Share float64 `msgpack:"s"`
	// Open and Held are numbers of chunks.
	Open int `msgpack:"o"`
	Held int `msgpack:"l"`
}

// Limits that Choose applies.
const (
	// minShare is used for a team without a share; it gets the capacity that other teams leave unused.
	minShare = 0.001
	// stickySlack is how much later than the earliest deadline a job may be due and still go first at
	// the VM that ran the job's last chunk.
	stickySlack = 10 * time.Minute
)

// Choose orders the candidates by preference and returns their indexes. The team that holds
// the fewest chunks relative to its share comes first; within a team, the earliest deadline. The job
// prefer, whose prompts the asking VM's engines have cached, goes ahead of jobs of its team that are
// due no more than stickySlack earlier.
func Choose(candidates []Candidate, prefer string) []int {
	use := teamUse(candidates)
	due := func(i int) time.Time {
		if candidates[i].ID == prefer {
			return candidates[i].Deadline.Add(-stickySlack)
		}
		return candidates[i].Deadline
	}
	var order []int
	for i, c := range candidates {
		if c.Open > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := candidates[a], candidates[b]
		return cmp.Or(
			cmp.Compare(use[x.Team], use[y.Team]),
			due(a).Compare(due(b)),
			cmp.Compare(y.Weight, x.Weight),
			cmp.Compare(x.ID, y.ID),
		)
	})
	return order
}

// teamUse returns the chunks that each team holds, divided by its share.
func teamUse(candidates []Candidate) map[string]float64 {
	use := map[string]float64{}
	for _, c := range candidates {
		use[c.Team] += float64(c.Held) / max(c.Share, minShare)
	}
	return use
}

// Progress is the progress of a job, from which AtRisk estimates the job's end.
type Progress struct {
	Created, Deadline time.Time
	// Started is the time of the first claim; zero before it.
	Started     time.Time
	Items, Done int
}

// Shares of a job's window, which lasts from its creation to its deadline.
const (
	// startShare is the part of the window that may pass before a job has any outcome.
	startShare = 0.5
	// reserveShare is the part of the window before the deadline that is reserved for delays.
	reserveShare = 0.05
)

// AtRisk reports whether the job will end within the reserve before its deadline, or later, if it
// continues at its mean speed so far. A job without any outcome is at risk after startShare of its window.
func AtRisk(now time.Time, p Progress) bool {
	if p.Done >= p.Items {
		return false
	}
	window := p.Deadline.Sub(p.Created)
	if p.Done == 0 || p.Started.IsZero() {
		return now.Sub(p.Created) > time.Duration(startShare*float64(window))
	}
	perItem := float64(now.Sub(p.Started)) / float64(p.Done)
	end := now.Add(time.Duration(perItem * float64(p.Items-p.Done)))
	reserve := time.Duration(reserveShare * float64(window))
	return end.After(p.Deadline.Add(-reserve))
}
