package home

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"mothcart/core/submission"
	"mothcart/io/object"
)

// Writer is who writes a job.
type Writer struct {
	// By is the role: "entry" or "home".
	By string
	// Attempt is the attempt to submit the job that the write belongs to.
	Attempt  submission.Attempt
	Log      zerolog.Logger
	Registry metrics.Registry
}

// WithAttempts returns a context in which each attempt to write a part of the job is logged and counted with its own outcome.
// The volume is bounded by the pauses between attempts.
func (w Writer) WithAttempts(ctx context.Context) context.Context {
	return object.WithAttempts(ctx, func(a object.Attempt) {
		so := writeOutcomeOf(a.Err)
		metrics.GetOrRegisterCounter("jobWrites."+w.By+"."+so.String(), w.Registry).Inc(1)
		w.Log.Info().Str("job", w.Attempt.Job).Str("attempt", w.Attempt.ID).Str("by", w.By).Int64("number", a.Number).Str("object", a.Kind+"/"+a.Name).
			Stringer("outcome", so).Dur("tookMillis", time.Since(a.StartedAt)).AnErr("error", a.Err).Msg("jobWriteAttempt")
	})
}
