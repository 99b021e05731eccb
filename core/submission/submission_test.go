package submission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a refusal of a job that an earlier or a concurrent attempt may still store.
func TestJobIsRefusedOnlyWithoutOpenAttempts(t *testing.T) {
	a, b := Attempt{"j", "e1/1"}, Attempt{"j", "e2/1"}
	start := time.Unix(1, 0)
	for _, tc := range []struct {
		name string
		// begun are the attempts before the one of b, withdrawn those of them without effect.
		begun, withdrawn []Attempt
		stored           bool
		after            time.Duration
		want             bool
	}{
		{"first attempt", nil, nil, false, 0, true},
		{"an attempt in doubt", []Attempt{a}, nil, false, time.Second, false},
		{"an attempt withdrawn", []Attempt{a}, []Attempt{a}, false, time.Second, true},
		{"one of two withdrawn", []Attempt{a, {"j", "e1/2"}}, []Attempt{a}, false, time.Second, false},
		{"another job in doubt", []Attempt{{"k", "e1/1"}}, nil, false, time.Second, true},
		{"an attempt told again", []Attempt{a, a}, []Attempt{a}, false, time.Second, true},
		{"in doubt, just remembered", []Attempt{a}, nil, false, Memory - 1, false},
		{"in doubt, forgotten", []Attempt{a}, nil, false, Memory, true},
	} {
		table := NewTable()
		for _, begun := range tc.begun {
			table.Begin(start, begun)
		}
		for _, withdrawn := range tc.withdrawn {
			table.Withdraw(start, withdrawn)
		}
		now := start.Add(tc.after)
		table.Begin(now, b)
		require.Equal(t, tc.want, table.Withdraw(now, b), tc.name)
	}
}

func TestStoredJobThatWasRefused(t *testing.T) {
	a, b := Attempt{"j", "e1/1"}, Attempt{"j", "e2/1"}
	now := time.Unix(1, 0)
	for _, tc := range []struct {
		name string
		do   func(table *Table)
		want bool
	}{
		{"accepted", func(table *Table) { table.Begin(now, a) }, false},
		{"refused", func(table *Table) { table.Begin(now, a); table.Withdraw(now, a); table.Refuse(now, "j") }, true},
		{"refused without an attempt", func(table *Table) { table.Refuse(now, "j") }, true},
		{"withdrawn, not refused", func(table *Table) { table.Begin(now, a); table.Withdraw(now, a) }, false},
		{"one is in doubt", func(table *Table) { table.Begin(now, a); table.Begin(now, b); table.Withdraw(now, b) }, false},
		{"refused, then sent again", func(table *Table) { table.Refuse(now, "j"); table.Begin(now, b) }, false},
		{"not known", func(*Table) {}, false},
	} {
		table := NewTable()
		tc.do(table)
		require.Equal(t, tc.want, table.Stored(now, "j"), tc.name)
		require.Empty(t, table.Open(now), tc.name)
	}
}

func TestOpenAttemptsAreForgotten(t *testing.T) {
	table := NewTable()
	now := time.Unix(1, 0)
	table.Begin(now, Attempt{"k", "e1/2"})
	table.Begin(now, Attempt{"j", "e1/1"})
	table.Refuse(now, "l")
	require.Equal(t, []Attempt{{"j", "e1/1"}, {"k", "e1/2"}}, table.Open(now))
	require.Empty(t, table.Open(now.Add(Memory)))
	require.Empty(t, table.jobs)
}
