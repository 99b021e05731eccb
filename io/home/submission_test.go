package home

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mothcart/core/site"
	"mothcart/core/submission"
)

// Guards against a home that refuses a job by the word of a later attempt, since the first one came before the home had
// loaded the jobs or had a route.
func TestUndecidedHomeRemembersTheAttempt(t *testing.T) {
	now := time.Unix(1, 0)
	h := &Home{
		jobs: map[string]*job{}, submissions: submission.NewTable(),
		opts: Options{Config: func() site.Config { return site.Config{} }, Now: func() time.Time { return now }, Log: zerolog.Nop()},
	}
	require.True(t, h.room(reserveRequest{Job: "j1", Attempt: "e1/1"}).Undecided)
	require.Equal(t, []submission.Attempt{{Job: "j1", ID: "e1/1"}}, h.submissions.Open(now))
}
