package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothcart/core/plainjson"
	"mothcart/io/object"
)

// Guards against a hint of complete jobs that is larger than an object may be, so that it is never written and no job is removed.
func TestHintOfCompleteJobsFitsIntoAnObject(t *testing.T) {
	const jobs, limit = 500, 8 << 10
	l, now := newListedJobs(), time.Unix(1000, 0)
	for i := range jobs {
		l.add(fmt.Sprintf("job%016d", jobs-i), object.Revision(1000+i))
	}
	removed := 0
	for round := 0; removed < jobs; round++ {
		require.Less(t, round, jobs)
		now = now.Add(listedInterval)
		r, leftOut, due := l.due(now, limit)
		require.True(t, due)
		require.LessOrEqual(t, plainjson.Size(r), limit)
		require.NotEmpty(t, r.Jobs)
		require.Equal(t, jobs-removed-len(r.Jobs), leftOut)
		require.EqualValues(t, 1000+removed, r.Created[0], "the oldest go first")
		l.written(nil)
		for _, id := range r.Jobs {
			require.True(t, l.isStored(id))
			l.remove(id)
			removed++
		}
	}
}
