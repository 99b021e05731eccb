package engine

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSequencer(t *testing.T) {
	type event struct{ id, data string }
	for _, tc := range []struct {
		name   string
		from   int
		events []event
		want   []string
		gaps   bool
	}{
		{"in order", 0, []event{{"0", "a"}, {"1", "b"}, {"1", "usage"}, {"1", DoneEvent}}, []string{"a", "b", "usage", DoneEvent}, false},
		{"out of order", 0, []event{{"1", "b"}, {"0", "a"}, {"2", "c"}}, []string{"a", "b", "c"}, false},
		{"already received", 2, []event{{"0", "a"}, {"1", "b"}, {"2", "c"}}, []string{"c"}, false},
		{"without numbers", 0, []event{{"", "a"}, {"", "b"}, {"", DoneEvent}}, []string{"a", "b", DoneEvent}, false},
		{"missing token", 0, []event{{"1", "b"}, {"2", "c"}}, nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			s := newSequencer(tc.from, func(e Event) error { got = append(got, e.Data); return nil })
			for _, e := range tc.events {
				require.NoError(t, s.add(e.id, e.data))
			}
			assert.Equal(t, tc.want, got)
			assert.Equal(t, tc.gaps, s.hasGaps())
		})
	}
}
