package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestChoose(t *testing.T) {
	at := func(minutes int) time.Time { return epoch.Add(time.Duration(minutes) * time.Minute) }
	for _, tc := range []struct {
		name       string
		candidates []Candidate
		prefer     string
		want       string
	}{
		{"earliest deadline", []Candidate{{ID: "a", Deadline: at(9), Open: 1}, {ID: "b", Deadline: at(5), Open: 1}}, "", "b"},
		{"nothing open", []Candidate{{ID: "a", Deadline: at(1)}, {ID: "b", Deadline: at(5), Open: 1}}, "", "b"},
		{"fair share first", []Candidate{
			{ID: "a", Team: "x", Share: 0.5, Deadline: at(1), Open: 1, Held: 4},
			{ID: "b", Team: "y", Share: 0.5, Deadline: at(9), Open: 1, Held: 3},
		}, "", "b"},
		{"share weighs", []Candidate{
			{ID: "a", Team: "x", Share: 0.9, Deadline: at(9), Open: 1, Held: 4},
			{ID: "b", Team: "y", Share: 0.1, Deadline: at(1), Open: 1, Held: 1},
		}, "", "a"},
		{"unused share is lent", []Candidate{{ID: "a", Team: "x", Share: 0.1, Deadline: at(1), Open: 1, Held: 90}}, "", "a"},
		{"weight breaks ties", []Candidate{{ID: "a", Deadline: at(5), Open: 1, Weight: 1}, {ID: "b", Deadline: at(5), Open: 1, Weight: 2}}, "", "b"},
		{"cached prompts", []Candidate{{ID: "a", Deadline: at(5), Open: 1}, {ID: "b", Deadline: at(8), Open: 1}}, "b", "b"},
		{"cached prompts of a late job", []Candidate{{ID: "a", Deadline: at(5), Open: 1}, {ID: "b", Deadline: at(60), Open: 1}}, "b", "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			order := Choose(tc.candidates, tc.prefer)
			require.NotEmpty(t, order)
			assert.Equal(t, tc.want, tc.candidates[order[0]].ID)
		})
	}
}

func TestAtRisk(t *testing.T) {
	start := epoch.Add(time.Hour)
	p := Progress{Created: epoch, Deadline: epoch.Add(10 * time.Hour), Items: 1000}
	for _, tc := range []struct {
		name    string
		started time.Time
		done    int
		after   time.Duration
		want    bool
	}{
		{"new", time.Time{}, 0, time.Hour, false},
		{"not started at half of the window", time.Time{}, 0, 6 * time.Hour, true},
		{"fast enough", start, 500, 5 * time.Hour, false},
		{"too slow", start, 100, 3 * time.Hour, true},
		{"done", start, 1000, 11 * time.Hour, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p.Started, p.Done = tc.started, tc.done
			assert.Equal(t, tc.want, AtRisk(epoch.Add(tc.after), p))
		})
	}
}

// The chunk of a live holder must not be offered again: neither after a renewal, nor when the holder reports
// that it can't renew. A late report of an older version must not count as a renewal.
func TestTableOffersLapsedClaimsOnly(t *testing.T) {
	table, i, version, ok := NewTable(1, DefaultLease).Offer(epoch)
	require.True(t, ok)
	assert.Zero(t, i)
	assert.Zero(t, version)
	_, _, _, ok = table.Offer(epoch.Add(time.Second))
	assert.False(t, ok, "offered already")
	table = table.Reported(epoch, Report{Version: 5, Holder: "e1#x"})
	table = table.Reported(epoch.Add(time.Minute), Report{Version: 6, Holder: "e1#x"})
	table = table.Reported(epoch.Add(90*time.Second), Report{Version: 5, Holder: "e1#x"})
	_, _, _, ok = table.Offer(epoch.Add(time.Minute + DefaultLease - 1))
	assert.False(t, ok, "renewed a minute later")
	alive := table.Alive(epoch.Add(2*time.Minute), 0, 6)
	_, _, _, ok = alive.Offer(epoch.Add(time.Minute + DefaultLease))
	assert.False(t, ok, "the holder is alive but can't renew")
	_, _, version, ok = table.Offer(epoch.Add(time.Minute + DefaultLease))
	assert.True(t, ok)
	assert.EqualValues(t, 6, version)
	table = table.Reported(epoch, Report{Version: 7, Closed: true, Counts: Counts{Succeeded: 3}})
	assert.True(t, table.Reported(epoch, Report{Version: 8, Holder: "e2#x"}).Finished(), "a closed chunk stays closed")
	assert.Less(t, StopAfter(DefaultLease), DefaultLease)
}

func TestTerminalStatesNeverChange(t *testing.T) {
	for _, s := range []State{Cancelled, Completed, Aborted} {
		h := Head{State: s, Items: 1}
		_, err := h.Accept(epoch)
		require.ErrorIs(t, err, ErrTerminal)
		_, err = h.Abort(epoch)
		require.ErrorIs(t, err, ErrTerminal)
		next, _ := h.Cancel(epoch)
		assert.Equal(t, h, next)
		next, _ = h.Finish(epoch, Counts{Succeeded: 1}, nil)
		assert.Equal(t, h, next)
	}
	_, ok := Head{State: Running, Items: 2}.Finish(epoch, Counts{Succeeded: 1}, nil)
	assert.False(t, ok, "an item lacks an outcome")
}
