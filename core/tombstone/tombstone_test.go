package tombstone

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestJudge(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		added    []Tombstone
		age      time.Duration
		revision int64
		want     Verdict
	}{
		{"nothing known", nil, 0, 5, Current},
		{"read before the end", []Tombstone{{Ended, 7}}, time.Second, 6, IsEnded},
		{"the end itself", []Tombstone{{Ended, 7}}, time.Second, 7, Current},
		{"created again after the end", []Tombstone{{Ended, 7}}, time.Second, 9, Current},
		{"read before the removal", []Tombstone{{Removed, 7}}, time.Second, 6, IsRemoved},
		{"removal with the revision of the last change", []Tombstone{{Removed, 7}}, time.Second, 7, IsRemoved},
		{"created again after the removal", []Tombstone{{Removed, 7}}, time.Second, 8, Current},
		{"an end of unknown revision", []Tombstone{{Ended, 0}}, time.Second, 6, Doubtful},
		{"an end whose revision becomes known", []Tombstone{{Ended, 0}, {Ended, 7}}, time.Second, 6, IsEnded},
		{"an end that is repeated without its revision", []Tombstone{{Ended, 7}, {Ended, 0}}, time.Second, 6, IsEnded},
		{"an end, then the removal", []Tombstone{{Ended, 7}, {Removed, 9}}, time.Second, 8, IsRemoved},
		{"a late event of the end after the removal", []Tombstone{{Removed, 9}, {Ended, 7}}, time.Second, 8, IsRemoved},
		{"an end of unknown revision, then the removal of an earlier object", []Tombstone{{Ended, 0}, {Removed, 5}}, time.Second, 6, Doubtful},
		{"long ago", []Tombstone{{Removed, 9}}, Lifetime + time.Second, 8, Current},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable()
			for _, s := range tc.added {
				table.Add(start, "j1", s)
			}
			require.Equal(t, tc.want, table.Judge(start.Add(tc.age), "j1", tc.revision))
			require.Equal(t, Current, table.Judge(start, "j2", tc.revision), "another object")
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	table := NewTable()
	for i := range maxTombstones + 1 {
		table.Add(start.Add(time.Duration(i)), fmt.Sprint(i), Tombstone{Ended, 7})
	}
	require.Equal(t, maxTombstones, table.Len())
	require.Equal(t, Current, table.Judge(start, "0", 1), "the oldest is dropped")
	require.Equal(t, IsEnded, table.Judge(start, "1", 1))
	table.Expire(start.Add(2 * Lifetime))
	require.Zero(t, table.Len())
}

// Guards against a tombstone of unknown revision that makes its object be read again and again.
func TestConfirm(t *testing.T) {
	start := time.Unix(1000, 0)
	table := NewTable()
	table.Add(start, "j1", Tombstone{Ended, 0})
	table.Add(start, "j2", Tombstone{Ended, 7})
	table.Confirm("j1", start.Add(-time.Second))
	require.Equal(t, Doubtful, table.Judge(start, "j1", 1), "it was read before")
	table.Confirm("j1", start.Add(time.Second))
	table.Confirm("j2", start.Add(time.Second))
	require.Equal(t, Current, table.Judge(start, "j1", 1))
	require.Equal(t, IsEnded, table.Judge(start, "j2", 1))
}
