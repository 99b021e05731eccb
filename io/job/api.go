package job

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/core/job"
	"mothcart/core/outcome"
	"mothcart/io/store"
)

// Status is a job with its progress.
type Status struct {
	Head job.Head
	// Counts are the outcomes so far: final for an ended job, else as reported to the home.
	Counts job.Counts
	// Held is the number of chunks that VMs hold.
	Held int
	// AtRisk reports that the job is likely to miss its deadline, judged by its mean speed so far.
	AtRisk bool
	// Late reports that the deadline has passed and the job has not ended.
	Late bool
}

// Get returns a job of the team. Errors: ErrNotFound, ErrUnavailable.
func (j *Jobs) Get(ctx context.Context, team, id string) (Status, error) {
	head, _, err := j.teamHead(ctx, team, id)
	if err != nil {
		return Status{}, err
	}
	return j.status(ctx, head), nil
}

func (j *Jobs) teamHead(ctx context.Context, team, id string) (job.Head, store.Version, error) {
	head, version, err := j.readHead(ctx, id)
	if err != nil {
		return head, 0, storeError(err)
	}
	if head.Team != team || head.State == job.Uploading || head.State == job.Aborted {
		return head, 0, merry.Errorf("job %s of team %s: %w", id, team, ErrNotFound)
	}
	return head, version, nil
}

// status adds the progress that the job's home reports.
func (j *Jobs) status(ctx context.Context, head job.Head) Status {
	s := Status{Head: head, Counts: head.Counts}
	if head.State.Terminal() {
		return s
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	progress, err := callPeer[progressResponse](ctx, j.bus, j.homeOf(head.ID), methodProgress, jobMessage{Job: head.ID})
	if err == nil && progress.Found {
		s.Counts, s.Held = progress.Counts, progress.Held
	}
	now := time.Now()
	s.Late = now.After(head.Deadline)
	s.AtRisk = s.Late || job.AtRisk(now, job.Progress{
		Created:  head.Created,
		Deadline: head.Deadline,
		Started:  progress.Started,
		Items:    head.Items,
		Done:     s.Counts.Total(),
	})
	return s
}

// Page is a part of a listing.
type Page struct {
	Jobs []Status
	More bool
}

// List returns up to limit jobs of the team, newest first, that follow the job with the ID after.
func (j *Jobs) List(ctx context.Context, team, after string, limit int) (Page, error) {
	start := ""
	if after != "" {
		head, _, err := j.teamHead(ctx, team, after)
		if err != nil {
			return Page{}, err
		}
		start = teamKey(team, head.Created, after)
	}
	objects, err := j.store.List(ctx, teamPrefix(team), start, limit+1)
	if err != nil {
		return Page{}, merry.Errorf("list jobs: %w", storeError(err))
	}
	page := Page{More: len(objects) > limit}
	for _, o := range objects[:min(len(objects), limit)] {
		id, _ := idOfIndex(o.Key)
		s, err := j.Get(ctx, team, id)
		if errors.Is(err, ErrNotFound) {
			continue
		}
		if err != nil {
			return Page{}, err
		}
		page.Jobs = append(page.Jobs, s)
	}
	return page, nil
}

// Cancel cancels a job by one conditional write. Once it returns without an error, no item of the
// job is dispatched that was not in flight, and the job never resumes. ErrUnavailable means that
// the job was not cancelled; ErrOutcomeUnknown that it may have been. job.ErrTerminal means that the job
// has ended.
func (j *Jobs) Cancel(ctx context.Context, team, id string) (Status, error) {
	so := outcome.NotDone
	for range submitAttempts {
		status, err := j.tryCancel(ctx, team, id)
		if err == nil {
			return status, nil
		}
		if !store.Changed(err) {
			return Status{}, merry.Errorf("cancel: %w", afterAttempts(so, storeError(err)))
		}
		so = so.With(store.OutcomeOf(err))
	}
	return Status{}, merry.Errorf("cancel job %s: %w", id, ErrOutcomeUnknown)
}

func (j *Jobs) tryCancel(ctx context.Context, team, id string) (Status, error) {
	head, version, err := j.teamHead(ctx, team, id)
	if err != nil {
		return Status{}, err
	}
	next, err := head.Cancel(time.Now())
	if err != nil {
		return Status{}, err
	}
	if next.State != head.State {
		if _, err := j.writeHead(ctx, next, version); err != nil {
			return Status{}, err
		}
		j.opts.Log.Info().Str("job", id).Str("team", team).Msg("jobCancelled")
	}
	j.pushCancel(id)
	return j.status(ctx, next), nil
}

// pushCancel notifies every VM that the job is cancelled.
func (j *Jobs) pushCancel(id string) {
	for _, member := range j.opts.Members() {
		notifyPeer(j.bus, member, methodCancelled, jobMessage{Job: id})
	}
}

// Results calls yield for every outcome that is durable, in order of chunks, until yield returns
// false. It works while the job runs.
func (j *Jobs) Results(ctx context.Context, team, id string, yield func(Outcome) bool) error {
	head, _, err := j.teamHead(ctx, team, id)
	if err != nil {
		return err
	}
	unclaimed := map[int]bool{}
	for _, i := range head.Unclaimed {
		unclaimed[i] = true
	}
	for i := range head.Chunks {
		outcomes, err := j.chunkResults(ctx, head, i, unclaimed[i])
		if err != nil {
			return merry.Errorf("results of %s: %w", id, storeError(err))
		}
		for _, o := range outcomes {
			if !yield(o) {
				return nil
			}
		}
	}
	return nil
}

// chunkResults returns the durable outcomes of one chunk in order of items.
func (j *Jobs) chunkResults(ctx context.Context, head job.Head, i int, unclaimed bool) ([]Outcome, error) {
	ref := head.Chunks[i]
	record := job.NewChunk(ref.Items)
	if unclaimed {
		record, _ = record.Cancel("", head.Terms)
	} else {
		_, c, err := j.readChunk(ctx, head, i)
		switch {
		case errors.Is(err, store.ErrNotFound):
			return nil, nil
		case err != nil:
			return nil, err
		}
		record = c
	}
	stored, err := j.storedOutcomes(ctx, record)
	if err != nil {
		return nil, err
	}
	return j.completeOutcomes(ctx, head, i, record, stored)
}

// storedOutcomes reads the outcomes of a record's segments and returns them by position in the chunk.
func (j *Jobs) storedOutcomes(ctx context.Context, record job.Chunk) (map[int]Outcome, error) {
	stored := map[int]Outcome{}
	for _, s := range record.Segments {
		data := s.Data
		if s.Key != "" {
			o, err := j.store.Get(ctx, s.Key)
			if err != nil {
				return nil, merry.Errorf("read outcomes: %w", err)
			}
			data = o.Value
		}
		var outcomes []Outcome
		if err := j.codec.unpack(data, &outcomes); err != nil {
			return nil, err
		}
		for _, o := range outcomes {
			stored[o.Position] = o
		}
	}
	return stored, nil
}

// completeOutcomes puts the stored outcomes in order of items, and adds those of which only the state in
// the record exists: items that were cancelled, lost or are unknown.
func (j *Jobs) completeOutcomes(ctx context.Context, head job.Head, i int, record job.Chunk, stored map[int]Outcome) ([]Outcome, error) {
	var inputs []input
	var list []Outcome
	first := firstItemOf(head, i)
	for position, state := range record.Items {
		if !state.Final() {
			continue
		}
		o, ok := stored[position]
		if !ok && inputs == nil {
			var err error
			if inputs, err = j.loadInputs(ctx, head, i); err != nil {
				return nil, err
			}
		}
		if !ok {
			o = Outcome{Position: position, CustomID: inputs[position].CustomID, Error: errorOf(state)}
		}
		o.Index, o.State = first+position, state
		list = append(list, o)
	}
	return list, nil
}

// errorOf returns the reason why an item has no answer.
func errorOf(state job.ItemState) string {
	switch state {
	case job.CancelledItem:
		return "the job was cancelled before the item finished"
	case job.Unknown:
		return "unknown, may have run"
	default:
		return "the worker was lost at every attempt of the item"
	}
}
